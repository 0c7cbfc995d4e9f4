package control

import (
	"fmt"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/port"
	"briaryard/internal/wire/consensuswire"
)

// Kinds of messages to the control service, sent as the first byte.
const (
	kindCommand   = 1
	kindConsensus = 2
)

// UnknownKindError reports a message that does not start with a known kind. Kind is -1 for an empty
// message.
type UnknownKindError struct{ Kind int }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind %d of control message", e.Kind)
}

// NewCodec returns the codec of messages to the control service. Instances without a voter use it
// to send to the voters.
func NewCodec() port.Codec { return codec{commands: WireCodecs{}.Messages()} }

// codec encodes messages from instances and those between voters for one service name. The first
// byte tells them apart.
type codec struct {
	commands  port.Codec
	consensus consensuswire.Codec
}

// Encode implements port.Codec.
func (c codec) Encode(body any) ([]byte, error) {
	kind, inner := byte(kindCommand), c.commands
	if _, ok := body.(consensus.Message); ok {
		kind, inner = kindConsensus, c.consensus
	}
	data, err := inner.Encode(body)
	if err != nil {
		return nil, err
	}
	return append([]byte{kind}, data...), nil
}

// Decode implements port.Codec.
func (c codec) Decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, &UnknownKindError{Kind: -1}
	}
	switch data[0] {
	case kindCommand:
		return c.commands.Decode(data[1:])
	case kindConsensus:
		return c.consensus.Decode(data[1:])
	}
	return nil, &UnknownKindError{Kind: int(data[0])}
}
