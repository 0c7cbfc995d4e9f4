package quarantine

import (
	"slices"
	"time"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// all returns the whole ledger.
func (s *Service) all(now time.Time) []quarantine.RelativeRecord {
	var out []quarantine.RelativeRecord
	for _, r := range s.ledger.All() {
		out = append(out, r.Relative(now))
	}
	return out
}

// changeSources follows other core instances.
func (s *Service) changeSources(now time.Time, chosen []model.InstanceID) {
	for _, id := range chosen {
		if !slices.Contains(s.sources, id) {
			s.send(id, port.PartRecordsMessage{Follow: true, Records: s.all(now)})
		}
	}
	for _, id := range s.sources {
		if s.connected[id] && !slices.Contains(chosen, id) {
			s.send(id, port.PartRecordsMessage{Unfollow: true})
		}
	}
	s.sources = chosen
}

// handleStatus applies a connection change. After a reset the whole ledger is sent, because messages may
// have been lost, or the other instance may have restarted.
func (s *Service) handleStatus(now time.Time, st port.PeerStatus) {
	id := st.Instance.ID
	switch st.State {
	case port.PeerDown:
		delete(s.connected, id)
		s.forgetFollowers()
	case port.PeerUp:
		s.connected[id] = true
	case port.PeerReset:
		s.connected[id] = true
		switch {
		case !s.core && slices.Contains(s.sources, id):
			s.send(id, port.PartRecordsMessage{Follow: true, Records: s.all(now)})
		case s.core && (s.followers[id] || slices.Contains(s.coreInstances, id)):
			s.sendAll(now, id)
		}
	case port.PeerSilent, port.PeerRecovered:
	}
}

// sendAll sends the whole ledger to an instance, if it has records.
func (s *Service) sendAll(now time.Time, to model.InstanceID) {
	if s.ledger.Len() > 0 {
		s.send(to, port.PartRecordsMessage{Records: s.all(now)})
	}
}

// forgetFollowers bounds the followers, which are kept across a connection that is resumed.
func (s *Service) forgetFollowers() {
	if len(s.followers) < maxFollowers {
		return
	}
	for id := range s.followers {
		if !s.connected[id] {
			delete(s.followers, id)
		}
	}
}

// handleRecords merges records of another instance. The sender gets those that it has in an earlier
// generation, and a new follower gets all.
func (s *Service) handleRecords(now time.Time, from model.InstanceID, m port.PartRecordsMessage) {
	records := make([]quarantine.Record, 0, len(m.Records))
	for i := range m.Records {
		records = append(records, m.Records[i].Absolute(now))
	}
	changed, outdated := s.ledger.Merge(now, records)
	s.recordsChanged(now, changed, from)
	switch {
	case s.core && m.Follow:
		s.followers[from] = true
		s.sendAll(now, from)
		return
	case m.Unfollow:
		delete(s.followers, from)
	}
	var newer []quarantine.RelativeRecord
	for _, p := range outdated {
		if r, ok := s.ledger.Get(p); ok {
			newer = append(newer, r.Relative(now))
		}
	}
	if len(newer) > 0 {
		s.send(from, port.PartRecordsMessage{Records: newer})
	}
}
