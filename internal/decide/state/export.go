package state

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Export is the whole content of a Machine as plain values, for a snapshot. Two equal
// machines have equal exports.
type Export struct {
	Applied uint64
	Now     time.Time
	Floor   uint64
	// Claims lists held and unknown claims by key, then finished claims, oldest first.
	Claims []ClaimRecord
	// Barriers lists barriers, oldest first.
	Barriers []Barrier
	Config   AcceptedConfig
	// Changes and Refused list accepted and refused changes, oldest first.
	Changes []Change
	Refused []RefusedChange
	// Leases lists all leases by name.
	Leases []Lease
}

// InvalidExportError reports an export that no machine with the limits can have.
type InvalidExportError struct{ Reason string }

func (e *InvalidExportError) Error() string { return "invalid state: " + e.Reason }

// Export returns the content. It shares answers and contents with the machine, which never
// changes them in place.
func (m *Machine) Export() Export {
	e := Export{
		Applied: m.applied, Now: m.now, Floor: m.claims.floor,
		Config:  m.configs.current,
		Changes: slices.Clone(m.configs.history), Refused: slices.Clone(m.configs.refused),
	}
	for _, r := range m.claims.byKey {
		if r.Status != ClaimFinished {
			e.Claims = append(e.Claims, *r)
		}
	}
	slices.SortFunc(e.Claims, func(a, b ClaimRecord) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	for _, key := range m.claims.finished {
		e.Claims = append(e.Claims, *m.claims.byKey[key])
	}
	for _, b := range m.claims.barrierAge {
		if m.claims.barriers[b.Key] == b {
			e.Barriers = append(e.Barriers, b)
		}
	}
	for _, l := range m.leases {
		e.Leases = append(e.Leases, l)
	}
	slices.SortFunc(e.Leases, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return e
}

// Import returns a machine with the content of an export. The limits must be those of the
// machine that was exported.
func Import(e Export, limits Limits) (*Machine, error) {
	if reason := e.fault(limits); reason != "" {
		return nil, &InvalidExportError{Reason: reason}
	}
	m := NewMachine(limits)
	m.applied, m.now, m.claims.floor = e.Applied, e.Now, e.Floor
	for i := range e.Claims {
		if reason := m.claims.restore(&e.Claims[i]); reason != "" {
			return nil, &InvalidExportError{Reason: reason}
		}
	}
	if m.claims.answerBytes > limits.TotalAnswerBytes {
		return nil, &InvalidExportError{Reason: "too many bytes of answers"}
	}
	for _, b := range e.Barriers {
		if _, twice := m.claims.barriers[b.Key]; twice {
			return nil, &InvalidExportError{Reason: "two barriers for one key"}
		}
		m.claims.setBarrier(b, limits)
	}
	if reason := m.configs.restore(e, limits); reason != "" {
		return nil, &InvalidExportError{Reason: reason}
	}
	for _, l := range e.Leases {
		if _, twice := m.leases[l.Name]; twice {
			return nil, &InvalidExportError{Reason: "two leases with one name"}
		}
		m.leases[l.Name] = l
	}
	return m, nil
}

func (e *Export) fault(limits Limits) string {
	switch {
	case len(e.Claims) > limits.Claims:
		return "too many claims"
	case len(e.Barriers) > limits.Barriers:
		return "too many barriers"
	case len(e.Changes) > limits.Changes || len(e.Refused) > limits.Changes:
		return "too many changes"
	case len(e.Leases) > limits.Leases:
		return "too many leases"
	case e.Floor > e.Applied:
		return "floor beyond the last applied entry"
	}
	return ""
}

func (c *claims) restore(r *ClaimRecord) string {
	if _, twice := c.byKey[r.Key]; twice {
		return "two claims for one key"
	}
	switch {
	case r.Status == ClaimHeld && r.Answer == nil:
		c.hold(r)
		return ""
	case r.Status == ClaimUnknown && r.Answer == nil:
		c.byKey[r.Key] = r
		return ""
	case r.Status == ClaimFinished:
		c.byKey[r.Key] = r
		c.finished = append(c.finished, r.Key)
		if r.Answer != nil {
			c.kept = append(c.kept, r.Key)
			c.answerBytes += len(r.Answer.Body)
		}
		return ""
	}
	return "claim status " + r.Status.String()
}

func (c *configs) restore(e Export, limits Limits) string {
	c.current = e.Config
	last := e.Config.Revision
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if i == len(e.Changes)-1 && e.Changes[i].Revision != last || i < len(e.Changes)-1 && e.Changes[i].Revision >= last {
			return "revisions out of order"
		}
		last = e.Changes[i].Revision
	}
	for _, change := range e.Changes {
		if _, twice := c.accepted[change.ChangeID]; twice {
			return "two changes with one id"
		}
		c.accept(change, limits)
	}
	for _, r := range e.Refused {
		c.refuse(r, limits)
	}
	return ""
}
