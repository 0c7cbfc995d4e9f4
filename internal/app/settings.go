package app

import (
	"cmp"
	"net"
	"time"

	"briaryard/internal/declare"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/control"
	"briaryard/internal/service/peers"
	"briaryard/internal/trust"
)

// Settings are the process settings of an instance. Each one is a flag and an environment variable
// of the serve command.
type Settings struct {
	ID               string        `help:"Name of this instance, unique in the fleet." env:"BRIARYARD_ID" default:"instance-1"`
	FailureDomain    string        `help:"Failure domain of this machine." env:"BRIARYARD_FAILURE_DOMAIN" default:"domain-1"`
	CallerAddress    string        `help:"Address (host:port) where callers connect." env:"BRIARYARD_CALLER_ADDRESS" default:"127.0.0.1:8080"`
	ServerAddress    string        `help:"Address (host:port) where backend servers announce themselves." env:"BRIARYARD_SERVER_ADDRESS" default:"127.0.0.1:8081"`
	OperatorAddress  string        `name:"operator-address" help:"Address (host:port) where operators connect." env:"BRIARYARD_OPERATOR_ADDRESS" default:"127.0.0.1:8082"`
	DataFolder       string        `help:"Folder for the durable state of a voter; empty on instances without a disk. It must not be shared with another instance." env:"BRIARYARD_DATA_FOLDER"`
	Voters           []string      `help:"Names of the instances that form the control group at its first start; 3 tolerate the loss of one and 5 the loss of two. The number is not checked. At later starts they are used to find the group." env:"BRIARYARD_VOTERS"`
	ConfirmWithin    time.Duration `help:"How long this instance accepts new requests without having its configuration confirmed (2s to 60s)." env:"BRIARYARD_CONFIRM_WITHIN" default:"5s"`
	PeerAddress      string        `help:"Address (host:port) where other instances connect; empty for a fleet of one." env:"BRIARYARD_PEER_ADDRESS"`
	Peers            []string      `help:"Addresses (host:port) of a few other instances." env:"BRIARYARD_PEERS"`
	FleetToken       string        `help:"Token shared by the instances of the fleet." env:"BRIARYARD_FLEET_TOKEN"`
	FleetTokenFile   string        `name:"fleet-token-file" help:"File with the tokens of the fleet, one per line: the first is sent, all are accepted. It replaces --fleet-token and is reloaded when it changes." env:"BRIARYARD_FLEET_TOKEN_FILE"`
	AdvPeer          string        `name:"advertise-peer-address" help:"Peer address at which other instances reach this one, if it differs." env:"BRIARYARD_ADVERTISE_PEER_ADDRESS"`
	AdvCaller        string        `name:"advertise-caller-address" help:"Caller address at which callers reach this instance, if it differs." env:"BRIARYARD_ADVERTISE_CALLER_ADDRESS"`
	AdvServer        string        `name:"advertise-server-address" help:"Server address at which backend servers reach this instance, if it differs." env:"BRIARYARD_ADVERTISE_SERVER_ADDRESS"`
	AdvOperator      string        `name:"advertise-operator-address" help:"Operator address at which operators reach this instance, if it differs." env:"BRIARYARD_ADVERTISE_OPERATOR_ADDRESS"`
	TLSCert          string        `name:"tls-cert" help:"Certificate file (PEM) for all listeners; reloaded when it changes." env:"BRIARYARD_TLS_CERT"`
	TLSKey           string        `name:"tls-key" help:"Key file (PEM) of the certificate." env:"BRIARYARD_TLS_KEY"`
	TLSCA            string        `name:"tls-ca" help:"Certificate file (PEM) of the certificate authority that the instances share; reloaded when it changes." env:"BRIARYARD_TLS_CA"`
	AllowPlain       bool          `help:"Accept connections without TLS on addresses other than loopback." env:"BRIARYARD_ALLOW_PLAIN"`
	TokensFile       string        `help:"File with the tokens of teams, operators and backend servers; reloaded when it changes." env:"BRIARYARD_TOKENS_FILE"`
	Tokens           string        `help:"Tokens as text, in lines of the same form; they are accepted in addition to those of the file." env:"BRIARYARD_TOKENS"`
	BackendCA        string        `name:"backend-ca" help:"Certificate file (PEM) of the certificate authority of the backend servers; if set, calls to them use TLS. Reloaded when it changes." env:"BRIARYARD_BACKEND_CA"`
	BackendTokenFile string        `name:"backend-token-file" help:"File with the bearer token for calls to backend servers; reloaded when it changes." env:"BRIARYARD_BACKEND_TOKEN_FILE"`
	BackendToken     string        `help:"The token as text; not used with --backend-token-file." env:"BRIARYARD_BACKEND_TOKEN"`
	AddressTTL       time.Duration `name:"address-ttl" help:"How long callers may cache the list of addresses (1s to 5m). A graceful stop waits this long." env:"BRIARYARD_ADDRESS_TTL" default:"5s"`
	MaxBodyBytes     int64         `help:"Largest request body in bytes (1024 to 67108864)." env:"BRIARYARD_MAX_BODY_BYTES" default:"1048576"`
	LogLevel         string        `help:"Lowest level of log events: debug, info, warn or error." env:"BRIARYARD_LOG_LEVEL" default:"info" enum:"debug,info,warn,error"`
	httpserve.Limits
}

