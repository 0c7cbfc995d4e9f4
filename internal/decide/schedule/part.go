package schedule

import (
	"time"

	"briaryard/internal/model"
)

// part is one of equal parts of the fleet; the zero value stands for no division.
type part struct{ index, of int }

// minPart is the number of slots from which a part of a service is a choice of servers. Below it, each
// scheduler uses any server and bounds the number of its requests.
const minPart = 2

// divide assigns the slots of each service's engines to this scheduler's part.
func (s *Scheduler) divide() {
	for _, v := range s.services {
		v.divide(s.part)
	}
}

// divide counts the slots of the servers in rounds, first one of each server, then the second ones, and
// gives each part an equal run of them: the slots of a part lie on as many servers as possible.
func (v *service) divide(p part) {
	total, most := 0, 0
	for _, b := range v.list {
		b.limited, b.limit = false, 0
		if b.record.State == model.Alive {
			total += b.slots()
			most = max(most, b.slots())
		}
	}
	v.divided = p.of > 1 && v.engine != nil && total >= minPart*p.of
	v.asOf = time.Time{}
	if !v.divided {
		return
	}
	limits := make(map[*server]int)
	at := 0
	for round := range most {
		for _, b := range v.list {
			if b.record.State != model.Alive || b.slots() <= round {
				continue
			}
			if at*p.of/total == p.index {
				limits[b]++
			}
			at++
		}
	}
	for _, b := range v.list {
		b.limited, b.limit = true, limits[b]
	}
}
