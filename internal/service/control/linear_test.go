package control_test

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// operation is a call of a history, with the logical times of the call and of its answer. A pending
// one has no output and may take effect at any time after its call, or never.
type operation struct {
	input        state.Command
	output       *state.Result
	call, answer int64
}

const pending = math.MaxInt64

// linearizable searches for an order of the operations, at most 1024, that agrees with real time
// and with step. It uses Wing and Gong's search and visits no pair of done operations and state
// twice. After a million visits it gives up, and decided is false. Pending operations need not be
// placed: a history has up to 1,300 of them, with which porcupine 1.3.1, which places every
// operation, did not finish within 200 s.
func linearizable[S comparable](ops []operation, initial S, step func(S, state.Command, *state.Result) (S, bool)) (ok, decided bool) {
	type node struct {
		done  [16]uint64
		state S
	}
	const visits = 1_000_000
	seen := make(map[node]bool)
	var search func(n node) bool
	search = func(n node) bool {
		if seen[n] || len(seen) >= visits {
			return false
		}
		seen[n] = true
		firstAnswer := int64(pending)
		for i, o := range ops {
			if n.done[i/64]&(1<<(i%64)) == 0 {
				firstAnswer = min(firstAnswer, o.answer)
			}
		}
		if firstAnswer == pending {
			return true
		}
		for i, o := range ops {
			if n.done[i/64]&(1<<(i%64)) != 0 || o.call > firstAnswer {
				continue
			}
			// The order of pending operations that were recorded for one call does not matter.
			if i > 0 && o.answer == pending && ops[i-1].answer == pending && ops[i-1].call == o.call && n.done[(i-1)/64]&(1<<((i-1)%64)) == 0 {
				continue
			}
			next := n
			next.done[i/64] |= 1 << (i % 64)
			var ok bool
			next.state, ok = step(n.state, o.input, o.output)
			switch {
			case !ok || next.state == n.state && o.answer == pending:
				// A pending operation without effect is the same as one that never takes effect.
			case next.state == n.state:
				// An operation that changes nothing and may come first can come first in every order.
				return search(next)
			case search(next):
				return true
			}
		}
		return false
	}
	ok = search(node{state: initial})
	return ok, ok || len(seen) < visits
}

// keyState is the state of the sequential model of one key. The index of a barrier whose answer was
// lost is unknown; a claim may then win or be superseded.
type keyState struct {
	status  state.ClaimStatus
	owner   uint64
	barrier uint64
}

const unknownIndex = math.MaxUint64

// stepKey applies a command to the model of a key and reports whether its result, if there is one,
// is allowed.
func stepKey(s keyState, c state.Command, out *state.Result) (keyState, bool) {
	next, want, index := s, s.status, uint64(unknownIndex)
	if out != nil {
		index = out.Index
	}
	switch c := c.(type) {
	case state.Claim:
		wins := c.SeenIndex >= s.barrier || s.barrier == unknownIndex && (out == nil || out.Claim == state.ClaimWon)
		switch {
		case s.status == state.ClaimNone && wins:
			next.status, next.owner, want = state.ClaimHeld, c.Request.Seq, state.ClaimWon
		case s.status == state.ClaimNone:
			want = state.ClaimSuperseded
		case s.status == state.ClaimHeld && s.owner == c.Request.Seq:
			want = state.ClaimWon
		}
	case state.Finish:
		want = state.ClaimNone
		if s.status != state.ClaimNone && s.owner == c.Request.Seq {
			next.status, want = state.ClaimFinished, state.ClaimFinished
		}
	case state.Release:
		if s.status == state.ClaimNone || s.status == state.ClaimHeld && s.owner == c.Request.Seq {
			next, want = keyState{barrier: index}, state.ClaimNone
		}
	case state.Refuse:
		if s.status == state.ClaimNone {
			next.barrier = index
		}
	}
	if out == nil {
		return next, true
	}
	answered := want != state.ClaimFinished || out.Answer != nil && string(out.Answer.Body) == fmt.Sprint(next.owner)
	return next, out.Claim == want && answered
}

// stepConfig is the sequential model of the configuration. Its state is the list of accepted
// changes; the number of each is one above that of the change before it.
func stepConfig(accepted string, c state.Command, out *state.Result) (string, bool) {
	change := c.(state.ApplyConfig)
	ids := strings.Fields(accepted)
	current := model.Revision(len(ids))
	if change.Base == current {
		return accepted + " " + change.ChangeID, out == nil || out.Err == nil && out.Revision == change.Number
	}
	if out == nil {
		return accepted, true
	}
	conflict, ok := out.Err.(*fault.ConfigConflict)
	return accepted, ok && change.Base < current && conflict.Current == current && conflict.WinnerChange == ids[change.Number-1]
}

// checkHistory returns the parts of a history that are not linearizable, by key or "configuration".
func checkHistory(history []operation) map[string][]operation {
	parts := make(map[string][]operation)
	for _, o := range history {
		part := "configuration"
		switch c := o.input.(type) {
		case state.Lookup:
			part = fmt.Sprint(c.Key)
		case state.Claim:
			part = fmt.Sprint(c.Key)
		case state.Finish:
			part = fmt.Sprint(c.Key)
		case state.Release:
			part = fmt.Sprint(c.Key)
		case state.Refuse:
			part = fmt.Sprint(c.Key)
		}
		parts[part] = append(parts[part], o)
	}
	bad := make(map[string][]operation)
	for part, ops := range parts {
		slices.SortStableFunc(ops, func(a, b operation) int { return int(a.call - b.call) })
		var ok, decided bool
		if part == "configuration" {
			ok, decided = linearizable(ops, "", stepConfig)
		} else {
			ok, decided = linearizable(ops, keyState{}, stepKey)
		}
		if !decided {
			part += " (undecided)"
		}
		if !ok {
			bad[part] = ops
		}
	}
	return bad
}
