package trust_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"briaryard/internal/outcall"
	"briaryard/internal/trust"
	"briaryard/internal/trust/trusttest"
)

// handshake connects client to server and returns the serial number of the server certificate.
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

// Guards against accepting an instance with a certificate of another authority, and against a
// changed certificate that is used only after a restart.
func TestInstancesShareAnAuthorityAndReload(t *testing.T) {
	a, dir := trusttest.NewAuthority(t), t.TempDir()
	own, err := trust.Load(a.Write(t, dir, 7))
	if err != nil {
		t.Fatal(err)
	}
	other, err := trust.Load(trusttest.NewAuthority(t).Write(t, t.TempDir(), 1))
	if err != nil {
		t.Fatal(err)
	}
	if serial, err := handshake(t, own.PeerServer, own.PeerClient()); err != nil || serial != 7 {
		t.Fatalf("serial %d: %v", serial, err)
	}
	if _, err := handshake(t, own.PeerServer, other.PeerClient()); err == nil {
		t.Fatal("an instance of another authority was accepted")
	}
	a.Write(t, dir, 8)
	deadline := time.Now().Add(20 * time.Second)
	for {
		if serial, err := handshake(t, own.PeerServer, own.PeerClient()); err == nil && serial == 8 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the changed certificate was not used")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against requests that are accepted without a token, and against a team that acts as
// another one by naming it in the team header.
func TestGuardBindsTheTeamToTheToken(t *testing.T) {
	tokens, err := trust.LoadTokens("", "# tokens\nteam studio s1\nteam partner p1\noperator o1\n", nil)
	if err != nil {
		t.Fatal(err)
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

// eventually waits until a condition holds. Changed files are reloaded after at most a second.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal(what)
		}
	}
}

// Guards against changed tokens and authorities that are used only after a restart, against a
// partly written file that makes all calls fail, and against a call that counts as sent although
// its TLS handshake failed.
func TestOutgoingCallsFollowTheirFiles(t *testing.T) {
	a, dir := trusttest.NewAuthority(t), t.TempDir()
	files := a.Write(t, dir, 1)
	configs, err := trust.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	var reasons []string
	accepted, err := trust.LoadTokens(writeFile("accepted", "backend-server secret-1"), "", func(_ string, err error) { reasons = append(reasons, err.Error()) })
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(accepted.Guard(trust.RoleServer)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	server.Listener = tls.NewListener(server.Listener, configs.Listener)
	server.Start()
	defer server.Close()
	outgoing, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: files.Authority, TokenFile: writeFile("token", "secret-1\n")})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: outgoing.Transport(&http.Transport{DisableKeepAlives: true}), CheckRedirect: trust.NoRedirects}
	call := func() (int, error) {
		response, err := client.Get("http://" + server.Listener.Addr().String())
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	answers := func(status int) func() bool {
		return func() bool { s, err := call(); return err == nil && s == status }
	}
	eventually(t, "the first token was refused", answers(200))
	writeFile("accepted", "backend-server secret-2, in the middle of a change")
	eventually(t, "the invalid file was not reported", func() bool { _, _ = call(); return len(reasons) > 0 })
	if s, err := call(); err != nil || s != 200 || strings.Contains(strings.Join(reasons, " "), "secret") {
		t.Fatalf("status %d, error %v, reported %q", s, err, reasons)
	}
	writeFile("accepted", "backend-server secret-3")
	eventually(t, "the removed token was still accepted", answers(401))
	writeFile("token", "secret-3")
	eventually(t, "the new token was not sent", answers(200))
	trusttest.NewAuthority(t).Write(t, dir, 2)
	eventually(t, "a new certificate and authority were not used together", answers(200))
	other := trusttest.NewAuthority(t).Write(t, t.TempDir(), 4)
	untrusted, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: other.Authority, Token: "secret-3"})
	if err != nil {
		t.Fatal(err)
	}
	client.Transport = untrusted.Transport(&http.Transport{DisableKeepAlives: true})
	if _, err := call(); !outcall.NotConnected(err) {
		t.Fatalf("call to a server of another authority: %v", err)
	}
}

// Guards against a partly written file of fleet tokens that leaves an instance without a token, and
// against an empty file that would accept every connection.
func TestFleetTokensFollowTheirFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet")
	writeFile := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range []string{"", "# none\n\n", "two tokens\n"} {
		writeFile(text)
		if _, err := trust.LoadFleetTokens(path, "", nil); err == nil {
			t.Errorf("a file with %q was accepted", text)
		}
	}
	writeFile("old\n")
	var reasons []string
	tokens, err := trust.LoadFleetTokens(path, "unused", func(_ string, err error) { reasons = append(reasons, err.Error()) })
	if err != nil {
		t.Fatal(err)
	}
	holds := func(want ...string) func() bool { return func() bool { return slices.Equal(tokens.Tokens(), want) } }
	eventually(t, "the first token was not read", holds("old"))
	writeFile("# changed in May\n\nold\nnew\n")
	eventually(t, "the second token was not read", holds("old", "new"))
	writeFile("")
	eventually(t, "the empty file was not reported", func() bool { tokens.Tokens(); return len(reasons) > 0 })
	if !holds("old", "new")() {
		t.Fatalf("tokens after an empty file: %d", len(tokens.Tokens()))
	}
}
