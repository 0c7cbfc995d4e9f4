package state

import (
	"slices"

	"briaryard/internal/model"
)

// pageSize is the number of records that are copied by the first change after a view. With
// 144 bytes a record, a copy takes about a microsecond. The allocator gives a page of 9224 bytes
// 9472 bytes, as it did for records of 128 bytes without a team.
const pageSize = 64

// page holds records by value. Invariant: a page whose epoch is older than that of its table
// may be read by a view and never changes.
type page struct {
	epoch   uint64
	records [pageSize]ClaimRecord
}

// teamClaims counts the claims of one team. The records share the bytes of its name.
type teamClaims struct {
	team   model.TeamID
	claims int
}

// table holds claim records in pages, so that a view of all records costs only a copy of the
// list of pages. A record keeps its slot as long as it exists.
type table struct {
	slots map[model.KeyHash]uint32
	pages []*page
	// free lists the slots of removed records, whose status is ClaimNone.
	free  []uint32
	epoch uint64
	// teams holds the teams that have at least one record.
	teams map[model.TeamID]*teamClaims
}

func newTable() table {
	return table{slots: make(map[model.KeyHash]uint32), teams: make(map[model.TeamID]*teamClaims)}
}

func (t *table) len() int { return len(t.slots) }

// heldBy returns the number of records of a team.
func (t *table) heldBy(team model.TeamID) int {
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

// edit returns the record in a slot for writing. Earlier pointers to it may be outdated.
func (t *table) edit(slot uint32) *ClaimRecord {
	p := &t.pages[slot/pageSize]
	if (*p).epoch < t.epoch {
		*p = &page{epoch: t.epoch, records: (*p).records}
	}
	return &(*p).records[slot%pageSize]
}

// add stores a record whose key is not in the table.
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
	r.Team = t.count(r.Team)
	*t.edit(slot) = r
	t.slots[r.Key] = slot
	return slot
}

// count counts another record of a team and returns the team's name as the records keep it.
func (t *table) count(team model.TeamID) model.TeamID {
	c := t.teams[team]
	if c == nil {
		c = &teamClaims{team: team}
		t.teams[team] = c
	}
	c.claims++
	return c.team
}

func (t *table) uncount(team model.TeamID) {
	c := t.teams[team]
	if c.claims--; c.claims == 0 {
		delete(t.teams, team)
	}
}

func (t *table) remove(slot uint32) {
	r := t.edit(slot)
	t.uncount(r.Team)
	delete(t.slots, r.Key)
	*r = ClaimRecord{}
	t.free = append(t.free, slot)
}

// view returns the pages as they are now.
func (t *table) view() []*page {
	t.epoch++
	return slices.Clone(t.pages)
}
