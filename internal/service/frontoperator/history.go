package frontoperator

import (
	"context"
	"slices"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
)

// maxPages bounds the pages that are read for one answer. The control group keeps 10,000 changes.
const maxPages = 100

// history reads accepted changes from the control group, at most the given number of pages from
// the newest change backwards, and returns them in ascending order. If a read fails, it returns
// the changes that this instance has observed since its start.
func (s *Service) history(ctx context.Context, p snapshot, pages int) operator.History {
	var (
		changes []state.AcceptedConfig
		before  model.Revision
	)
	for range pages {
		r, f := s.command(ctx, "the history", func(reply func(port.ControlReply)) error {
			return s.control.Do(state.ListChanges{Before: before}, reply)
		})
		if f != nil {
			return historyOf(p.observedChanges, false)
		}
		changes = append(slices.Clone(r.Changes), changes...)
		if !r.Older || len(r.Changes) == 0 {
			return historyOf(changes, true)
		}
		before = changes[0].Revision
	}
	return historyOf(changes, true)
}

func historyOf(changes []state.AcceptedConfig, complete bool) operator.History {
	h := operator.History{Complete: complete, Changes: []operator.Change{}}
	for _, c := range changes {
		h.Changes = append(h.Changes, operator.Change{
			Revision: uint64(c.Revision), ChangeID: c.ChangeID, Operator: c.Operator, At: c.At,
		})
	}
	return h
}
