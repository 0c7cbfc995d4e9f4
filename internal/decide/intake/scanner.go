package intake

import "bytes"

// Limits are the limits of one header section.
type Limits struct {
	// Bytes is the size of the request line and the header lines.
	Bytes int
	// Lines is the number of header lines.
	Lines int
	// EmptyBytes is the size of the empty lines before a request line.
	EmptyBytes int
}

// place is what the next byte of a message belongs to.
type place uint8

const (
	inRequestLine place = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// lost means that net/http will not accept the message, and that its end is not known.
	lost
)

// prefixBytes is the part of a line that is kept: the longest name that separates messages, and its value.
const prefixBytes = 64

// Scanner follows the requests of one connection. The zero value expects a request.
type Scanner struct {
	place place
	// started is set after the first byte of a message.
	started bool
	// prefix holds the first bytes of the current line and tail its last ones.
	prefix  [prefixBytes]byte
	tail    [len(version10) + 2]byte
	lineLen int

	sectionBytes int
	emptyBytes   int
	lines        int
	framing      framing
	// left is the number of bytes that the body or chunk still has.
	left uint64
	// previous is Bytes of the message that has ended last.
	previous int64
}

// Scan reads the bytes that follow on a connection up to the end of the current message. It returns their number,
// and whether the message ends with them. After a refusal the scanner must not be used again.
func (s *Scanner) Scan(p []byte, l Limits) (n int, ended bool, refused Refusal) {
	for n < len(p) {
		s.started = true
		switch s.place {
		case inRequestLine, inFields:
			used, lineEnds := s.takeLine(p[n:])
			n += used
			s.sectionBytes += used
			ended, refused = s.afterSectionLine(lineEnds, l)
		case inChunkSize, inTrailer:
			used, lineEnds := s.takeLine(p[n:])
			n += used
			if lineEnds {
				ended = s.endChunkLine()
			}
		case inChunkEnd:
			n += s.takeChunkEnd(p[n])
		case inBody, inChunk:
			used := min(uint64(len(p)-n), s.left)
			n += int(used)
			s.left -= used
			ended = s.afterData()
		case lost:
			return len(p), false, Accepted
		}
		if ended {
			*s = Scanner{previous: s.Bytes()}
		}
		if ended || refused != Accepted {
			return n, ended, refused
		}
	}
	return n, false, Accepted
}

// Started reports whether bytes of a message have been read and its end has not.
func (s *Scanner) Started() bool { return s.started }

// InSection reports whether a part of a header section has been read.
func (s *Scanner) InSection() bool { return s.started && s.place <= inFields }

// Lost reports whether the end of the message cannot be recognised.
func (s *Scanner) Lost() bool { return s.place == lost }

// Bytes returns the memory that the header section of the message needs once it is parsed.
func (s *Scanner) Bytes() int64 {
	if !s.started {
		return 0
	}
	return int64(s.lines)*lineBytes + int64(s.sectionBytes)*textFactor
}

// Previous returns Bytes of the message that has ended last.
func (s *Scanner) Previous() int64 { return s.previous }

// takeLine reads bytes up to the end of the current line and reports whether it ends with them.
func (s *Scanner) takeLine(p []byte) (used int, ends bool) {
	if i := bytes.IndexByte(p, '\n'); i >= 0 {
		p, ends = p[:i+1], true
	}
	if s.lineLen < prefixBytes {
		copy(s.prefix[s.lineLen:], p)
	}
	if s.lineLen == 0 && s.place == inFields {
		s.lines++
	}
	s.lineLen += len(p)
	if len(p) >= len(s.tail) {
		copy(s.tail[:], p[len(p)-len(s.tail):])
	} else {
		copy(s.tail[:], s.tail[len(p):])
		copy(s.tail[len(s.tail)-len(p):], p)
	}
	return len(p), ends
}

// line returns the first bytes of the current line, which has ended, without its end.
func (s *Scanner) line() []byte {
	line := s.prefix[:min(s.lineLen, prefixBytes)]
	if s.lineLen <= prefixBytes {
		line = bytes.TrimSuffix(line, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
	}
	return line
}

// afterSectionLine checks the limits after bytes of a header section, and reads the line if it has ended.
func (s *Scanner) afterSectionLine(lineEnds bool, l Limits) (ended bool, refused Refusal) {
	empty := lineEnds && len(s.line()) == 0
	switch {
	case s.place == inRequestLine && empty:
		s.emptyBytes += s.lineLen
		s.sectionBytes, s.lineLen = 0, 0
		if s.emptyBytes > l.EmptyBytes {
			return false, EmptyLines
		}
		return false, Accepted
	case s.sectionBytes > l.Bytes+SlackBytes:
		return false, HeaderTooLarge
	case s.place == inFields && empty:
		s.lines--
		s.lineLen = 0
		return s.startBody(), Accepted
	case s.lines > l.Lines+1:
		return false, TooManyLines
	case !lineEnds:
		return false, Accepted
	case s.place == inRequestLine:
		s.framing.http10 = endsWithVersion10(s.tail[:])
		s.place = inFields
	case s.lines > l.Lines:
		return false, TooManyLines
	case !s.framing.field(s.line(), s.lineLen > prefixBytes):
		return false, Malformed
	}
	s.lineLen = 0
	return false, Accepted
}

// startBody begins what follows a header section and reports whether the message has no body.
func (s *Scanner) startBody() (ended bool) {
	switch kind, length := s.framing.body(); kind {
	case bodyChunked:
		s.place = inChunkSize
	case bodyOfLength:
		s.place, s.left = inBody, length
	case bodyUnknown:
		s.place = lost
	default:
		return true
	}
	return false
}

// afterData continues after bytes of a body or of a chunk.
func (s *Scanner) afterData() (ended bool) {
	if s.left > 0 {
		return false
	}
	if s.place == inBody {
		return true
	}
	s.place = inChunkEnd
	return false
}

// takeChunkEnd reads one byte of the line end after the data of a chunk.
func (s *Scanner) takeChunkEnd(b byte) int {
	switch {
	case s.lineLen == 0 && b == '\r':
		s.lineLen = 1
	case s.lineLen == 1 && b == '\n':
		s.lineLen, s.place = 0, inChunkSize
	default:
		s.place = lost
	}
	return 1
}

// endChunkLine reads the line with the size of a chunk or a line of the trailer, which has ended.
func (s *Scanner) endChunkLine() (ended bool) {
	line, length := s.line(), s.lineLen
	s.lineLen = 0
	if s.place == inTrailer {
		return len(line) == 0
	}
	size, ok := chunkSize(line, length > prefixBytes)
	switch {
	case !ok:
		s.place = lost
	case size == 0:
		s.place = inTrailer
	default:
		s.place, s.left = inChunk, size
	}
	return false
}
