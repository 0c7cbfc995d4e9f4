package registry

import (
	"maps"
	"slices"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// recordChanged marks a record for the next publication. A core instance logs it; the other instances
// log the number of records that they receive.
func (s *Service) recordChanged(b model.BackendServer, from model.InstanceID, reason string) {
	s.unpublished[b.ID] = from
	if s.core {
		s.log.Emit(event.RoutedServer, b.ID, b.Incarnation, b.Sequence, b.State.String(), b.Address, b.Pools, reason)
	}
}

// publishEvery returns the shortest time between two publications.
func (s *Service) publishEvery() time.Duration {
	if s.core {
		return publishInterval
	}
	return entryPublishInterval
}

// publish passes all records to the subscribers if some have changed, and answers the servers that wait
// for it. A core instance first sends the changed ones to the connected instances, but not back to the
// instance that they came from.
func (s *Service) publish(now time.Time) {
	if len(s.unpublished) == 0 {
		return
	}
	s.lastPublish = now
	if s.core {
		s.sendChanged()
	}
	clear(s.unpublished)
	all := s.records.All()
	for _, sink := range s.sinks {
		sink(all)
	}
	for _, reply := range s.unanswered {
		reply(nil)
	}
	s.unanswered = nil
}

// sendChanged sends the changed records to the connected instances.
func (s *Service) sendChanged() {
	ids := slices.Sorted(maps.Keys(s.unpublished))
	records := make([]model.BackendServer, 0, len(ids))
	sources := make(map[model.InstanceID]bool)
	for _, id := range ids {
		if record, ok := s.records.Get(id); ok {
			records = append(records, record)
			sources[s.unpublished[id]] = true
		}
	}
	for to := range s.connected {
		if !s.corePeers[to] && !s.subscribers[to] {
			continue
		}
		list := records
		if sources[to] {
			list = slices.DeleteFunc(slices.Clone(records), func(b model.BackendServer) bool { return s.unpublished[b.ID] == to })
		}
		if len(list) > 0 {
			s.send(to, port.ServersMessage{Servers: list})
		}
	}
}

// onEntryTick publishes changed records to the subscribers within this instance, and chooses sources again
// if some could not be told.
func (s *Service) onEntryTick(now time.Time) {
	s.publish(now)
	s.updateSources()
}

// onTick publishes servers whose state has changed by silence, and sends the other core instances
// the servers that have announced themselves since the last tick.
func (s *Service) onTick(now time.Time) {
	s.records.SetPeersReachable(now, s.corePeersConnected())
	for _, record := range s.records.Tick(now) {
		s.recordChanged(record, "", "silent")
	}
	s.publish(now)
	if len(s.heardServers) == 0 || now.Sub(s.lastHeardSent) < tickInterval {
		return
	}
	s.lastHeardSent = now
	var m port.AnnouncementsMessage
	for _, h := range s.heardServers {
		m.Servers = append(m.Servers, h)
	}
	clear(s.heardServers)
	self, _ := s.peers.Self()
	for id := range s.connected {
		if id != self && slices.Contains(s.coreInstances, id) {
			s.send(id, m)
		}
	}
}

// send queues a message and reports whether it was queued. One that cannot be queued is lost; the receiver
// gets all records when the connection is reset, and servers repeat their announcements.
func (s *Service) send(to model.InstanceID, body any) bool {
	err := s.peers.Send(to, port.RegistryName, body)
	if err != nil {
		s.log.Emit(event.PeerMessageLost, to, port.RegistryName, err.Error())
	}
	return err == nil
}

// sendRecords sends records to an instance, if there are any.
func (s *Service) sendRecords(to model.InstanceID, records []model.BackendServer) {
	if len(records) > 0 {
		s.send(to, port.ServersMessage{Servers: records})
	}
}
