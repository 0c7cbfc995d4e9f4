package httpserve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
)

const (
	// readHeaderTimeout stops connections that never send a request from piling up.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server is one HTTP listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Security is what a listener checks. The zero value checks nothing.
type Security struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Guard examines requests before the handler.
	Guard func(http.Handler) http.Handler
	// Errors receives what the HTTP server reports, such as failed TLS handshakes; with nil it
	// goes to standard error.
	Errors *event.LibraryLogger
}

// Listen opens the address and serves the handler.
func Listen(address string, handler http.Handler, security Security) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.ListenFailed{Address: address, Err: err}
	}
	if security.TLS != nil {
		l = tls.NewListener(l, security.TLS)
	}
	if security.Guard != nil {
		handler = security.Guard(handler)
	}
	s := &Server{
		listener: l,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: security.Errors,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Address returns the address that the listener has.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for the requests in progress until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}
