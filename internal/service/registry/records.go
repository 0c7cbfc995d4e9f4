package registry

import (
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// handleAnnounce applies a valid announcement. A changed record is published before the server is
// answered.
func (s *Service) handleAnnounce(now time.Time, m announceRequest) {
	if err := s.records.Check(now, &m.server); err != nil {
		m.reply(err)
		return
	}
	record, changed := s.records.Announce(now, m.server)
	s.heardServers[m.server.ID] = port.AnnouncementRef{ID: m.server.ID, Incarnation: m.server.Incarnation, Sequence: m.server.Sequence}
	if changed {
		s.recordChanged(record, "", "announced")
		s.unanswered = append(s.unanswered, m.reply)
		return
	}
	if record.State == model.Suspect {
		s.recordHeard(now, m.server.ID, m.server.Incarnation, m.server.Sequence)
	}
	m.reply(nil)
}

// recordHeard records that a server has announced itself, here or at another core instance. A
// suspect server becomes alive again, which is published.
func (s *Service) recordHeard(now time.Time, id model.BackendServerID, incarnation model.Incarnation, sequence uint64) {
	if record, revived := s.records.Heard(now, id, incarnation, sequence); revived {
		s.recordChanged(record, "", "heard again")
	}
}

// handleDepart removes a server; the record is published before the server is answered. The removal of an unknown server without an
// incarnation is refused during warmUpDuration.
func (s *Service) handleDepart(now time.Time, m departRequest) {
	if err := s.records.Check(now, &model.BackendServer{ID: m.id, Incarnation: m.incarnation, State: model.Gone}); err != nil {
		m.reply(err)
		return
	}
	record, found := s.records.MarkGone(now, m.id, m.incarnation)
	switch {
	case found:
		s.recordChanged(record, "", "left")
		s.unanswered = append(s.unanswered, m.reply)
		return
	case time.Since(s.startedAt) < warmUpDuration:
		m.reply(&fault.NotServed{Reason: "this instance does not know all backend servers yet"})
		return
	}
	m.reply(nil)
}

// handleLeaving records that a server leaves and tells the core instances, which pass it on.
func (s *Service) handleLeaving(now time.Time, m leavingSaid) {
	record, changed := s.records.MarkLeaving(now, m.id, m.incarnation)
	if !changed {
		return
	}
	s.recordChanged(record, "", "said that it leaves")
	for id := range s.connected {
		s.sendRecords(id, []model.BackendServer{record})
	}
}

// handleRecords merges valid records from another instance and publishes those that have changed.
func (s *Service) handleRecords(now time.Time, from model.InstanceID, records []model.BackendServer) {
	changed := 0
	for _, b := range records {
		if err := s.records.Check(now, &b); err != nil {
			s.metrics.Counter(metric.RecordsRefused, "instance").Inc(1)
			s.refused.Emit(now, from, b.ID, err.Error())
			continue
		}
		if record, ok := s.records.Receive(now, b); ok {
			s.recordChanged(record, from, "received from "+string(from))
			changed++
		}
	}
	s.records.Forget(now)
	if changed > 0 && !s.core {
		s.log.Emit(event.RecordsReceived, from, len(records), changed)
	}
}

// handleAnnouncements handles a list of servers that have announced themselves to another core
// instance.
func (s *Service) handleAnnouncements(now time.Time, servers []port.AnnouncementRef) {
	for _, h := range servers {
		s.recordHeard(now, h.ID, h.Incarnation, h.Sequence)
	}
}
