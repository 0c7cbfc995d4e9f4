// Package frontcaller is the HTTP front end for callers: chat completions, plain services
// and the list of addresses.
//
// It converts HTTP requests into submissions and answer events into HTTP responses. It makes no
// decisions about requests. A handler waits for the events of its submission and for the end of
// its connection.
package frontcaller
