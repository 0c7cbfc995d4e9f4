package app

import (
	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/trust"
)

func (s *Settings) tlsFiles(report trust.Report) trust.TLSFiles {
	return trust.TLSFiles{Cert: s.TLSCert, Key: s.TLSKey, Authority: s.TLSCA, Report: report}
}

func (s *Settings) outgoingFiles(report trust.Report) trust.OutgoingFiles {
	return trust.OutgoingFiles{Authority: s.BackendCA, TokenFile: s.BackendTokenFile, Token: s.BackendToken, Report: report}
}

// logReloadFailure returns a report function that logs changed files that cannot be loaded.
func logReloadFailure(l *event.Log) trust.Report {
	return func(path string, err error) { l.Emit(event.TrustNotReloaded, path, err.Error()) }
}

// loadSecurity loads the TLS configurations and the accepted tokens of the listeners. Check has
// validated the settings before.
func (s *Settings) loadSecurity(l *event.Log) (trust.TLSConfigs, *trust.TokenSource, error) {
	t, err := trust.LoadTokens(s.TokensFile, s.Tokens, logReloadFailure(l))
	if err != nil || s.TLSCert == "" {
		return trust.TLSConfigs{}, t, err
	}
	c, err := trust.LoadTLS(s.tlsFiles(logReloadFailure(l)))
	return c, t, err
}

// loadFleetTokens loads the tokens with which the instances authenticate to each other.
func (s *Settings) loadFleetTokens(l *event.Log) (*trust.FleetTokens, error) {
	return trust.LoadFleetTokens(s.FleetTokenFile, s.FleetToken, logReloadFailure(l))
}

// listenerSecurity returns the TLS configuration, the token check for a role and the error logger of
// the HTTP listener of a service.
func listenerSecurity(l *event.Log, s kernel.Service, g *httpserve.Gate, c trust.TLSConfigs, t *trust.TokenSource, role string) httpserve.Security {
	return httpserve.Security{
		TLS: c.Listener, Guard: t.Guard(role), Errors: l.RateLimit(event.HTTPError).Logger(s.Name()), Gate: g, Name: s.Name(),
	}
}

// loadOutgoing loads the certificate authority and the token for calls to backend servers.
func (s *Settings) loadOutgoing(l *event.Log) (*trust.Outgoing, error) {
	return trust.LoadOutgoing(s.outgoingFiles(logReloadFailure(l)))
}
