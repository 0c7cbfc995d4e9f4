package registry

import (
	"slices"
	"time"

	"briaryard/internal/decide/registry"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// handleSubscription begins or ends the sending of records to an instance.
func (s *Service) handleSubscription(from model.InstanceID, on bool) {
	if !s.core || !on {
		delete(s.subscribers, from)
		return
	}
	s.subscribers[from] = true
	s.sendRecords(from, s.records.All())
}

// handleStatus applies a connection change. After a reset a core instance sends all records to another
// one and to a subscriber. The other instances send those of the servers that have left: a core instance
// that has started since would take a late announcement of one for a new server.
func (s *Service) handleStatus(now time.Time, st port.PeerStatus) {
	id := st.Instance.ID
	switch st.State {
	case port.PeerDown:
		delete(s.connected, id)
		delete(s.corePeers, id)
		s.forgetSubscribers()
	case port.PeerUp, port.PeerReset:
		s.connected[id] = true
		s.corePeers[id] = st.Instance.PeerAddress != "" || slices.Contains(s.coreInstances, id)
	case port.PeerSilent, port.PeerRecovered:
	}
	delete(s.silent, id)
	if st.State == port.PeerSilent {
		s.silent[id] = true
	}
	if st.State == port.PeerReset {
		s.handleReset(now, id)
	}
	s.updateSources()
}

// forgetSubscribers bounds the subscribers, which are kept across a connection that is resumed.
func (s *Service) forgetSubscribers() {
	if len(s.subscribers) < maxSubscribers {
		return
	}
	for id := range s.subscribers {
		if !s.connected[id] {
			delete(s.subscribers, id)
		}
	}
}

// handleReset sends what another instance may lack after a loss of messages.
func (s *Service) handleReset(now time.Time, id model.InstanceID) {
	switch {
	case !s.core:
		s.sendRecords(id, s.records.Departed(now))
		// The core instance may have lost the subscription.
		if at := slices.Index(s.sources, id); at >= 0 && !s.send(id, port.RecordsSubscriptionMessage{On: true}) {
			s.sources = slices.Delete(s.sources, at, at+1)
		}
	case s.corePeers[id], s.subscribers[id]:
		s.sendRecords(id, s.records.All())
	}
}

// updateSources chooses the core instances that send this instance the records and tells those for which
// that changes.
func (s *Service) updateSources() {
	if s.core {
		return
	}
	var reachable []model.InstanceID
	for id := range s.connected {
		if !s.silent[id] && (s.corePeers[id] || slices.Contains(s.coreInstances, id)) {
			reachable = append(reachable, id)
		}
	}
	slices.Sort(reachable)
	self, _ := s.peers.Self()
	chosen := registry.ChooseSources(self, s.sources, reachable)
	if slices.Equal(chosen, s.sources) {
		return
	}
	// A source that cannot be told is tried again with the next tick.
	chosen = slices.DeleteFunc(chosen, func(id model.InstanceID) bool {
		return !slices.Contains(s.sources, id) && !s.send(id, port.RecordsSubscriptionMessage{On: true})
	})
	for _, id := range s.sources {
		if s.connected[id] && !slices.Contains(chosen, id) {
			s.send(id, port.RecordsSubscriptionMessage{On: false})
		}
	}
	s.log.Emit(event.RecordSources, chosen)
	s.sources = chosen
	for _, sink := range s.sourceSinks {
		sink(slices.Clone(chosen))
	}
}

// corePeersConnected reports whether all other core instances are connected.
func (s *Service) corePeersConnected() bool {
	self, _ := s.peers.Self()
	return !slices.ContainsFunc(s.coreInstances, func(id model.InstanceID) bool { return id != self && !s.connected[id] })
}
