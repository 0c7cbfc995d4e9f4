package trust

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"briaryard/internal/fault"
)

// Files name a certificate, its key and the authority that the fleet shares.
type Files struct {
	Cert, Key, Authority string
	// Report is called when changed files cannot be used; nil reports nothing.
	Report Report
}

// Configs are the TLS configurations of an instance.
type Configs struct {
	// Listener is for callers, backend servers and operators.
	Listener *tls.Config
	// PeerServer and PeerClient are for connections between instances; both sides must
	// hold a certificate of the shared authority. PeerClient returns the configuration of
	// the next connection. Both are nil for plain connections.
	PeerServer *tls.Config
	PeerClient func() *tls.Config
}

// Load reads the files once and returns configurations that follow their changes.
func Load(f Files) (Configs, error) {
	pair, err := watch(f.Report, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		return &c, err
	}, f.Cert, f.Key)
	if err != nil {
		return Configs{}, &fault.InvalidSetting{Setting: "--tls-cert", Reason: err.Error()}
	}
	pool, err := watchAuthority(f.Report, "--tls-ca", f.Authority)
	if err != nil {
		return Configs{}, err
	}
	server := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get(time.Now()) }
	client := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get(time.Now()) }
	peer := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		trusted, err := pool.get(time.Now())
		return &tls.Config{
			MinVersion: tls.VersionTLS13, GetCertificate: server,
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: trusted,
		}, err
	}
	return Configs{
		Listener:   &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: server},
		PeerServer: &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: peer},
		PeerClient: func() *tls.Config {
			trusted, _ := pool.get(time.Now()) // cannot fail after the first read
			return &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: client, RootCAs: trusted}
		},
	}, nil
}

// watchAuthority reads the certificates of an authority.
func watchAuthority(report Report, setting, path string) (*watched[*x509.CertPool], error) {
	return watch(report, func() (*x509.CertPool, error) {
		pem, err := os.ReadFile(path)
		if err != nil {
			return nil, &fault.InvalidSetting{Setting: setting, Reason: err.Error()}
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, &fault.InvalidSetting{Setting: setting, Reason: "holds no certificate"}
		}
		return pool, nil
	}, path)
}
