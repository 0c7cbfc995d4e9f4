package model

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// InstanceID names one instance of briaryard, unique in the fleet.
type InstanceID string

// Incarnation distinguishes the runs of one instance or backend server. A later run has a larger
// number.
type Incarnation uint64

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// TeamID names a team, the unit of fair sharing and of limits.
type TeamID string

// CallerID names one caller inside a team.
type CallerID string

// PoolID names a set of interchangeable backend servers: a model or a plain service.
type PoolID string

// BackendServerID names one backend server.
type BackendServerID string

// Epoch is the fencing token of a lease. It never decreases for a given lease.
type Epoch uint64

// Revision numbers accepted configurations. It never decreases.
type Revision uint64

// RequestID identifies one attempt of a caller. It is unique in the fleet because the
// incarnation of the instance that accepted it is part of it.
type RequestID struct {
	Instance    InstanceID
	Incarnation Incarnation
	Seq         uint64
}

// String returns the form instance/incarnation/seq that logs and responses use.
func (id RequestID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Instance, id.Incarnation, id.Seq)
}

// InvalidRequestIDError reports text that is not a request id.
type InvalidRequestIDError struct{ Text string }

func (e *InvalidRequestIDError) Error() string { return fmt.Sprintf("invalid request id %q", e.Text) }

// ParseRequestID parses the form that String returns.
func ParseRequestID(text string) (RequestID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" {
		return RequestID{}, &InvalidRequestIDError{Text: text}
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return RequestID{}, &InvalidRequestIDError{Text: text}
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return RequestID{}, &InvalidRequestIDError{Text: text}
	}
	return RequestID{Instance: InstanceID(parts[0]), Incarnation: Incarnation(incarnation), Seq: seq}, nil
}

// KeyHash identifies an idempotency key within its team. Two teams that use the same key
// have different hashes, so neither can reach the other's answer.
type KeyHash [16]byte

// HashKey returns the hash of a team's idempotency key.
func HashKey(team TeamID, key string) KeyHash {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return KeyHash(sum[:16])
}

// IsZero reports whether the request carries no key.
func (k KeyHash) IsZero() bool { return k == KeyHash{} }

// String returns the hash in hexadecimal.
func (k KeyHash) String() string { return hex.EncodeToString(k[:]) }

// Fingerprint identifies the content of a request. Reusing an idempotency key with another
// fingerprint is a caller error.
type Fingerprint [32]byte
