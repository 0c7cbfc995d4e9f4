package controlwire

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/wire/controlpb"
)

const (
	// maxText bounds names, ids and content types.
	maxText = 1024
	// maxInstance bounds the id of an instance.
	maxInstance = 256
	// maxAnswer bounds the body of an answer. It exceeds Limits.AnswerBytes, which determines
	// which answers are kept.
	maxAnswer = 1 << 20
	// maxConfig bounds the content of a configuration, so that both a request and a log entry
	// that contain it stay below MaxCommand.
	maxConfig = MaxCommand - 8*maxText
	// maxLeases and maxInstances bound lists in messages; the design size is 380 instances and
	// one lease per pool.
	maxLeases    = 4096
	maxInstances = 4096
	// maxNumber bounds counts in answers, so that they fit an int on 32-bit platforms.
	maxNumber = 1<<31 - 1
)

// checker converts protobuf fields and records the first error, so that conversions can be written
// as plain assignments. The converted values are valid only if error returns nil.
type checker struct {
	message string
	err     *DecodeError
	// instances holds the ids that intern has seen.
	instances map[model.InstanceID]model.InstanceID
	// teams holds the teams of a snapshot, to which its claims refer by number.
	teams []model.TeamID
}

func (c *checker) fail(reason string) {
	if c.err == nil {
		c.err = &DecodeError{Message: c.message, Reason: reason}
	}
}

// error returns the first error. It converts a nil pointer to a nil interface.
func (c *checker) error() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

func (c *checker) text(s string) string {
	if len(s) > maxText {
		c.fail("text too long")
	}
	return s
}

func (c *checker) content(b []byte) []byte {
	if len(b) > maxConfig {
		c.fail("configuration too long")
	}
	return b
}

func (c *checker) instance(s string) model.InstanceID {
	if len(s) > maxInstance {
		c.fail("instance name too long")
	}
	return model.InstanceID(s)
}

func (c *checker) team(s string) model.TeamID { return model.TeamID(c.text(s)) }

func (c *checker) key(b []byte) model.KeyHash {
	var key model.KeyHash
	if len(b) != len(key) {
		c.fail("wrong size of key hash")
	}
	copy(key[:], b)
	return key
}

func (c *checker) fingerprint(b []byte) model.Fingerprint {
	var f model.Fingerprint
	if len(b) != len(f) {
		c.fail("wrong size of fingerprint")
	}
	copy(f[:], b)
	return f
}

func (c *checker) digest(b []byte) state.Digest {
	var d state.Digest
	if len(b) != len(d) {
		c.fail("wrong size of digest")
	}
	copy(d[:], b)
	return d
}

func (c *checker) number(n int64) int {
	if n < 0 || n > maxNumber {
		c.fail("number out of range")
		return 0
	}
	return int(n)
}

func (c *checker) request(m *controlpb.RequestID) model.RequestID {
	return model.RequestID{Instance: c.instance(m.GetInstance()), Incarnation: model.Incarnation(m.GetIncarnation()), Seq: m.GetSeq()}
}

func (c *checker) answer(m *controlpb.Answer) *model.Answer {
	if m == nil {
		return nil
	}
	if len(m.GetBody()) > maxAnswer {
		c.fail("answer too long")
	}
	return &model.Answer{Status: c.number(m.GetStatus()), ContentType: c.text(m.GetContentType()),
		Body: m.GetBody(), Tokens: c.number(m.GetTokens())}
}

func (c *checker) lookup(m *controlpb.Lookup) state.Lookup {
	return state.Lookup{Key: c.key(m.GetKey()), Fingerprint: c.fingerprint(m.GetFingerprint())}
}

func (c *checker) claimStatus(n uint32) state.ClaimStatus {
	if n > uint32(state.ClaimFull) {
		c.fail("unknown claim status")
		return state.ClaimNone
	}
	return state.ClaimStatus(n)
}

func (c *checker) lease(m *controlpb.Lease) state.Lease {
	return state.Lease{Name: c.text(m.GetName()), Holder: c.instance(m.GetHolder()),
		Incarnation: model.Incarnation(m.GetIncarnation()), Epoch: model.Epoch(m.GetEpoch())}
}

func (c *checker) leases(list []*controlpb.Lease) []state.Lease {
	if len(list) > maxLeases {
		c.fail("too many leases")
		return nil
	}
	var out []state.Lease
	for _, l := range list {
		out = append(out, c.lease(l))
	}
	return out
}

func (c *checker) config(m *controlpb.AcceptedConfig) state.AcceptedConfig {
	if m == nil {
		return state.AcceptedConfig{}
	}
	return state.AcceptedConfig{Revision: model.Revision(m.GetRevision()), ChangeID: c.text(m.GetChangeId()),
		Operator: c.text(m.GetOperator()), At: fromNanos(m.At), Content: c.content(m.GetContent())}
}

func leaseToPB(l state.Lease) *controlpb.Lease {
	return &controlpb.Lease{Name: l.Name, Holder: string(l.Holder), Incarnation: uint64(l.Incarnation), Epoch: uint64(l.Epoch)}
}

func leasesToPB(list []state.Lease) []*controlpb.Lease {
	var out []*controlpb.Lease
	for _, l := range list {
		out = append(out, leaseToPB(l))
	}
	return out
}

func configToPB(c state.AcceptedConfig) *controlpb.AcceptedConfig {
	return &controlpb.AcceptedConfig{Revision: uint64(c.Revision), ChangeId: c.ChangeID, Operator: c.Operator,
		At: toNanos(c.At), Content: c.Content}
}

// toNanos and fromNanos preserve the zero time, which cannot be expressed in nanoseconds since 1970.
func toNanos(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	n := t.UnixNano()
	return &n
}

func fromNanos(n *int64) time.Time {
	if n == nil {
		return time.Time{}
	}
	return time.Unix(0, *n).UTC()
}
