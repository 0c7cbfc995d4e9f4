package frontoperator

import (
	"context"
	"net/http"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/declare"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	maxChangeID = 128
	maxOperator = 128
)

// postConfig validates a change of the configuration and proposes it to the control group.
func (s *Service) postConfig(w http.ResponseWriter, r *http.Request) {
	var a operator.Apply
	f := readBody(w, r, &a)
	var revision model.Revision
	if f == nil {
		revision, f = s.apply(r.Context(), a)
	}
	if f != nil {
		s.log.Emit(event.OperatorRefused, a.ChangeID, a.Operator, a.Number, fault.MappingOf(f).Code, f.Error())
		httpserve.WriteProblem(w, f, "")
		return
	}
	s.log.Emit(event.OperatorApplied, a.ChangeID, a.Operator, revision, a.Number)
	httpserve.WriteJSON(w, http.StatusOK, operator.Applied{Revision: uint64(revision), ChangeID: a.ChangeID})
}

// apply proposes a change and returns the revision that it is accepted as. A change without a number
// follows its base revision.
func (s *Service) apply(ctx context.Context, a operator.Apply) (model.Revision, fault.Fault) {
	switch {
	case a.ChangeID == "" || len(a.ChangeID) > maxChangeID:
		return 0, &fault.InvalidRequest{Field: "change_id", Reason: "want 1 to 128 bytes"}
	case a.Operator == "" || len(a.Operator) > maxOperator:
		return 0, &fault.InvalidRequest{Field: "operator", Reason: "want 1 to 128 bytes"}
	}
	if a.Number == 0 {
		a.Number = a.Base + 1
	}
	_, content, err := declare.Check([]declare.File{{Content: []byte(a.Content)}}, time.Now())
	if err != nil {
		return 0, fault.Of(err)
	}
	result, f := s.command(ctx, "the change", func(reply func(port.ControlReply)) error {
		return s.control.Do(state.ApplyConfig{
			ChangeID: a.ChangeID, Base: model.Revision(a.Base), Number: model.Revision(a.Number),
			Operator: a.Operator, Content: content,
		}, reply)
	})
	return result.Revision, f
}

// command sends a command to the control group and waits for the answer. After a failure that is
// not the group's own answer the command may still be applied.
func (s *Service) command(ctx context.Context, operation string, send func(func(port.ControlReply)) error) (state.Result, fault.Fault) {
	replies := ring.New[port.ControlReply]("operator-command", 1, ring.Refuse)
	if err := send(func(r port.ControlReply) { _ = replies.Offer(r) }); err != nil {
		return state.Result{}, &fault.Overloaded{Resource: "control client ring"}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := replies.Get(ctx)
	if err != nil || r.Err != nil {
		return state.Result{}, &fault.ControlUnavailable{Operation: operation}
	}
	return r.Result, r.Result.Err
}

// postVoters adds a voter to the control group or removes one.
func (s *Service) postVoters(w http.ResponseWriter, r *http.Request) {
	var c operator.VoterChange
	f := readBody(w, r, &c)
	switch {
	case f != nil:
	case c.Instance == "":
		f = &fault.InvalidRequest{Field: "instance", Reason: "must not be empty"}
	case s.voters == nil:
		f = &fault.Unsupported{Operation: "a change of the voters"}
	default:
		_, f = s.command(r.Context(), "the change of voters", func(reply func(port.ControlReply)) error {
			return s.voters.ChangeVoters(port.VoterChange{Instance: model.InstanceID(c.Instance), Remove: c.Remove}, reply)
		})
	}
	code := fault.Code("")
	if f != nil {
		code = f.Code()
	}
	s.log.Emit(event.OperatorVoters, c.Instance, c.Remove, code)
	if f != nil {
		httpserve.WriteProblem(w, f, "")
		return
	}
	httpserve.WriteJSON(w, http.StatusOK, c)
}
