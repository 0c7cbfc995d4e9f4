package state

import "time"

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
func (m *Machine) Export() Export { return m.View().Export() }

// Import returns a machine with the content of an export. The limits must be those of the
// machine that was exported.
func Import(e Export, limits Limits) (*Machine, error) {
	im := NewImporter(limits)
	for _, r := range e.Claims {
		im.Claim(r)
	}
	for _, b := range e.Barriers {
		im.Barrier(b)
	}
	return im.Machine(e)
}

// Importer builds a machine from the parts of an export, so that its claims and barriers need
// not be in memory twice.
type Importer struct {
	machine *Machine
	reason  string
}

// NewImporter returns an importer without content.
func NewImporter(limits Limits) *Importer { return &Importer{machine: NewMachine(limits)} }

func (im *Importer) check(reason string) {
	if im.reason == "" {
		im.reason = reason
	}
}

// Claim adds the next claim in the order of Export.Claims.
func (im *Importer) Claim(r ClaimRecord) {
	c := &im.machine.claims
	if c.table.len() >= im.machine.limits.Claims {
		im.check("too many claims")
		return
	}
	im.check(c.restore(r))
	if c.answerBytes > im.machine.limits.TotalAnswerBytes {
		im.check("too many bytes of answers")
	}
}

// Barrier adds the next barrier in the order of Export.Barriers.
func (im *Importer) Barrier(b Barrier) {
	c := &im.machine.claims
	if _, twice := c.barriers[b.Key]; twice {
		im.check("two barriers for one key")
	}
	if len(c.barriers) >= im.machine.limits.Barriers {
		im.check("too many barriers")
		return
	}
	c.setBarrier(b, im.machine.limits)
}

// Machine adds the other parts of the export and returns the machine.
func (im *Importer) Machine(rest Export) (*Machine, error) {
	m := im.machine
	im.check(rest.fault(m.limits))
	m.applied, m.now, m.claims.floor = rest.Applied, rest.Now, rest.Floor
	im.check(m.configs.restore(rest, m.limits))
	for _, l := range rest.Leases {
		if _, twice := m.leases[l.Name]; twice {
			im.check("two leases with one name")
		}
		m.leases[l.Name] = l
	}
	if im.reason != "" {
		return nil, &InvalidExportError{Reason: im.reason}
	}
	return m, nil
}

func (e *Export) fault(limits Limits) string {
	switch {
	case len(e.Changes) > limits.Changes || len(e.Refused) > limits.Changes:
		return "too many changes"
	case len(e.Leases) > limits.Leases:
		return "too many leases"
	case e.Floor > e.Applied:
		return "floor beyond the last applied entry"
	}
	return ""
}

func (c *claims) restore(r ClaimRecord) string {
	if _, twice := c.table.slots[r.Key]; twice {
		return "two claims for one key"
	}
	switch {
	case r.Status == ClaimHeld && r.Answer == nil:
		c.hold(r)
		return ""
	case r.Status == ClaimUnknown && r.Answer == nil:
		c.table.add(r)
		return ""
	case r.Status == ClaimFinished:
		slot := c.table.add(r)
		c.finished = append(c.finished, slot)
		if r.Answer != nil {
			c.kept = append(c.kept, slot)
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
