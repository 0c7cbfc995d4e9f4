package trust_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"briaryard/internal/trust"
)

// authority signs certificates for loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	return &authority{cert, key}
}

// write puts a new certificate with the serial number into the folder.
func (a *authority) write(t *testing.T, dir string, serial int64) trust.Files {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	f := trust.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, f.Authority: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
		f.Cert: {Type: "CERTIFICATE", Bytes: der},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// handshake connects as an instance and returns the serial number of the certificate seen.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			if c.(*tls.Conn).Handshake() == nil {
				_, _ = c.Write([]byte{1})
			}
			_ = c.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against instances of another authority, and against a changed certificate that
// needs a restart.
func TestInstancesShareAnAuthorityAndReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	own, err := trust.Load(a.write(t, dir, 7))
	if err != nil {
		t.Fatal(err)
	}
	other, err := trust.Load(newAuthority(t).write(t, t.TempDir(), 1))
	if err != nil {
		t.Fatal(err)
	}
	if serial, err := handshake(t, own.PeerServer, own.PeerClient); err != nil || serial != 7 {
		t.Fatalf("serial %d: %v", serial, err)
	}
	if _, err := handshake(t, own.PeerServer, other.PeerClient); err == nil {
		t.Fatal("an instance of another authority was accepted")
	}
	a.write(t, dir, 8)
	limit := time.Now().Add(20 * time.Second)
	for {
		if serial, err := handshake(t, own.PeerServer, own.PeerClient); err == nil && serial == 8 {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("the changed certificate was not used")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against requests without a token, and against a team that acts as another.
func TestGuardBindsTheTeamToTheToken(t *testing.T) {
	tokens, f := trust.ParseTokens("# tokens\nteam studio s1\nteam partner p1\noperator o1\n")
	if f != nil {
		t.Fatal(f)
	}
	var seen string
	echo := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Get(trust.TeamHeader) })
	for _, c := range []struct {
		role, auth, team string
		status           int
		want             string
	}{
		{trust.RoleTeam, "Bearer s1", "", 200, "studio"},
		{trust.RoleTeam, "Bearer s1", "studio", 200, "studio"},
		{trust.RoleTeam, "Bearer s1", "partner", 401, ""},
		{trust.RoleTeam, "s1", "", 401, ""},
		{trust.RoleTeam, "", "studio", 401, ""},
		{trust.RoleTeam, "Bearer o1", "", 401, ""},
		{trust.RoleOperator, "Bearer s1", "", 401, ""},
		{trust.RoleOperator, "Bearer o1", "", 200, ""},
		{trust.RoleServer, "", "", 200, ""}, // no token declared for the role
	} {
		seen = ""
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", c.auth)
		if c.team != "" {
			r.Header.Set(trust.TeamHeader, c.team)
		}
		w := httptest.NewRecorder()
		tokens.Guard(c.role)(echo).ServeHTTP(w, r)
		if w.Code != c.status || seen != c.want {
			t.Errorf("%+v: status %d, team %q", c, w.Code, seen)
		}
	}
}
