// Package httpanswer decides which answers of backend servers and engines are whole. All clients of servers open
// their connections with it: Conn tells the end of a connection from its loss, and Transport makes the calls of the
// clients that use http.Client.
package httpanswer
