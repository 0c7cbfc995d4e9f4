package state

import (
	"slices"

	"briaryard/internal/model"
)

// pageSize is the number of records that the first write to a page after a view copies. With
// records of 144 bytes, a copy takes about a microsecond. The allocator rounds a page of 9224
// bytes up to 9472 bytes, the same size class as for records of 128 bytes without a team.
const pageSize = 64

// page holds records by value and is copied on write. Invariant: a page whose epoch is older than
// that of its table may be read by a view and is immutable.
type page struct {
	epoch   uint64
	records [pageSize]ClaimRecord
}

// teamClaims counts the claims of one team. The records share the memory of its name.
type teamClaims struct {
	team   model.TeamID
	claims int
}

// table holds claim records in copy-on-write pages, so that a view of all records costs only a
// copy of the list of pages. A record keeps its slot as long as it exists.
type table struct {
	slots map[model.KeyHash]uint32
	pages []*page
	// free lists the unused slots; their records have the status ClaimNone.
	free []uint32
	// epoch is the number of views taken.
	epoch uint64
	// teams holds the teams that have at least one record.
	teams map[model.TeamID]*teamClaims
}

func newTable() table {
	return table{slots: make(map[model.KeyHash]uint32), teams: make(map[model.TeamID]*teamClaims)}
}

func (t *table) len() int { return len(t.slots) }

// teamCount returns the number of records of a team, whatever their status.
func (t *table) teamCount(team model.TeamID) int {
	if c := t.teams[team]; c != nil {
		return c.claims
	}
	return 0
}

// at returns the record in a slot for reading.
func (t *table) at(slot uint32) *ClaimRecord {
	return &t.pages[slot/pageSize].records[slot%pageSize]
}

// find returns the record of a key for reading, or nil.
func (t *table) find(key model.KeyHash) (*ClaimRecord, uint32) {
	slot, ok := t.slots[key]
	if !ok {
		return nil, 0
	}
	return t.at(slot), slot
}

// writable returns the record in a slot for writing and copies its page if a view may read it.
// Pointers obtained earlier may refer to the old page.
func (t *table) writable(slot uint32) *ClaimRecord {
	p := &t.pages[slot/pageSize]
	if (*p).epoch < t.epoch {
		*p = &page{epoch: t.epoch, records: (*p).records}
	}
	return &(*p).records[slot%pageSize]
}

// add stores a record whose key is not in the table and returns its slot.
func (t *table) add(r ClaimRecord) uint32 {
	if len(t.free) == 0 {
		first := uint32(len(t.pages) * pageSize)
		t.pages = append(t.pages, &page{epoch: t.epoch})
		for i := range uint32(pageSize) {
			t.free = append(t.free, first+pageSize-1-i)
		}
	}
	slot := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	r.Team = t.incrementTeam(r.Team)
	*t.writable(slot) = r
	t.slots[r.Key] = slot
	return slot
}

// incrementTeam counts another record of a team and returns the shared copy of the team's name.
func (t *table) incrementTeam(team model.TeamID) model.TeamID {
	c := t.teams[team]
	if c == nil {
		c = &teamClaims{team: team}
		t.teams[team] = c
	}
	c.claims++
	return c.team
}

// decrementTeam uncounts a removed record of a team.
func (t *table) decrementTeam(team model.TeamID) {
	c := t.teams[team]
	if c.claims--; c.claims == 0 {
		delete(t.teams, team)
	}
}

// remove deletes the record in a slot and frees the slot.
func (t *table) remove(slot uint32) {
	r := t.writable(slot)
	t.decrementTeam(r.Team)
	delete(t.slots, r.Key)
	*r = ClaimRecord{}
	t.free = append(t.free, slot)
}

// view returns the current pages and makes them immutable.
func (t *table) view() []*page {
	t.epoch++
	return slices.Clone(t.pages)
}
