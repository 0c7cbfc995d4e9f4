package schedule

import (
	"time"

	"briaryard/internal/model"
)

// partition is one of several equal parts of the fleet; the zero value means that the fleet is not
// partitioned.
type partition struct{ index, of int }

// minPartitionSlots is the minimum number of slots in each partition of a service. With fewer, each
// scheduler uses all servers and limits the number of its requests.
const minPartitionSlots = 2

// assignSlots assigns this scheduler its partition of the slots of every service.
func (s *Scheduler) assignSlots() {
	for _, v := range s.services {
		v.applyVersions()
		v.assignSlots(s.partition)
		s.updateLimitShares(v)
	}
}

// assignSlots numbers the slots in rounds, first one of each server, then the second ones, and gives
// each partition an equal contiguous range: its slots are spread over as many servers as possible.
// Servers without an engine are not partitioned.
func (v *service) assignSlots(p partition) {
	total, maxSlots := 0, 0
	for _, b := range v.servers {
		b.slotLimited, b.slotLimit = false, 0
		if b.record.State == model.Alive && !b.barred {
			total += b.slots()
			maxSlots = max(maxSlots, b.slots())
		}
	}
	v.partitioned = p.of > 1 && v.engine != nil && total >= minPartitionSlots*p.of
	v.statsTime = time.Time{}
	if !v.partitioned {
		return
	}
	limits := make(map[*server]int)
	slot := 0
	for round := range maxSlots {
		for _, b := range v.servers {
			if b.record.State != model.Alive || b.barred || b.slots() <= round {
				continue
			}
			if slot*p.of/total == p.index {
				limits[b]++
			}
			slot++
		}
	}
	for _, b := range v.servers {
		b.slotLimited, b.slotLimit = true, limits[b]
	}
}
