package app

import (
	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/trust"
)

func (s *Settings) files(report trust.Report) trust.Files {
	return trust.Files{Cert: s.TLSCert, Key: s.TLSKey, Authority: s.TLSCA, Report: report}
}

func (s *Settings) outgoingFiles(report trust.Report) trust.OutgoingFiles {
	return trust.OutgoingFiles{Authority: s.BackendCA, TokenFile: s.BackendFile, Token: s.BackendToken, Report: report}
}

// reportTo logs files that cannot be used after a change.
func reportTo(l *event.Log) trust.Report {
	return func(path string, err error) { l.Emit(event.TrustNotReloaded, path, err.Error()) }
}

// security returns what the listeners check. The settings have been checked.
func (s *Settings) security(l *event.Log) (trust.Configs, *trust.TokenSource, error) {
	t, err := trust.LoadTokens(s.TokensFile, s.Tokens, reportTo(l))
	if err != nil || s.TLSCert == "" {
		return trust.Configs{}, t, err
	}
	c, err := trust.Load(s.files(reportTo(l)))
	return c, t, err
}

// fleet returns the tokens that the instances show each other.
func (s *Settings) fleet(l *event.Log) (*trust.FleetTokens, error) {
	return trust.LoadFleetTokens(s.FleetFile, s.FleetToken, reportTo(l))
}

// listener returns what the HTTP listener of a service checks for a role, and where its errors go.
func listener(l *event.Log, s kernel.Service, c trust.Configs, t *trust.TokenSource, role string) httpserve.Security {
	return httpserve.Security{TLS: c.Listener, Guard: t.Guard(role), Errors: l.Limit(event.HTTPError).Logger(s.Name())}
}

// outgoing returns what calls to backend servers carry.
func (s *Settings) outgoing(l *event.Log) (*trust.Outgoing, error) {
	return trust.LoadOutgoing(s.outgoingFiles(reportTo(l)))
}
