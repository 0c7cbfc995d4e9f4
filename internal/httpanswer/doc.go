// Package httpanswer decides which answers of backend servers and engines are valid HTTP and whole. All clients of
// servers read their answers through it: Reader reads heads, Conn tells the end of a connection from its loss, and
// Transport does both for the clients that use http.Client.
//
// It does not know what an answer says: whether a request ran, or to which request an answer belongs, is decided
// by the clients. An answer that fails a check ends as an error of its call, whatever its head claims.
package httpanswer
