package registry

import (
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/registry"
	"briaryard/internal/fault"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/wire/routedwire"
)

// Guards against an odd entry, of a server or of another instance, that harms a sound server: one at the
// same address with a start time in the future would make it count as gone, one under the same id with a
// sequence far ahead would mute it, and a removal for a later start would end it.
func TestOddEntriesHarmNoSoundServer(t *testing.T) {
	future := model.Incarnation(time.Now().Add(time.Hour).UnixMilli())
	for name, odd := range map[string]func(s *Service, reply func(error)){
		"same address, start in the future": func(s *Service, reply func(error)) {
			b := server(1, model.Alive)
			b.ID, b.Incarnation = "odd", future
			s.handle(time.Now(), announceRequest{b, reply})
		},
		"same id, largest sequence": func(s *Service, reply func(error)) {
			s.handle(time.Now(), announceRequest{server(math.MaxUint64, model.Alive), reply})
		},
		"same id, port out of range": func(s *Service, reply func(error)) {
			b := server(2, model.Alive)
			b.Address = "10.0.0.1:99999"
			s.handle(time.Now(), announceRequest{b, reply})
		},
		"removal of a later start": func(s *Service, reply func(error)) { s.handle(time.Now(), departRequest{"s", future, reply}) },
		"record of an instance": func(s *Service, reply func(error)) {
			b := server(1, model.Alive)
			b.ID, b.Incarnation = "odd", future
			s.handle(time.Now(), port.PeerMessage{From: "core2", Body: port.ServersMessage{Servers: []model.BackendServer{b, server(math.MaxUint64, model.Gone)}}})
			if s.metrics.Counter(metric.RecordsRefused, "instance").Count() != 2 {
				t.Error("the refused records were not counted")
			}
			reply(&fault.InvalidAnnouncement{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, n := newCore(t, "entry1", "core2")
			s.handle(time.Now(), announceRequest{server(1, model.Alive), func(error) {}})
			n.sent = nil
			var answer error
			odd(s, func(err error) { answer = err })
			var invalid *fault.InvalidAnnouncement
			if !errors.As(answer, &invalid) {
				t.Errorf("answered %v, want a refusal of the entry", answer)
			}
			if got := n.takeReceivers(); len(got) != 0 {
				t.Errorf("passed the entry on to %v", got)
			}
			s.handle(time.Now(), announceRequest{server(2, model.Leaving), func(error) {}})
			if record, _ := s.records.Get("s"); record.State != model.Leaving || record.Sequence != 2 {
				t.Errorf("the sound server is %v at sequence %d, want its next announcement to count", record.State, record.Sequence)
			}
		})
	}
}

// FuzzPeerRecords checks that no message of another instance ends the process or leaves an invalid record.
func FuzzPeerRecords(f *testing.F) {
	for _, body := range []any{
		port.ServersMessage{Servers: []model.BackendServer{server(1, model.Alive), {ID: "x", Incarnation: math.MaxUint64, State: model.Gone}}},
		port.AnnouncementsMessage{Servers: []port.AnnouncementRef{{ID: "s", Incarnation: 5, Sequence: math.MaxUint64}}},
	} {
		data, err := routedwire.Codec{}.Encode(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := routedwire.Codec{}.Decode(data)
		if err != nil {
			return
		}
		s, _ := newCore(t, "entry1")
		now := time.Now()
		s.handle(now, announceRequest{server(1, model.Alive), func(error) {}})
		s.handle(now, port.PeerMessage{From: "core2", Body: body})
		for _, record := range s.records.All() {
			if err := registry.CheckRecord(now, &record); err != nil {
				t.Errorf("%+v: %v", record, err)
			}
		}
	})
}
