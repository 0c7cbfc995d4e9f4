package app

import (
	"cmp"
	"net"
	"time"

	"briaryard/internal/declare"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/control"
	"briaryard/internal/service/peers"
	"briaryard/internal/trust"
)

// Settings are the process settings of an instance. Each is a flag and an environment
// variable of the serve command.
type Settings struct {
	ID            string        `help:"Name of this instance, unique in the fleet." env:"BRIARYARD_ID" default:"instance-1"`
	FailureDomain string        `help:"Failure domain of this machine." env:"BRIARYARD_FAILURE_DOMAIN" default:"domain-1"`
	CallerAddress string        `help:"Address (host:port) where callers connect." env:"BRIARYARD_CALLER_ADDRESS" default:"127.0.0.1:8080"`
	ServerAddress string        `help:"Address (host:port) where backend servers announce themselves." env:"BRIARYARD_SERVER_ADDRESS" default:"127.0.0.1:8081"`
	OperAddress   string        `name:"operator-address" help:"Address (host:port) where operators connect." env:"BRIARYARD_OPERATOR_ADDRESS" default:"127.0.0.1:8082"`
	DataFolder    string        `help:"Folder for the durable state of a voter; empty on instances without a disk. It must belong to this instance alone." env:"BRIARYARD_DATA_FOLDER"`
	Voters        []string      `help:"Names of the instances that form the control group at its first start; 3 survive the loss of one and 5 of two, and the number is not checked. Later starts use them to find the group." env:"BRIARYARD_VOTERS"`
	ConfirmWithin time.Duration `help:"How long this instance takes new work without having its configuration confirmed (2s to 60s)." env:"BRIARYARD_CONFIRM_WITHIN" default:"5s"`
	PeerAddress   string        `help:"Address (host:port) where other instances connect; empty for a fleet of one." env:"BRIARYARD_PEER_ADDRESS"`
	Peers         []string      `help:"Addresses (host:port) of a few other instances." env:"BRIARYARD_PEERS"`
	FleetToken    string        `help:"Token that the instances of the fleet share." env:"BRIARYARD_FLEET_TOKEN"`
	FleetFile     string        `name:"fleet-token-file" help:"File with the tokens of the fleet, one a line: the first is sent, all are accepted. It takes the place of --fleet-token and is read again when it changes." env:"BRIARYARD_FLEET_TOKEN_FILE"`
	AdvPeer       string        `name:"advertise-peer-address" help:"Peer address as others reach it, if it differs." env:"BRIARYARD_ADVERTISE_PEER_ADDRESS"`
	AdvCaller     string        `name:"advertise-caller-address" help:"Caller address as callers reach it, if it differs." env:"BRIARYARD_ADVERTISE_CALLER_ADDRESS"`
	AdvServer     string        `name:"advertise-server-address" help:"Server address as backend servers reach it, if it differs." env:"BRIARYARD_ADVERTISE_SERVER_ADDRESS"`
	AdvOperator   string        `name:"advertise-operator-address" help:"Operator address as operators reach it, if it differs." env:"BRIARYARD_ADVERTISE_OPERATOR_ADDRESS"`
	TLSCert       string        `name:"tls-cert" help:"Certificate file (PEM) for all listeners; read again when it changes." env:"BRIARYARD_TLS_CERT"`
	TLSKey        string        `name:"tls-key" help:"Key file (PEM) of the certificate." env:"BRIARYARD_TLS_KEY"`
	TLSCA         string        `name:"tls-ca" help:"Certificate file (PEM) of the authority that the instances share; read again when it changes." env:"BRIARYARD_TLS_CA"`
	AllowPlain    bool          `help:"Accept plain connections on addresses other than loopback." env:"BRIARYARD_ALLOW_PLAIN"`
	TokensFile    string        `help:"File with the tokens of teams, operators and backend servers; read again when it changes." env:"BRIARYARD_TOKENS_FILE"`
	Tokens        string        `help:"Lines of the same form as text; they count beside those of the file." env:"BRIARYARD_TOKENS"`
	BackendCA     string        `name:"backend-ca" help:"Certificate file (PEM) of the authority of the backend servers; with it calls to them use TLS. Read again when it changes." env:"BRIARYARD_BACKEND_CA"`
	BackendFile   string        `name:"backend-token-file" help:"File with the bearer token of calls to backend servers; read again when it changes." env:"BRIARYARD_BACKEND_TOKEN_FILE"`
	BackendToken  string        `help:"The token as text; not used with --backend-token-file." env:"BRIARYARD_BACKEND_TOKEN"`
	AddressTTL    time.Duration `name:"address-ttl" help:"How long callers may keep the list of addresses (1s to 5m). A stop waits this long." env:"BRIARYARD_ADDRESS_TTL" default:"5s"`
	MaxBodyBytes  int64         `help:"Largest request body in bytes (1024 to 67108864)." env:"BRIARYARD_MAX_BODY_BYTES" default:"1048576"`
	LogLevel      string        `help:"Lowest level of log events: debug, info, warn or error." env:"BRIARYARD_LOG_LEVEL" default:"info" enum:"debug,info,warn,error"`
}

