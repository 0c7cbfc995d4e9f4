package state_test

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// naive is a reference model that computes the results of commands about keys by scanning lists.
// It has none of the indexes of the machine, so a bug in maintaining them shows as a difference.
type naive struct {
	limits   state.Limits
	now      time.Time
	index    uint64
	claims   []state.ClaimRecord
	barriers []state.Barrier
	floor    uint64
}

func (n *naive) find(key model.KeyHash) *state.ClaimRecord {
	for i := range n.claims {
		if n.claims[i].Key == key {
			return &n.claims[i]
		}
	}
	return nil
}

func (n *naive) expire() {
	n.claims = slices.DeleteFunc(n.claims, func(r state.ClaimRecord) bool {
		expired := r.Status == state.ClaimFinished && n.now.Sub(r.FinishedAt) > n.limits.Retention
		if expired {
			n.floor = max(n.floor, r.FinishedIndex)
		}
		return expired
	})
	n.barriers = slices.DeleteFunc(n.barriers, func(b state.Barrier) bool {
		expired := n.now.Sub(b.At) > n.limits.BarrierRetention
		if expired {
			n.floor = max(n.floor, b.Index)
		}
		return expired
	})
}

func (n *naive) apply(now time.Time, c state.Command) state.Result {
	n.now = now
	n.index++
	n.expire()
	r := n.answer(c)
	r.Index = n.index
	return r
}

func (n *naive) answer(c state.Command) state.Result {
	switch c := c.(type) {
	case state.Claim:
		return n.claim(c)
	case state.Finish:
		return n.finish(c)
	case state.Abandon:
		r := n.find(c.Key)
		if r == nil || r.Request != c.Request {
			return state.Result{}
		}
		if r.Status == state.ClaimHeld {
			r.Status = state.ClaimUnknown
		}
		return state.Result{Claim: r.Status, Answer: r.Answer}
	case state.Release:
		r := n.find(c.Key)
		if r != nil && (r.Request != c.Request || r.Status != state.ClaimHeld) {
			return state.Result{Claim: r.Status, Answer: r.Answer}
		}
		n.claims = slices.DeleteFunc(n.claims, func(r state.ClaimRecord) bool { return r.Key == c.Key })
		n.setBarrier(c.Key)
	case state.Refuse:
		if r := n.find(c.Key); r != nil {
			return state.Result{Claim: r.Status, Answer: r.Answer}
		}
		n.setBarrier(c.Key)
	case state.OwnerDead:
		for i := range n.claims {
			r := &n.claims[i]
			if r.Status == state.ClaimHeld && r.Request.Instance == c.Instance && r.Request.Incarnation <= c.Incarnation {
				r.Status = state.ClaimUnknown
			}
		}
	}
	return state.Result{}
}

func (n *naive) claim(c state.Claim) state.Result {
	if r := n.find(c.Key); r != nil {
		switch {
		case r.Request == c.Request && r.Status == state.ClaimHeld:
			return state.Result{Claim: state.ClaimWon}
		case r.Fingerprint != c.Fingerprint:
			return state.Result{Claim: state.ClaimMismatch}
		}
		return state.Result{Claim: r.Status, Answer: r.Answer}
	}
	for _, b := range n.barriers {
		if b.Key == c.Key && c.SeenIndex < b.Index {
			return state.Result{Claim: state.ClaimSuperseded}
		}
	}
	if c.SeenIndex < n.floor {
		return state.Result{Claim: state.ClaimSuperseded}
	}
	held, free := 0, n.limits.Claims-len(n.claims)
	for _, r := range n.claims {
		if r.Team == c.Team {
			held++
		}
	}
	if free == 0 || held >= free && c.Team != "" {
		return state.Result{Claim: state.ClaimFull, Err: &fault.ClaimsFull{Team: c.Team, Held: held, Bound: free, Limit: n.limits.Claims}}
	}
	n.claims = append(n.claims, state.ClaimRecord{Key: c.Key, Team: c.Team, Fingerprint: c.Fingerprint, Request: c.Request, Status: state.ClaimHeld})
	return state.Result{Claim: state.ClaimWon}
}

func (n *naive) finish(c state.Finish) state.Result {
	r := n.find(c.Key)
	if r == nil || r.Request != c.Request {
		return state.Result{}
	}
	if r.Status != state.ClaimFinished {
		r.Status, r.FinishedAt, r.FinishedIndex = state.ClaimFinished, n.now, n.index
		if c.Answer != nil && len(c.Answer.Body) <= n.limits.AnswerBytes {
			r.Answer = c.Answer
		}
		n.evictAnswers()
	}
	return state.Result{Claim: state.ClaimFinished, Answer: r.Answer}
}

// evictAnswers removes the oldest answers until the rest fit the total size limit.
func (n *naive) evictAnswers() {
	for {
		total := 0
		var oldest *state.ClaimRecord
		for i := range n.claims {
			r := &n.claims[i]
			if r.Answer == nil {
				continue
			}
			total += len(r.Answer.Body)
			if oldest == nil || r.FinishedIndex < oldest.FinishedIndex {
				oldest = r
			}
		}
		if total <= n.limits.TotalAnswerBytes {
			return
		}
		oldest.Answer = nil
	}
}

func (n *naive) setBarrier(key model.KeyHash) {
	n.barriers = slices.DeleteFunc(n.barriers, func(b state.Barrier) bool { return b.Key == key })
	n.barriers = append(n.barriers, state.Barrier{Key: key, Index: n.index, At: n.now})
	if len(n.barriers) > n.limits.Barriers {
		n.floor = max(n.floor, n.barriers[0].Index)
		n.barriers = n.barriers[1:]
	}
}
