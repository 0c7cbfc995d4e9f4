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

// handshakeTimeout bounds the TLS handshake with a process that accepts the connection but does
// not answer.
const handshakeTimeout = 2 * time.Second

// OutgoingFiles configures TLS and the bearer token of calls to other processes. Without Authority
// the calls do not use TLS, and without TokenFile and Token they carry no token.
type OutgoingFiles struct {
	// Authority is the certificate file of the certificate authority (CA) of the servers. If it is
	// set, calls use TLS.
	Authority string
	// TokenFile is the file with the bearer token. Token is used if TokenFile is empty.
	TokenFile, Token string
	// Report is called when changed files cannot be loaded. It may be nil.
	Report Report
}

// Outgoing adds TLS and a bearer token to calls to other processes. A nil Outgoing leaves the
// calls unchanged.
type Outgoing struct {
	roots *reloadable[*x509.CertPool]
	token func() string
}

// LoadOutgoing loads the files. They are reloaded when they change.
func LoadOutgoing(f OutgoingFiles) (*Outgoing, error) {
	o := &Outgoing{token: func() string { return f.Token }}
	var err error
	if f.Authority != "" {
		if o.roots, err = newReloadablePool(f.Report, "authority of outgoing calls", f.Authority); err != nil {
			return nil, err
		}
	}
	if f.TokenFile == "" {
		return o, nil
	}
	source, err := newReloadable(f.Report, func() (string, error) {
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
		token, _ := source.get(time.Now()) // cannot fail after the first read
		return token
	}
	return o, nil
}

// Transport returns a transport that adds the token to each call and, if a certificate authority is
// configured, uses TLS. It sets DialTLSContext of base.
func (o *Outgoing) Transport(base *http.Transport) http.RoundTripper {
	if o == nil {
		return base
	}
	if o.roots != nil {
		dial := base.DialContext
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		base.DialTLSContext = o.Dial(dial)
	}
	return &securedTransport{outgoing: o, base: base}
}

// Dial returns a dial function that also performs the TLS handshake if a certificate authority is
// configured. Otherwise it returns dial.
func (o *Outgoing) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	if o == nil || o.roots == nil {
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

// Authorize adds the token to the headers of a call that does not use Transport.
func (o *Outgoing) Authorize(h http.Header) {
	if o == nil {
		return
	}
	if token := o.token(); token != "" {
		h.Set("Authorization", "Bearer "+token)
	}
}

// handshake performs the TLS handshake on c. It reports a failure as a dial error, because no part
// of the call has been sent yet.
func (o *Outgoing) handshake(ctx context.Context, c net.Conn, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	roots, _ := o.roots.get(time.Now()) // cannot fail after the first read
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		t := tls.Client(c, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: host})
		if err = t.HandshakeContext(ctx); err == nil {
			return t, nil
		}
	}
	_ = c.Close()
	return nil, &net.OpError{Op: "dial", Net: network, Addr: c.RemoteAddr(), Err: err}
}

// securedTransport adds the token and the https scheme to the requests of base.
type securedTransport struct {
	outgoing *Outgoing
	base     *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (s *securedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if s.outgoing.roots != nil {
		r.URL.Scheme = "https"
	}
	if token := s.outgoing.token(); token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return s.base.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of base. http.Client calls it.
func (s *securedTransport) CloseIdleConnections() { s.base.CloseIdleConnections() }

// NoRedirects is a CheckRedirect function that returns a redirect response to the caller instead of
// following it. Following it would send the call and its token to an address that nobody
// configured.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
