package httpanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

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

// checkHead checks what net/http accepts or changes when it parses a head, and what would make it look for the end of
// the body in the wrong place.
func checkHead(head []byte) error {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	statusLine := strings.TrimSuffix(string(line), "\r")
	if !strings.HasPrefix(statusLine, "HTTP/1.") {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("its version is not HTTP/1 in %.40q", statusLine)}
	}
	if strings.ContainsFunc(statusLine, isControl) {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("a control byte in its status line %.40q", statusLine)}
	}
	var length, encoding bool
	for line := range bytes.Lines(fields) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if err := checkFieldName(string(name)); err != nil {
			return err
		}
		length = length || strings.EqualFold(string(name), "Content-Length")
		encoding = encoding || strings.EqualFold(string(name), "Transfer-Encoding")
	}
	// RFC 9112, section 6.1: such a body has no certain end.
	if encoding && (length || strings.HasPrefix(statusLine, "HTTP/1.0")) {
		return &fault.MalformedAnswer{Reason: "its transfer encoding contradicts its length or its version"}
	}
	return nil
}

// isControl reports whether a status line must not hold a character (RFC 9112, section 4).
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// checkFieldName checks the name of a field. A blank in it hides the field from those who look for it by its name, and
// a blank in front of it makes net/http add the line to the field before (RFC 9112, section 5.2).
func checkFieldName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &fault.MalformedAnswer{Reason: fmt.Sprintf("the field name %.40q", name)}
	}
	return nil
}
