package trust

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"briaryard/internal/fault"
)

// Files names the files with the certificate of an instance, its key, and the certificate of the
// certificate authority (CA) that the fleet shares.
type Files struct {
	Cert, Key, Authority string
	// Report is called when changed files cannot be loaded. It may be nil.
	Report Report
}

// Configs holds the TLS configurations of an instance.
type Configs struct {
	// Listener is for the listeners of callers, backend servers and operators. It is nil for plain
	// connections.
	Listener *tls.Config
	// PeerServer and PeerClient are for connections between instances (mutual TLS): both sides
	// must present a certificate of the shared authority. PeerClient returns the configuration
	// of the next connection. Both are nil for plain connections.
	PeerServer *tls.Config
	PeerClient func() *tls.Config
}

// Load loads the files and returns configurations that reload them when they change.
func Load(f Files) (Configs, error) {
	keyPair, err := newReloadable(f.Report, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		return &c, err
	}, f.Cert, f.Key)
	if err != nil {
		return Configs{}, &fault.InvalidSetting{Setting: "--tls-cert", Reason: err.Error()}
	}
	roots, err := newReloadablePool(f.Report, "--tls-ca", f.Authority)
	if err != nil {
		return Configs{}, err
	}
	serverCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return keyPair.get(time.Now()) }
	clientCertificate := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return keyPair.get(time.Now()) }
	peerServerConfig := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := roots.get(time.Now())
		return &tls.Config{
			MinVersion: tls.VersionTLS13, GetCertificate: serverCertificate,
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, err
	}
	return Configs{
		Listener:   &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: serverCertificate},
		PeerServer: &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: peerServerConfig},
		PeerClient: func() *tls.Config {
			pool, _ := roots.get(time.Now()) // cannot fail after the first read
			return &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: clientCertificate, RootCAs: pool}
		},
	}, nil
}

// newReloadablePool loads the certificates of a certificate authority. setting names the setting
// in errors.
func newReloadablePool(report Report, setting, path string) (*reloadable[*x509.CertPool], error) {
	return newReloadable(report, func() (*x509.CertPool, error) {
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
