package httpanswer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"briaryard/internal/fault"
)

const (
	// maxHeadBytes bounds the head of an answer together with the interim heads before it.
	maxHeadBytes = 64 << 10
	// maxInterimHeads bounds the interim (1xx) heads before an answer.
	maxInterimHeads = 8
	// bufferSize is enough for the head of an answer and for most events of a stream.
	bufferSize = 4 << 10
)

// Reader reads the answers on one connection.
type Reader struct {
	buffer *bufio.Reader
	source prefixedReader
}

// NewReader returns a Reader of the bytes of a connection.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{source: prefixedReader{rest: conn}}
	r.buffer = bufio.NewReaderSize(&r.source, bufferSize)
	return r
}

// Buffered returns the number of bytes that have arrived and are not part of an answer that was read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() + len(r.source.prefix) }

// ReadHead reads the head of the next final answer to a request with the given method, and skips interim ones. The
// body of the answer ends with io.EOF only if it is whole.
func (r *Reader) ReadHead(method string) (*http.Response, error) {
	left := maxHeadBytes
	for range maxInterimHeads + 1 {
		head, err := r.scanHead(left)
		if err != nil {
			return nil, err
		}
		left -= len(head)
		if err := checkHead(head); err != nil {
			return nil, err
		}
		r.unread(head)
		resp, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		if err != nil {
			return nil, &fault.MalformedAnswer{Reason: err.Error()} // the whole head has been read
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			resp.Body = &checkedBody{ReadCloser: resp.Body, response: resp}
			return resp, nil
		}
	}
	return nil, &fault.MalformedAnswer{Reason: "too many interim heads"}
}

// scanHead reads a head of at most limit bytes, up to and with its empty line.
func (r *Reader) scanHead(limit int) ([]byte, error) {
	head := make([]byte, 0, 1<<10)
	lineStart := 0
	for {
		part, err := r.buffer.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > limit:
			return nil, &fault.MalformedAnswer{Reason: "its head is too long"}
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(head[lineStart:], "\r\n")) == 0 {
			return head, nil
		}
		lineStart = len(head)
	}
}

// unread puts a head back in front of the bytes that follow it.
func (r *Reader) unread(head []byte) {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered()) // never fails
	r.source.prefix = append(append(head, buffered...), r.source.prefix...)
	r.buffer.Reset(&r.source)
}

// prefixedReader reads prefix, then rest.
type prefixedReader struct {
	prefix []byte
	rest   io.Reader
}

// Read implements io.Reader.
func (p *prefixedReader) Read(b []byte) (int, error) {
	if len(p.prefix) == 0 {
		return p.rest.Read(b)
	}
	n := copy(b, p.prefix)
	if p.prefix = p.prefix[n:]; len(p.prefix) == 0 {
		p.prefix = nil // an idle connection keeps no copy of its last head
	}
	return n, nil
}

// checkedBody is a body that ends with an error in place of io.EOF if its trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		for name := range b.response.Trailer {
			if malformed := checkFieldName(name); malformed != nil {
				return n, malformed
			}
		}
	}
	return n, err
}
