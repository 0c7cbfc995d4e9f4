package controlwire

import "fmt"

// DecodeError reports input that is not a valid message.
type DecodeError struct{ Message, Reason string }

func (e *DecodeError) Error() string { return "invalid " + e.Message + ": " + e.Reason }

// EncodeError reports a value without an encoding, or one larger than the limit.
type EncodeError struct {
	Value  any
	Reason string
}

func (e *EncodeError) Error() string { return fmt.Sprintf("cannot encode %T: %s", e.Value, e.Reason) }
