package schedule

import (
	"time"
)

// figures sum up the usable servers of a service.
type figures struct {
	// slots are those of all of them.
	slots int
	// prefill, decode and plain are mean times: for a prompt token, an event and a plain answer.
	prefill, decode, plain time.Duration
	// leastPrefill and leastDecode are those of the fastest.
	leastPrefill, leastDecode time.Duration
}

// figuresAge is how old the figures of a service may be. They change with every answer and are used
// several times in every decision; a tenth of the shortest objective shows every change in time.
const figuresAge = 10 * time.Millisecond

// sum returns the figures of the usable servers, or of all if none is usable.
func (v *service) sum(now time.Time) *figures {
	if age := now.Sub(v.asOf); age >= 0 && age < figuresAge {
		return &v.figures
	}
	v.asOf = now
	f := figures{leastPrefill: defaultPrefill, leastDecode: defaultDecode}
	for i, b := range v.list {
		if b.usable(now) {
			f.slots += b.slots()
		}
		if i == 0 || b.prefill < f.leastPrefill {
			f.leastPrefill = b.prefill
		}
		if i == 0 || b.decode < f.leastDecode {
			f.leastDecode = b.decode
		}
	}
	f.prefill = v.mean(func(b *server) time.Duration { return b.prefill }, defaultPrefill)
	f.decode = v.mean(func(b *server) time.Duration { return b.decode }, defaultDecode)
	f.plain = v.mean(func(b *server) time.Duration { return b.plain }, defaultPlain)
	v.figures = f
	return &v.figures
}

// mean returns the mean of what was learned about the servers of the service.
func (v *service) mean(of func(*server) time.Duration, none time.Duration) time.Duration {
	if len(v.list) == 0 {
		return none
	}
	var sum time.Duration
	for _, b := range v.list {
		sum += of(b)
	}
	return sum / time.Duration(len(v.list))
}

// maxGuess bounds how far a guess of a server's time for an event is from the mean.
const maxGuess = 3

// guessDecode sets the time for an event of a server that has not finished an answer yet: an engine
// that is slow with prompts is as slow with answers, which may take ten seconds to show.
func (v *service) guessDecode(b *server) {
	if b.engine == nil || b.decoded > 0 {
		return
	}
	var prefill, decode, known time.Duration
	for _, o := range v.list {
		prefill += o.prefill
		if o.decoded > 0 {
			decode += o.decode
			known++
		}
	}
	mean := defaultDecode
	if known > 0 {
		mean = decode / known
	}
	ratio := float64(b.prefill) * float64(len(v.list)) / float64(max(prefill, 1))
	b.decode = time.Duration(float64(mean) * min(max(ratio, 1.0/maxGuess), maxGuess))
}

// holdUntil returns when a request is refused at the latest. A caller that is held for longer has no
// time left in which to come back.
func holdUntil(w *Want) time.Time {
	if len(w.Tried) > 0 {
		// Its caller has an answer on its way, and does not come back.
		return w.Until
	}
	hold := w.Arrived.Add(time.Duration(holdShare * float64(w.End.Sub(w.Arrived))))
	if hold.Before(w.OnTime) {
		hold = w.OnTime
	}
	if w.Until.Before(hold) {
		return w.Until
	}
	return hold
}

// begin estimates the least time from the grant of a request to its first event: that of the fastest
// server without other prompts.
func (v *service) begin(now time.Time, w *Want) time.Duration {
	if v.engine == nil {
		return 0
	}
	return firstBase + time.Duration(w.Prompt)*v.sum(now).leastPrefill
}

// expect estimates the time that a request takes on a server of the service.
func (v *service) expect(now time.Time, w *Want) time.Duration {
	f := v.sum(now)
	if v.engine == nil {
		return f.plain
	}
	events, _ := v.events(w)
	return firstBase + time.Duration(w.Prompt)*f.prefill + time.Duration(events*float64(f.decode))
}

// events estimates the number of events of the answer, and one that most answers do not exceed: none
// does if the limit is known.
func (v *service) events(w *Want) (events, likely float64) {
	perEvent := tokensPerEvent
	if v.engine != nil && v.engine.EventTokens > 0 {
		perEvent = v.engine.EventTokens
	}
	most := float64(w.Output) / float64(perEvent)
	if w.Expected <= 0 {
		return most, most
	}
	events = float64(w.Expected) / float64(perEvent)
	if w.Output <= 0 {
		return events, likelyMargin * events
	}
	return min(events, most), min(likelyMargin*events, most)
}

// mayBegin reports whether what goes before a request is expected to be done before its time to begin
// runs out.
func (s *Scheduler) mayBegin(now time.Time, v *service, q *waiting) bool {
	var ahead time.Duration
	for _, r := range v.ranks {
		switch {
		case r.number < q.Rank:
			ahead += r.work
		case r.number == q.Rank:
			ahead += r.ahead(q)
		}
	}
	return ahead/s.slots(now, v) <= time.Duration(queueMargin*float64(q.Until.Sub(now)))
}

// drained returns when what waits now should be done, which is when a refused caller finds room.
func (s *Scheduler) drained(now time.Time, v *service) time.Duration {
	var sum time.Duration
	for _, r := range v.ranks {
		sum += r.work
	}
	return sum / s.slots(now, v)
}

// slots returns the slots of the service that this scheduler may use, as a divisor of durations.
func (s *Scheduler) slots(now time.Time, v *service) time.Duration {
	if v.divided {
		return time.Duration(max(v.sum(now).slots, 1))
	}
	return time.Duration(max(int(float64(v.sum(now).slots)*s.options.Share), 1))
}
