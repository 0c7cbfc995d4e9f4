package httpanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"briaryard/internal/fault"
)

// maxStatus is the largest status code that is valid (RFC 9110, section 15).
const maxStatus = 599

// checkStatus checks the status of an interim or final answer. The clients ask for no other protocol, so that 101
// (Switching Protocols) is no valid answer.
func checkStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("its status is %03d", status)}
	}
	return nil
}

// checkHead checks what net/http accepts in the status line of a head.
func checkHead(head []byte) error {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	statusLine := strings.TrimSuffix(string(line), "\r")
	if !strings.HasPrefix(statusLine, "HTTP/1.") {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("its version is not HTTP/1 in %.40q", statusLine)}
	}
	if strings.ContainsFunc(statusLine, isControl) {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("a control byte in its status line %.40q", statusLine)}
	}
	return nil
}

// isControl reports whether a status line must not hold a character (RFC 9112, section 4).
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
