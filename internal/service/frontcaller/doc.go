// Package frontcaller is the HTTP front end for callers: chat completions, plain services
// and the list of addresses.
//
// It turns HTTP and JSON into submissions and answers into HTTP. It takes no decision about
// requests. A handler waits on the ring of its submission and on its connection.
package frontcaller
