package intake

import (
	"bytes"
	"strconv"
)

const version10 = "HTTP/1.0"

// endsWithVersion10 reports whether the request line with the given end is one of HTTP/1.0.
func endsWithVersion10(tail []byte) bool {
	tail = bytes.TrimSuffix(bytes.TrimSuffix(tail, []byte("\n")), []byte("\r"))
	return bytes.HasSuffix(tail, []byte(version10))
}

// framing holds the header fields that say where a message ends.
type framing struct {
	http10 bool
	// last is set if the last line was one of these fields.
	last bool
	// lengths and codings count the fields. length is the value of Content-Length, valid unless badLength.
	lengths, codings int
	length           uint64
	lengthText       [20]byte
	lengthLen        int
	badLength        bool
	chunked          bool
}

// field reads a header line and reports whether the message can be followed. cut is set if the line is longer than
// what is given of it. Continued or over-long lines of these fields are not followed.
func (f *framing) field(line []byte, cut bool) bool {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return !f.last
	}
	f.last = false
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return true
	}
	value = bytes.Trim(value, " \t\r\n")
	switch {
	case equalFold(name, "content-length"):
		f.lengths++
		f.readLength(value)
	case equalFold(name, "transfer-encoding"):
		f.codings++
		f.chunked = equalFold(value, "chunked")
	default:
		return true
	}
	f.last = true
	return !cut
}

func (f *framing) readLength(value []byte) {
	n, err := strconv.ParseUint(string(value), 10, 63)
	same := f.lengths == 1 || bytes.Equal(f.lengthText[:f.lengthLen], value)
	if err != nil || len(value) > len(f.lengthText) || !same {
		f.badLength = true
		return
	}
	f.length, f.lengthLen = n, copy(f.lengthText[:], value)
}

type bodyKind uint8

const (
	bodyNone bodyKind = iota
	bodyOfLength
	bodyChunked
	// bodyUnknown is that of a message that net/http refuses.
	bodyUnknown
)

// body returns what follows the header section, as net/http decides it.
func (f *framing) body() (kind bodyKind, length uint64) {
	coded := f.codings > 0 && !f.http10
	switch {
	case f.badLength || coded && (f.codings > 1 || !f.chunked):
		return bodyUnknown, 0
	case coded:
		return bodyChunked, 0
	case f.length > 0:
		return bodyOfLength, f.length
	}
	return bodyNone, 0
}

// chunkSize reads the line before a chunk. cut is set if the line is longer than what is given of it.
func chunkSize(line []byte, cut bool) (size uint64, ok bool) {
	digits, _, extended := bytes.Cut(line, []byte(";"))
	if cut && !extended {
		return 0, false
	}
	if !extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 64)
	return size, err == nil
}

// equalFold reports whether text is word, which has lower-case letters, without regard to the case of ASCII letters.
func equalFold(text []byte, word string) bool {
	if len(text) != len(word) {
		return false
	}
	for i, b := range text {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != word[i] {
			return false
		}
	}
	return true
}
