package referral

import (
	"slices"

	"briaryard/internal/model"
)

// maxListed bounds the members that lists have named.
const maxListed = 64

// Directory holds the known members of the control group.
type Directory struct {
	// listed is sorted.
	listed    []model.InstanceID
	connected map[model.InstanceID]struct{}
}

// NewDirectory returns a directory without members.
func NewDirectory() *Directory {
	return &Directory{connected: make(map[model.InstanceID]struct{})}
}

// SetList replaces the members by the list of the leader.
func (d *Directory) SetList(members []model.InstanceID) {
	d.listed = nil
	d.AddList(members)
}

// AddList adds members that an instance other than the leader has named. It may not know that one has
// left.
func (d *Directory) AddList(members []model.InstanceID) {
	for _, id := range members {
		if at, known := slices.BinarySearch(d.listed, id); !known && len(d.listed) < maxListed {
			d.listed = slices.Insert(d.listed, at, id)
		}
	}
}

// SetConnected records whether a member is connected to this instance. An instance is a member if its own
// record says so.
func (d *Directory) SetConnected(i *model.Instance, connected bool) {
	if connected && i.Voter {
		d.connected[i.ID] = struct{}{}
	} else {
		delete(d.connected, i.ID)
	}
}

// Members returns the known members, sorted.
func (d *Directory) Members() []model.InstanceID {
	members := slices.Clone(d.listed)
	for id := range d.connected {
		if at, known := slices.BinarySearch(members, id); !known {
			members = slices.Insert(members, at, id)
		}
	}
	return members
}
