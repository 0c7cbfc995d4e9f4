package state

import (
	"bytes"
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// View is an immutable snapshot of a Machine at one log index. Another goroutine may read it
// while the machine applies further entries: shared memory is replaced by the machine and never
// modified in place.
type View struct {
	Applied uint64
	Now     time.Time
	Floor   uint64
	Config  AcceptedConfig
	// Changes and Refused list accepted and refused changes, oldest first.
	Changes []Change
	Refused []RefusedChange

	pages    []*page
	finished []uint32
	barriers []Barrier
	leases   map[string]Lease
	// Rollouts lists the last roll-out of each service by name.
	Rollouts []model.Rollout
}

// View returns a snapshot of the current content. Its cost is proportional to the number of
// pages and leases, not of claims.
func (m *Machine) View() *View {
	c := &m.claims
	return &View{
		Applied: m.applied, Now: m.now, Floor: c.floor, Config: m.configs.current,
		Changes: m.configs.history, Refused: m.configs.refused,
		pages: c.table.view(), finished: c.finished, barriers: c.barrierQueue, leases: maps.Clone(m.leases),
		Rollouts: m.Rollouts(),
	}
}

// Claims returns held and unknown claims sorted by key, then finished claims, oldest first.
func (v *View) Claims() iter.Seq[*ClaimRecord] {
	return func(yield func(*ClaimRecord) bool) {
		for _, r := range v.unfinished() {
			if !yield(r) {
				return
			}
		}
		for _, slot := range v.finished {
			if !yield(&v.pages[slot/pageSize].records[slot%pageSize]) {
				return
			}
		}
	}
}

// Teams returns the sorted names of the teams that have claims, without the empty name.
func (v *View) Teams() []model.TeamID {
	teams := make(map[model.TeamID]struct{})
	for _, p := range v.pages {
		for i := range p.records {
			if team := p.records[i].Team; team != "" {
				teams[team] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(teams))
}

// unfinished returns the held and unknown claims, sorted by key.
func (v *View) unfinished() []*ClaimRecord {
	var records []*ClaimRecord
	for _, p := range v.pages {
		for i := range p.records {
			if s := p.records[i].Status; s == ClaimHeld || s == ClaimUnknown {
				records = append(records, &p.records[i])
			}
		}
	}
	slices.SortFunc(records, func(a, b *ClaimRecord) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return records
}

// Barriers returns the barriers in force, oldest first. Of several barriers of one key, only the
// last is in force.
func (v *View) Barriers() []Barrier {
	seen := make(map[model.KeyHash]struct{}, len(v.barriers))
	var out []Barrier
	for _, b := range slices.Backward(v.barriers) {
		if _, replaced := seen[b.Key]; !replaced {
			seen[b.Key] = struct{}{}
			out = append(out, b)
		}
	}
	slices.Reverse(out)
	return out
}

// Leases returns all leases, sorted by name.
func (v *View) Leases() []Lease {
	return slices.SortedFunc(maps.Values(v.leases), func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
}

// Export returns the content as plain values.
func (v *View) Export() Export {
	e := Export{
		Applied: v.Applied, Now: v.Now, Floor: v.Floor, Config: v.Config,
		Changes: slices.Clone(v.Changes), Refused: slices.Clone(v.Refused),
		Barriers: v.Barriers(), Leases: v.Leases(), Rollouts: slices.Clone(v.Rollouts),
	}
	for r := range v.Claims() {
		e.Claims = append(e.Claims, *r)
	}
	return e
}
