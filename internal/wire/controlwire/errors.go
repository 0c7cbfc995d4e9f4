package controlwire

import "fmt"

// DecodeError reports input that is not a valid encoding. Message names what was decoded.
type DecodeError struct{ Message, Reason string }

func (e *DecodeError) Error() string { return "invalid " + e.Message + ": " + e.Reason }

// EncodeError reports a value that has no valid encoding or whose encoding exceeds the limit.
type EncodeError struct {
	Value  any
	Reason string
}

func (e *EncodeError) Error() string { return fmt.Sprintf("cannot encode %T: %s", e.Value, e.Reason) }
