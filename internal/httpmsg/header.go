package httpmsg

import (
	"net/http"
	"net/textproto"
	"strings"

	"briaryard/internal/model"
)

// hopByHop contains the header fields that apply to one connection only and are never forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// Forwarded returns the header fields to forward: all except those in hopByHop, those that the
// Connection field names, and those for which drop returns true. drop may be nil.
func Forwarded(h http.Header, drop func(name string) bool) []model.HeaderField {
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make([]model.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || named[name] || drop != nil && drop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, model.HeaderField{Name: name, Value: v})
		}
	}
	return out
}
