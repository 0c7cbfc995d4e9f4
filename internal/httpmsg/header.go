package httpmsg

import (
	"net/http"
	"net/textproto"
	"strings"

	"briaryard/internal/model"
)

// perConnection are the fields that concern only one connection and are never passed on.
var perConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// Forwarded returns the fields that are passed on to the other side: all but those of one
// connection, those that the Connection field names, and those for which drop returns true.
func Forwarded(h http.Header, drop func(name string) bool) []model.HeaderField {
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make([]model.HeaderField, 0, len(h))
	for name, values := range h {
		if perConnection[name] || named[name] || drop != nil && drop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, model.HeaderField{Name: name, Value: v})
		}
	}
	return out
}
