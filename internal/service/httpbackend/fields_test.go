package httpbackend_test

import "testing"

// Guards against an answer with a malformed field name that is passed on with this field, with a body that its
// server did not send, or as a proof that the request was not run.
func TestAMalformedFieldIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	answers := map[string]string{
		"blank before the colon of the length":  ok + "Content-Length : 2\r\n\r\nok and more",
		"blank before the colon of the framing": ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"in a refusal":                          "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nA b: c\r\nContent-Length: 0\r\n\r\n",
		"in an interim answer":                  "HTTP/1.1 103 X\r\nA b: c\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"in a stream":                           ok + "Content-Type: text/event-stream\r\nA b: c\r\n\r\nid: 1\ndata: a\n\n",
		"in the trailer":                        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n",
		"control byte in a value":               ok + "A: \x01\r\nContent-Length: 2\r\n\r\nok",
		"no name":                               ok + ": c\r\nContent-Length: 2\r\n\r\nok",
		"a length and chunks":                   ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks in an old version":              "HTTP/1.0 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
	}
	for name, b := range map[string]string{"blank": " ", "tab": "\t", "control byte": "\x01", "NUL": "\x00", "DEL": "\x7f", "byte over 127": "\x80"} {
		answers[name+" inside a name"] = ok + "A" + b + "b: c\r\nContent-Length: 2\r\n\r\nok"
		answers[name+" before a name"] = ok + "X: y\r\n" + b + "Ab: c\r\nContent-Length: 2\r\n\r\nok"
	}
	expectBroken(t, answers)
}
