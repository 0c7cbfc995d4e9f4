package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// setSpeed makes the scheduler learn an engine's times per prompt token and per event.
func setSpeed(s *schedule.Scheduler, id model.BackendServerID, perToken, perEvent time.Duration) {
	at := start.Add(-time.Second)
	for i := range 40 {
		w := schedule.Work{ID: model.RequestID{Instance: "learn", Seq: uint64(i)}, Service: "llm", Server: id, Prompt: 1000}
		s.Adopt(at, w, false)
		first := 5*time.Millisecond + 1000*perToken
		s.Report(at, schedule.Report{ID: w.ID, Server: id, Outcome: schedule.Began, First: first})
		s.Report(at, schedule.Report{ID: w.ID, Server: id, Outcome: schedule.Finished, First: first, Rest: 10 * perEvent, Events: 11})
	}
	s.Take()
}

// newMixedFleet returns a scheduler with engines of which the first half is fast and the rest slow.
func newMixedFleet(engines int) *schedule.Scheduler {
	s := newFleet(engines, 0)
	for i := range engines {
		id := model.BackendServerID(fmt.Sprintf("e%d", i))
		if i < engines/2 {
			setSpeed(s, id, 20*time.Microsecond, 10*time.Millisecond)
		} else {
			setSpeed(s, id, 60*time.Microsecond, 50*time.Millisecond)
		}
	}
	return s
}

// occupy adds granted requests to an engine whose first events have arrived.
func occupy(s *schedule.Scheduler, engine, requests int) (ids []model.RequestID) {
	for i := range requests {
		id := model.RequestID{Instance: "x", Seq: uint64(100*engine + i)}
		s.Adopt(start, schedule.Work{
			ID: id, Service: "llm", Server: model.BackendServerID(fmt.Sprintf("e%d", engine)), Prompt: 100, Started: true,
		}, false)
		ids = append(ids, id)
	}
	return ids
}

// Guards against slots of slow servers that stay free while requests that could use them wait behind
// others. It happens in a burst of long answers that only the busy fast servers can finish in time.
func TestLongAnswersThatWaitForAFastServerDoNotHoldUpOthers(t *testing.T) {
	g := NewWithT(t)
	const engines = 40
	s := newMixedFleet(engines)
	for i := range engines {
		occupy(s, i, 2-2*i/engines)
	}
	for i := range 30 {
		long := want(uint64(i), "llm", 2, start)
		long.Expected, long.Output, long.End = 400, 2800, start.Add(5*time.Second)
		s.Ask(start, long)
	}
	g.Expect(granted(s.Take())).To(BeEmpty())
	now := start.Add(10 * time.Millisecond)
	other := want(100, "llm", 2, now)
	other.Expected, other.Output = 300, 2800
	s.Ask(now, other)
	d := granted(s.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].ID).To(Equal(other.ID))
}

// Guards, under load with long prompts, against a late first event on a slow server when a fast one has a
// free slot a moment later.
func TestLongPromptWaitsForAServerThatReadsItOnTime(t *testing.T) {
	g := NewWithT(t)
	s := newMixedFleet(2)
	busy := occupy(s, 0, 2)
	w := want(1, "llm", 0, start)
	w.Prompt = 10_000
	s.Ask(start, w)
	g.Expect(granted(s.Take())).To(BeEmpty())
	now := start.Add(50 * time.Millisecond)
	s.Report(now, schedule.Report{ID: busy[0], Server: "e0", Outcome: schedule.Finished})
	d := granted(s.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Server.ID).To(Equal(model.BackendServerID("e0")))
}

// Guards against a long prompt that waits for a fast server until it expires. Once it can no longer
// start on time, it is granted to any server.
func TestLongPromptThatIsLateTakesAnyServer(t *testing.T) {
	g := NewWithT(t)
	s := newMixedFleet(2)
	occupy(s, 0, 2)
	w := want(1, "llm", 0, start)
	w.Prompt = 10_000
	s.Ask(start, w)
	g.Expect(granted(s.Take())).To(BeEmpty())
	s.Tick(start.Add(300 * time.Millisecond))
	g.Expect(granted(s.Take())).To(HaveLen(1))
}
