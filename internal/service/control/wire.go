package control

import (
	"briaryard/internal/decide/state"
	"briaryard/internal/port"
	"briaryard/internal/wire/controlwire"
)

// WireCodecs implements Codecs with the protobuf messages of the control group.
type WireCodecs struct{}

// EncodeCommand implements Codecs.
func (WireCodecs) EncodeCommand(c state.Command) ([]byte, error) { return controlwire.EncodeCommand(c) }

// DecodeCommand implements Codecs.
func (WireCodecs) DecodeCommand(data []byte) (state.Command, error) {
	return controlwire.DecodeCommand(data)
}

// EncodeSnapshot implements Codecs.
func (WireCodecs) EncodeSnapshot(v *state.View) ([]byte, error) {
	return controlwire.EncodeSnapshot(v)
}

// DecodeSnapshot implements Codecs.
func (WireCodecs) DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error) {
	return controlwire.DecodeSnapshot(data, limits)
}

// Messages implements Codecs.
func (WireCodecs) Messages() port.Codec { return controlwire.Codec{} }