const (
	minAddressTTL = time.Second
	maxAddressTTL = 5 * time.Minute
	minBodyBytes  = 1024
	maxBodyBytes  = 64 << 20
	minConfirm    = 2 * time.Second
	maxConfirm    = time.Minute
)

// Check returns every fault of the settings at once.
func (s *Settings) Check() []fault.Fault {
	var faults []fault.Fault
	bad := func(setting, reason string) {
		faults = append(faults, &fault.InvalidSetting{Setting: setting, Reason: reason})
	}
	if s.ID == "" {
		bad("--id", "must not be empty")
	}
	if s.FailureDomain == "" {
		bad("--failure-domain", "must not be empty")
	}
	for name, address := range map[string]string{
		"--caller-address": s.CallerAddress, "--server-address": s.ServerAddress, "--operator-address": s.OperAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			bad(name, "want host:port")
		}
	}
	s.checkPeers(bad)
	s.checkTrust(bad)
	if s.AddressTTL < minAddressTTL || s.AddressTTL > maxAddressTTL {
		bad("--address-ttl", "must be from 1s to 5m")
	}
	s.checkControl(bad)
	if s.MaxBodyBytes < minBodyBytes || s.MaxBodyBytes > maxBodyBytes {
		bad("--max-body-bytes", "must be from 1024 to 67108864")
	}
	return faults
}

func (s *Settings) checkPeers(bad func(setting, reason string)) {
	addresses := append([]string{s.PeerAddress, s.AdvPeer, s.AdvCaller, s.AdvServer, s.AdvOperator}, s.Peers...)
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			bad("address "+address, "want host:port")
		}
	}
	if len(s.Peers) > 0 && s.PeerAddress == "" {
		bad("--peer-address", "is needed with --peers")
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err == nil && s.FleetToken+s.FleetFile == "" && !isLoopback(host) {
		bad("--fleet-token-file", "or --fleet-token is needed unless the peer address is a loopback address")
	}
}

func (s *Settings) checkTrust(bad func(setting, reason string)) {
	given := s.TLSCert != "" && s.TLSKey != "" && s.TLSCA != ""
	if !given && s.TLSCert+s.TLSKey+s.TLSCA != "" {
		bad("--tls-cert", "needs --tls-key and --tls-ca with it")
	}
	for _, address := range []string{s.CallerAddress, s.ServerAddress, s.OperAddress, s.PeerAddress} {
		host, _, err := net.SplitHostPort(address)
		if err == nil && !given && !s.AllowPlain && !isLoopback(host) {
			bad("address "+address, "needs --tls-cert, --tls-key and --tls-ca, or --allow-plain")
		}
	}
	if given {
		if _, err := trust.Load(s.files(nil)); err != nil {
			bad("--tls-cert", err.Error())
		}
	}
	if _, err := trust.LoadFleetTokens(s.FleetFile, s.FleetToken, nil); err != nil {
		bad("--fleet-token-file", err.Error())
	}
	if _, err := trust.LoadTokens(s.TokensFile, s.Tokens, nil); err != nil {
		bad("--tokens", err.Error())
	}
	if _, err := trust.LoadOutgoing(s.outgoingFiles(nil)); err != nil {
		bad("--backend-ca", err.Error())
	}
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// instance returns this instance's own membership record.
func (s *Settings) instance(incarnation model.Incarnation) model.Instance {
	return model.Instance{
		ID: model.InstanceID(s.ID), Incarnation: incarnation,
		Domain: model.FailureDomain(s.FailureDomain), PeerAddress: cmp.Or(s.AdvPeer, s.PeerAddress),
		CallerAddress: cmp.Or(s.AdvCaller, s.CallerAddress), ServerAddress: cmp.Or(s.AdvServer, s.ServerAddress),
		OperatorAddress: cmp.Or(s.AdvOperator, s.OperAddress), Voter: s.DataFolder != "",
		// Callers are sent here once the configuration is confirmed.
		Withdrawn: true,
	}
}

// place selects the exceptions of the configuration that apply to this instance.
func (s *Settings) place() declare.Place {
	return declare.Place{Instance: model.InstanceID(s.ID), Domain: model.FailureDomain(s.FailureDomain)}
}

// checkControl checks the settings of the control group. The dev command has none.
func (s *Settings) checkControl(bad func(setting, reason string)) {
	if s.ConfirmWithin < minConfirm || s.ConfirmWithin > maxConfirm {
		bad("--confirm-within", "must be from 2s to 60s")
	}
	if s.DataFolder != "" && len(s.Voters) == 0 {
		bad("--voters", "must name the voters when --data-folder is set")
	}
	seen := make(map[string]bool)
	for _, v := range s.Voters {
		if v == "" || seen[v] {
			bad("--voters", "names must not be empty or repeated")
		}
		seen[v] = true
	}
}

func (s *Settings) peers(incarnation model.Incarnation, c trust.Configs, fleet *trust.FleetTokens) peers.Options {
	return peers.Options{
		Self: s.instance(incarnation), Listen: s.PeerAddress, Peers: s.Peers, Tokens: fleet.Tokens,
		Codecs:    map[string]port.Codec{port.ControlName: control.NewCodec()},
		ServerTLS: c.PeerServer, ClientTLS: c.PeerClient,
	}
}
