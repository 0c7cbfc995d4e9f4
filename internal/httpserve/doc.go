// Package httpserve runs the HTTP servers of the front ends and writes JSON answers and problem documents.
//
// It owns the connections of callers and bounds what they hold before their requests are known: a Gate counts the
// connections and header sections of all listeners of a process, and a Conn follows the bytes of one connection. The
// decisions are those of internal/decide/intake. It never changes a byte of a request and never closes a connection
// whose request has been read and not been answered. When a limit is reached, the caller gets a true status or its
// connection is closed; other callers go on.
package httpserve
