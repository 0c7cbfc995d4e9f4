package app

import (
	"briaryard/internal/event"
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

// outgoing returns what calls to backend servers carry.
func (s *Settings) outgoing(l *event.Log) (*trust.Outgoing, error) {
	return trust.LoadOutgoing(s.outgoingFiles(reportTo(l)))
}