const (
	minAddressTTL    = time.Second
	maxAddressTTL    = 5 * time.Minute
	minBodyBytes     = 1024
	maxBodyBytes     = 64 << 20
	minConfirmWithin = 2 * time.Second
	maxConfirmWithin = time.Minute
)

// Check returns all errors of the settings.
func (s *Settings) Check() []fault.Fault {
	var faults []fault.Fault
	invalid := func(setting, reason string) {
		faults = append(faults, &fault.InvalidSetting{Setting: setting, Reason: reason})
	}
	if s.ID == "" {
		invalid("--id", "must not be empty")
	}
	if s.FailureDomain == "" {
		invalid("--failure-domain", "must not be empty")
	}
	for name, address := range map[string]string{
		"--caller-address": s.CallerAddress, "--server-address": s.ServerAddress, "--operator-address": s.OperatorAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			invalid(name, "want host:port")
		}
	}
	s.checkPeers(invalid)
	s.checkSecurity(invalid)
	if s.AddressTTL < minAddressTTL || s.AddressTTL > maxAddressTTL {
		invalid("--address-ttl", "must be from 1s to 5m")
	}
	s.checkControl(invalid)
	if s.MaxBodyBytes < minBodyBytes || s.MaxBodyBytes > maxBodyBytes {
		invalid("--max-body-bytes", "must be from 1024 to 67108864")
	}
	s.Limits.Check(invalid)
	return faults
}

func (s *Settings) checkPeers(invalid func(setting, reason string)) {
	addresses := append([]string{s.PeerAddress, s.AdvPeer, s.AdvCaller, s.AdvServer, s.AdvOperator}, s.Peers...)
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			invalid("address "+address, "want host:port")
		}
	}
	if len(s.Peers) > 0 && s.PeerAddress == "" {
		invalid("--peer-address", "is needed with --peers")
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err == nil && s.FleetToken+s.FleetTokenFile == "" && !isLoopback(host) {
		invalid("--fleet-token-file", "or --fleet-token is needed unless the peer address is a loopback address")
	}
}

func (s *Settings) checkSecurity(invalid func(setting, reason string)) {
	tlsConfigured := s.TLSCert != "" && s.TLSKey != "" && s.TLSCA != ""
	if !tlsConfigured && s.TLSCert+s.TLSKey+s.TLSCA != "" {
		invalid("--tls-cert", "needs --tls-key and --tls-ca with it")
	}
	for _, address := range []string{s.CallerAddress, s.ServerAddress, s.OperatorAddress, s.PeerAddress} {
		host, _, err := net.SplitHostPort(address)
		if err == nil && !tlsConfigured && !s.AllowPlain && !isLoopback(host) {
			invalid("address "+address, "needs --tls-cert, --tls-key and --tls-ca, or --allow-plain")
		}
	}
	if tlsConfigured {
		if _, err := trust.LoadTLS(s.tlsFiles(nil)); err != nil {
			invalid("--tls-cert", err.Error())
		}
	}
	if _, err := trust.LoadFleetTokens(s.FleetTokenFile, s.FleetToken, nil); err != nil {
		invalid("--fleet-token-file", err.Error())
	}
	if _, err := trust.LoadTokens(s.TokensFile, s.Tokens, nil); err != nil {
		invalid("--tokens", err.Error())
	}
	if _, err := trust.LoadOutgoing(s.outgoingFiles(nil)); err != nil {
		invalid("--backend-ca", err.Error())
	}
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// memberRecord returns the membership record of this instance.
func (s *Settings) memberRecord(incarnation model.Incarnation) model.Instance {
	return model.Instance{
		ID: model.InstanceID(s.ID), Incarnation: incarnation,
		Domain: model.FailureDomain(s.FailureDomain), PeerAddress: cmp.Or(s.AdvPeer, s.PeerAddress),
		CallerAddress: cmp.Or(s.AdvCaller, s.CallerAddress), ServerAddress: cmp.Or(s.AdvServer, s.ServerAddress),
		OperatorAddress: cmp.Or(s.AdvOperator, s.OperatorAddress), Voter: s.DataFolder != "",
		// Callers are directed to this instance only once its configuration is confirmed.
		Withdrawn: true,
	}
}

// place returns the instance id and failure domain, which select the exceptions of the
// configuration that apply to this instance.
func (s *Settings) place() declare.Place {
	return declare.Place{Instance: model.InstanceID(s.ID), Domain: model.FailureDomain(s.FailureDomain)}
}

// checkControl checks the settings of the control group. The dev command has none of them.
func (s *Settings) checkControl(invalid func(setting, reason string)) {
	if s.ConfirmWithin < minConfirmWithin || s.ConfirmWithin > maxConfirmWithin {
		invalid("--confirm-within", "must be from 2s to 60s")
	}
	if s.DataFolder != "" && len(s.Voters) == 0 {
		invalid("--voters", "must name the voters when --data-folder is set")
	}
	seen := make(map[string]bool)
	for _, v := range s.Voters {
		if v == "" || seen[v] {
			invalid("--voters", "names must not be empty or repeated")
		}
		seen[v] = true
	}
}

func (s *Settings) peers(incarnation model.Incarnation, c trust.TLSConfigs, tokens *trust.FleetTokens) peers.Options {
	return peers.Options{
		Self: s.memberRecord(incarnation), ListenAddress: s.PeerAddress, Peers: s.Peers, Tokens: tokens.Tokens,
		Codecs:    map[string]port.Codec{port.ControlName: control.NewCodec()},
		ServerTLS: c.PeerServer, ClientTLS: c.PeerClient,
	}
}
