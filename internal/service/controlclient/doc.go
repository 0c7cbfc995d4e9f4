// Package controlclient is the service that reaches the control group from any instance.
//
// It owns the control-client duty, which runs decide/controlcall and sends its messages
// through peers. It never decides itself and never reads the state of a voter directly, even
// one in the same process. When no voter answers, commands end with
// fault.ControlUnavailable, the leases held here are published as without holder, and
// subscribers are told that the configuration is not confirmed. Local takes the place of
// Remote where there is no control group.
package controlclient
