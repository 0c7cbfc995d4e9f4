package registry_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/registry"
	"briaryard/internal/model"
)

// sound returns a valid record of a server that started at bornMS.
func sound(id string, bornMS int64, sequence uint64) model.BackendServer {
	s := server(id, "10.0.0.1:80", uint64(bornMS), sequence, model.Alive)
	s.Domain = "z1"
	return s
}

// Guards against an entry of another writer that is accepted with a field out of its range: the
// instances then connect to no server, or the entry outranks that of a sound server for good.
func TestRecordsWithAFieldOutOfRangeAreRefused(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for name, change := range map[string]func(*model.BackendServer){
		"no id":                    func(s *model.BackendServer) { s.ID = "" },
		"long id":                  func(s *model.BackendServer) { s.ID = model.BackendServerID(strings.Repeat("x", 129)) },
		"unknown state":            func(s *model.BackendServer) { s.State = model.Gone + 1 },
		"start in the future":      func(s *model.BackendServer) { s.Incarnation = model.Incarnation(now.Add(2 * time.Minute).UnixMilli()) },
		"largest start":            func(s *model.BackendServer) { s.Incarnation = math.MaxUint64 },
		"largest sequence":         func(s *model.BackendServer) { s.Sequence = math.MaxUint64 },
		"sequence above the bound": func(s *model.BackendServer) { s.Sequence = 1<<32 + 1 },
		"no slots":                 func(s *model.BackendServer) { s.Slots = 0 },
		"negative slots":           func(s *model.BackendServer) { s.Slots = -1 },
		"too many slots":           func(s *model.BackendServer) { s.Slots = 1<<16 + 1 },
		"no failure domain":        func(s *model.BackendServer) { s.Domain = "" },
		"long failure domain":      func(s *model.BackendServer) { s.Domain = model.FailureDomain(strings.Repeat("x", 129)) },
		"no service":               func(s *model.BackendServer) { s.Pools = nil },
		"long service":             func(s *model.BackendServer) { s.Pools = []model.PoolID{model.PoolID(strings.Repeat("x", 129))} },
		"too many models":          func(s *model.BackendServer) { s.Models = make([]string, 65) },
		"long model":               func(s *model.BackendServer) { s.Models = []string{strings.Repeat("x", 129)} },
		"port 99999":               func(s *model.BackendServer) { s.Address = "10.0.0.1:99999" },
		"port -1":                  func(s *model.BackendServer) { s.Address = "10.0.0.1:-1" },
		"port 0":                   func(s *model.BackendServer) { s.Address = "10.0.0.1:0" },
		"no port":                  func(s *model.BackendServer) { s.Address = "10.0.0.1:" },
		"no colon":                 func(s *model.BackendServer) { s.Address = "10.0.0.1" },
		"name":                     func(s *model.BackendServer) { s.Address = "host:80" },
		"any address":              func(s *model.BackendServer) { s.Address = "0.0.0.0:80" },
		"multicast":                func(s *model.BackendServer) { s.Address = "224.0.0.1:80" },
		"port with zeros":          func(s *model.BackendServer) { s.Address = "10.0.0.1:0080" },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := sound("a", now.UnixMilli(), 1)
			g.Expect(registry.CheckRecord(now, &s)).To(Succeed())
			change(&s)
			g.Expect(registry.CheckRecord(now, &s)).NotTo(Succeed())
		})
	}
}

// Guards against a sound server that is refused because the time of day of this instance has jumped back
// by some seconds.
func TestAClockThatIsSlowRefusesNoServer(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	s := sound("a", now.UnixMilli(), 1)
	g.Expect(registry.CheckRecord(now.Add(-30*time.Second), &s)).To(Succeed())
}

// Guards against an entry that takes the id of a sound server and a sequence far ahead, which would mute
// all later announcements of that server.
func TestASequenceFarAheadDoesNotMuteAServer(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	r := registry.New(true)
	s := sound("a", now.UnixMilli(), 7)
	r.Announce(now, s)
	odd := s
	odd.Sequence = 1 << 31
	g.Expect(r.Check(now, &odd)).NotTo(Succeed())
	next := s
	next.Sequence = 8
	g.Expect(r.Check(now, &next)).To(Succeed())
	restarted := sound("a", now.UnixMilli()+1, 1)
	g.Expect(r.Check(now, &restarted)).To(Succeed(), "the sequence begins anew with an incarnation")
}

// Guards against a server that announces that it leaves and stays in use, because a record with a
// higher sequence was known.
func TestLeavingCountsEvenIfItArrivesLate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := registry.New(true)
	r.Announce(now, server("a", "h:1", 10, 9, model.Alive))
	record, changed := r.Announce(now, server("a", "h:1", 10, 8, model.Leaving))
	g.Expect(changed).To(BeTrue())
	g.Expect(record.State).To(Equal(model.Leaving))
	g.Expect(record.Sequence).To(Equal(uint64(9)))
	_, changed = r.Announce(now, server("a", "h:1", 9, 12, model.Leaving))
	g.Expect(changed).To(BeFalse(), "an earlier incarnation")
}
