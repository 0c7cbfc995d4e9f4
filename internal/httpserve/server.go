package httpserve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"briaryard/internal/decide/intake"
	"briaryard/internal/event"
	"briaryard/internal/fault"
)

const (
	// readHeaderTimeout closes connections that do not send a request header, so that they do not
	// accumulate.
	readHeaderTimeout = 10 * time.Second
	// firstByteTimeout is the time for the first byte of a new connection where a gate bounds the rest. It is
	// above the 15 s for which the platform's callers may keep a connection idle.
	firstByteTimeout = 16 * time.Second
	idleTimeout      = 60 * time.Second
)

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Security is the TLS configuration and the request checks of a listener. The zero value uses plain
// connections and checks nothing.
type Security struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Guard wraps the handler with checks of the requests. It may be nil.
	Guard func(http.Handler) http.Handler
	// Errors receives the error log of the HTTP server, such as failed TLS handshakes. If it is nil,
	// the log goes to standard error.
	Errors *event.LibraryLogger
	// Gate bounds what callers may hold before their requests are known. It may be nil in tests.
	Gate *Gate
	// Name is the name of the service in the log of the gate.
	Name string
}

// Listen opens a TCP listener on the address and serves the handler in a new goroutine.
func Listen(address string, handler http.Handler, security Security) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.ListenFailed{Address: address, Err: err}
	}
	switch {
	case security.Gate != nil:
		l = security.Gate.Listener(l, ListenOptions{Name: security.Name, TLS: security.TLS, Errors: security.Errors})
	case security.TLS != nil:
		l = tls.NewListener(l, security.TLS)
	}
	if security.Guard != nil {
		handler = security.Guard(handler)
	}
	timeout := readHeaderTimeout
	if security.Gate != nil {
		timeout = security.Gate.ReadHeaderTimeout()
	}
	s := &Server{
		listener: l,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: timeout, IdleTimeout: idleTimeout, ErrorLog: security.Errors,
			MaxHeaderBytes: intake.MaxHeaderBytes, ConnState: FollowState,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for the requests in progress. If the context ends first, it
// closes their connections and returns the error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}
