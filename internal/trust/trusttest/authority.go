package trusttest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"briaryard/internal/trust"
)

// T is the part of testing.T that the package uses.
type T interface {
	Helper()
	Fatal(args ...any)
}

// Authority is a certificate authority that signs certificates for 127.0.0.1.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a certificate authority with a new key.
func NewAuthority(t T) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must(t, err)
	cert, err := x509.ParseCertificate(der)
	must(t, err)
	return &Authority{cert, key}
}

// Write writes a new certificate with the given serial number, its key and the authority's
// certificate to the folder and returns their paths.
func (a *Authority) Write(t T, dir string, serial int64) trust.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must(t, err)
	f := trust.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, f.Authority: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
		f.Cert: {Type: "CERTIFICATE", Bytes: der},
	} {
		must(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return f
}

func must(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
