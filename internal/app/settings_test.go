package app_test

import (
	"strings"
	"testing"
	"time"

	"briaryard/internal/app"
)

// Guards against settings whose errors are reported one at a time, against listeners without TLS
// that other machines can reach, and against a token that appears in an error.
func TestEveryFaultOfTheSettingsIsReported(t *testing.T) {
	s := app.Settings{
		ID: "", FailureDomain: "d", CallerAddress: "10.0.0.1:80", ServerAddress: "127.0.0.1:0", OperAddress: "127.0.0.1:0",
		PeerAddress: "10.0.0.1:90", Peers: []string{"nowhere"}, TLSCert: "cert", Tokens: "team secret-token",
		AddressTTL: time.Second, MaxBodyBytes: 4096,
	}
	var all []string
	for _, f := range s.Check() {
		all = append(all, f.Error())
	}
	text := strings.Join(all, "\n")
	for _, want := range []string{"--id", "nowhere", "--fleet-token", "--tls-cert", "10.0.0.1:80", "10.0.0.1:90", "--tokens"} {
		if !strings.Contains(text, want) {
			t.Errorf("no error for %s in:\n%s", want, text)
		}
	}
	if strings.Contains(text, "secret-token") {
		t.Error("an error contains a token")
	}
}
