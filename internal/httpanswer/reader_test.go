package httpanswer_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"briaryard/internal/httpanswer"
)

// Guards against bytes of a body or of the next answer that are lost or read twice, because a head is put back after
// its check: heads below and above the size of the buffer, bytes that arrive one by one, in halves and at once.
func TestAnswersFollowEachOther(t *testing.T) {
	var bytes, want strings.Builder
	for i, size := range []int{0, 10, 4000, 4096, 20_000, 60_000, 10} {
		body := strings.Repeat(fmt.Sprint(i), 3000)
		fmt.Fprintf(&bytes, "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nPad: %s\r\n", strings.Repeat("p", size))
		if i%2 == 0 {
			fmt.Fprintf(&bytes, "Content-Length: %d\r\n\r\n%s", len(body), body)
		} else {
			fmt.Fprintf(&bytes, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nSum: 1\r\n\r\n", len(body), body)
		}
		fmt.Fprintf(&want, "%d %s\n", size, body)
	}
	for name, source := range map[string]io.Reader{
		"one by one": iotest.OneByteReader(strings.NewReader(bytes.String())),
		"in halves":  iotest.HalfReader(strings.NewReader(bytes.String())),
		"at once":    strings.NewReader(bytes.String()),
	} {
		t.Run(name, func(t *testing.T) {
			r := httpanswer.NewReader(source)
			var got strings.Builder
			for {
				resp, err := r.ReadHead("GET")
				if err == io.ErrUnexpectedEOF {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&got, "%d %s\n", len(resp.Header.Get("Pad")), body)
			}
			if got.String() != want.String() || r.Buffered() != 0 {
				t.Fatalf("read %d bytes, want %d; %d are left", got.Len(), want.Len(), r.Buffered())
			}
		})
	}
}
