package state

import (
	"time"

	"briaryard/internal/model"
)

// Export is the complete content of a Machine as plain values, for a snapshot. Equal machines
// have equal exports.
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
	// Rollouts lists the last roll-out of each service by name.
	Rollouts []model.Rollout
}

// InvalidExportError reports an export that no machine with the given limits can produce.
type InvalidExportError struct{ Reason string }

func (e *InvalidExportError) Error() string { return "invalid state: " + e.Reason }

// Export returns the content of the machine. It shares answers and configuration contents with
// the machine, which never modifies them in place.
func (m *Machine) Export() Export { return m.View().Export() }

// Import returns a machine with the content of an export. The limits must equal those of the
// exported machine.
func Import(e Export, limits Limits) (*Machine, error) {
	im := NewImporter(limits)
	for _, r := range e.Claims {
		im.Claim(r)
	}
	for _, b := range e.Barriers {
		im.Barrier(b)
	}
	return im.Finish(e)
}

// Importer builds a machine from the parts of an export, so that its claims and barriers need
// not be in memory twice.
type Importer struct {
	machine *Machine
	// reason is the first error found, or empty.
	reason string
}

// NewImporter returns an importer for an empty machine.
func NewImporter(limits Limits) *Importer { return &Importer{machine: NewMachine(limits)} }

// setReason records a reason unless there is one already. An empty reason means no error.
func (im *Importer) setReason(reason string) {
	if im.reason == "" {
		im.reason = reason
	}
}

// Claim adds the next claim in the order of Export.Claims.
func (im *Importer) Claim(r ClaimRecord) {
	c := &im.machine.claims
	if c.table.len() >= im.machine.limits.Claims {
		im.setReason("too many claims")
		return
	}
	im.setReason(c.restore(r))
	if c.answerBytes > im.machine.limits.TotalAnswerBytes {
		im.setReason("answers exceed the total size limit")
	}
}

// Barrier adds the next barrier in the order of Export.Barriers.
func (im *Importer) Barrier(b Barrier) {
	c := &im.machine.claims
	if _, duplicate := c.barriers[b.Key]; duplicate {
		im.setReason("duplicate barrier of a key")
	}
	if len(c.barriers) >= im.machine.limits.Barriers {
		im.setReason("too many barriers")
		return
	}
	c.setBarrier(b, im.machine.limits)
}

// Finish adds the remaining parts of the export and returns the machine, or an
// InvalidExportError.
func (im *Importer) Finish(rest Export) (*Machine, error) {
	m := im.machine
	im.setReason(rest.checkLimits(m.limits))
	m.applied, m.now, m.claims.floor = rest.Applied, rest.Now, rest.Floor
	im.setReason(m.configs.restore(rest, m.limits))
	for _, l := range rest.Leases {
		if _, duplicate := m.leases[l.Name]; duplicate {
			im.setReason("duplicate lease name")
		}
		m.leases[l.Name] = l
	}
	im.setReason(m.restoreRollouts(rest.Rollouts))
	if im.reason != "" {
		return nil, &InvalidExportError{Reason: im.reason}
	}
	return m, nil
}

// checkLimits returns the reason why the changes, leases or floor are invalid, or an empty
// string.
func (e *Export) checkLimits(limits Limits) string {
	switch {
	case len(e.Changes) > limits.Changes || len(e.Refused) > limits.Changes:
		return "too many changes"
	case len(e.Leases) > limits.Leases:
		return "too many leases"
	case e.Floor > e.Applied:
		return "floor index above the last applied index"
	}
	return ""
}

// restore adds a claim of an export. It returns the reason why the claim is invalid, or an empty
// string.
func (c *claims) restore(r ClaimRecord) string {
	if _, duplicate := c.table.slots[r.Key]; duplicate {
		return "duplicate claim of a key"
	}
	switch {
	case r.Status == ClaimHeld && r.Answer == nil:
		c.addHeld(r)
		return ""
	case r.Status == ClaimUnknown && r.Answer == nil:
		c.table.add(r)
		return ""
	case r.Status == ClaimFinished:
		slot := c.table.add(r)
		c.finished = append(c.finished, slot)
		if r.Answer != nil {
			c.withAnswer = append(c.withAnswer, slot)
			c.answerBytes += len(r.Answer.Body)
		}
		return ""
	}
	return "invalid claim status " + r.Status.String()
}

// restore sets the configuration and the changes of an export. It returns the reason why they
// are invalid, or an empty string.
func (c *configs) restore(e Export, limits Limits) string {
	c.current = e.Config
	last := e.Config.Revision
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if i == len(e.Changes)-1 && e.Changes[i].Revision != last || i < len(e.Changes)-1 && e.Changes[i].Revision >= last {
			return "revisions of changes are out of order"
		}
		last = e.Changes[i].Revision
	}
	for _, change := range e.Changes {
		if _, duplicate := c.accepted[change.ChangeID]; duplicate {
			return "duplicate change id"
		}
		c.accept(change, limits)
	}
	for _, r := range e.Refused {
		c.refuse(r, limits)
	}
	return ""
}
