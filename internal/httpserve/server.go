package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

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

// Listen opens the address and serves the handler.
func Listen(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.ListenFailed{Address: address, Err: err}
	}
	s := &Server{
		listener: l,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
		done:     make(chan struct{}),
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
