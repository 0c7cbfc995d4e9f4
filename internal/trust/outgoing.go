package trust

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"briaryard/internal/fault"
)

// handshakeTimeout bounds the TLS handshake with a process that accepts and says nothing.
const handshakeTimeout = 2 * time.Second

// OutgoingFiles say how calls to other processes are secured. Empty fields leave a part out.
type OutgoingFiles struct {
	// Authority is the certificate file of the authority; with it calls use TLS.
	Authority string
	// TokenFile holds the bearer token; Token is used without a file.
	TokenFile, Token string
	// Report is called when changed files cannot be used; nil reports nothing.
	Report Report
}

// Outgoing secures calls to other processes. Nil leaves them plain.
type Outgoing struct {
	pool  *watched[*x509.CertPool]
	token func() string
}

// LoadOutgoing reads the files once; later changes are followed.
func LoadOutgoing(f OutgoingFiles) (*Outgoing, error) {
	o := &Outgoing{token: func() string { return f.Token }}
	var err error
	if f.Authority != "" {
		if o.pool, err = watchAuthority(f.Report, "authority of outgoing calls", f.Authority); err != nil {
			return nil, err
		}
	}
	if f.TokenFile == "" {
		return o, nil
	}
	w, err := watch(f.Report, func() (string, error) {
		data, err := os.ReadFile(f.TokenFile)
		token := strings.TrimSpace(string(data))
		if err == nil && (token == "" || strings.ContainsAny(token, " \t\r\n")) {
			err = &fault.InvalidSetting{Setting: "token file", Reason: "must hold one token"}
		}
		return token, err
	}, f.TokenFile)
	if err != nil {
		return nil, &fault.InvalidSetting{Setting: "token file", Reason: err.Error()}
	}
	o.token = func() string {
		token, _ := w.get(time.Now()) // cannot fail after the first read
		return token
	}
	return o, nil
}

// Transport returns the transport with the token and, with an authority, TLS on each call.
func (o *Outgoing) Transport(base *http.Transport) http.RoundTripper {
	if o == nil {
		return base
	}
	if o.pool != nil {
		dial := base.DialContext
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		base.DialTLSContext = o.Dial(dial)
	}
	return &secured{outgoing: o, base: base}
}

// Dial returns a function that opens a connection, with an authority after a TLS handshake.
func (o *Outgoing) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	if o == nil || o.pool == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return o.handshake(ctx, c, network, address)
	}
}

// Authorize adds the token to the header of a call that does not use Transport.
func (o *Outgoing) Authorize(h http.Header) {
	if o == nil {
		return
	}
	if token := o.token(); token != "" {
		h.Set("Authorization", "Bearer "+token)
	}
}

// handshake reports a failure as one of dialling, since no part of the call has been sent.
func (o *Outgoing) handshake(ctx context.Context, c net.Conn, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	pool, _ := o.pool.get(time.Now()) // cannot fail after the first read
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		t := tls.Client(c, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: host})
		if err = t.HandshakeContext(ctx); err == nil {
			return t, nil
		}
	}
	_ = c.Close()
	return nil, &net.OpError{Op: "dial", Net: network, Addr: c.RemoteAddr(), Err: err}
}

type secured struct {
	outgoing *Outgoing
	base     *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (s *secured) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if s.outgoing.pool != nil {
		r.URL.Scheme = "https"
	}
	if token := s.outgoing.token(); token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return s.base.RoundTrip(r)
}

// CloseIdleConnections closes the connections that no call uses, for http.Client.
func (s *secured) CloseIdleConnections() { s.base.CloseIdleConnections() }

// NoRedirects hands an answer that redirects to the caller instead of following it, which
// would send the call and its token to an address that nobody configured.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
