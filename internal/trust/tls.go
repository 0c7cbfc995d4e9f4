package trust

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"briaryard/internal/fault"
)

// checkEvery bounds how often the files are looked at.
const checkEvery = time.Second

// Files name a certificate, its key and the authority that the fleet shares.
type Files struct{ Cert, Key, Authority string }

// keyPair reads a certificate again when its file has changed.
type keyPair struct {
	files Files

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time
	checked time.Time
}

// get returns the certificate in the files, or the last good one.
func (k *keyPair) get(now time.Time) (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && now.Sub(k.checked) < checkEvery {
		return k.current, nil
	}
	k.checked = now
	info, err := os.Stat(k.files.Cert)
	if err == nil && (k.current == nil || !info.ModTime().Equal(k.changed)) {
		var c tls.Certificate
		if c, err = tls.LoadX509KeyPair(k.files.Cert, k.files.Key); err == nil {
			k.current, k.changed = &c, info.ModTime()
		}
	}
	if k.current == nil {
		return nil, err
	}
	return k.current, nil
}

// Configs are the TLS configurations of an instance.
type Configs struct {
	// Listener is for callers, backend servers and operators.
	Listener *tls.Config
	// PeerServer and PeerClient are for connections between instances; both sides must
	// hold a certificate of the shared authority.
	PeerServer *tls.Config
	PeerClient *tls.Config
}

// Load reads the files once and returns configurations that follow their changes.
func Load(f Files) (Configs, error) {
	pair := &keyPair{files: f}
	if _, err := pair.get(time.Now()); err != nil {
		return Configs{}, &fault.InvalidSetting{Setting: "--tls-cert", Reason: err.Error()}
	}
	server := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get(time.Now()) }
	client := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get(time.Now()) }
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return Configs{}, &fault.InvalidSetting{Setting: "--tls-ca", Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Configs{}, &fault.InvalidSetting{Setting: "--tls-ca", Reason: "holds no certificate"}
	}
	return Configs{
		Listener: &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: server},
		PeerServer: &tls.Config{
			MinVersion: tls.VersionTLS13, GetCertificate: server,
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		},
		PeerClient: &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: client, RootCAs: pool},
	}, nil
}
