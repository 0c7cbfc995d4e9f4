// Package controlclient implements the service through which an instance uses the control group.
//
// It owns the control-client duty, which runs decide/controlcall and sends its messages through
// the peers service. All decisions are made in decide/controlcall, and the state of a voter is
// never read directly, even of one in the same process. When no voter answers, commands end with
// fault.ControlUnavailable, the leases of this instance are published without a holder, and
// subscribers are told that the configuration is not confirmed. Local replaces Remote where there
// is no control group.
package controlclient
