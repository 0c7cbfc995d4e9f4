package controlwire

import (
	"math"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/wire/controlpb"
)

// rolloutCommandToPB encodes the commands of roll-outs.
func rolloutCommandToPB(c state.Command) (*controlpb.Command, error) {
	switch c := c.(type) {
	case state.StartRollout:
		return &controlpb.Command{Command: &controlpb.Command_StartRollout{StartRollout: &controlpb.StartRollout{
			Service: string(c.Service), Target: c.Target, DurationUs: c.Duration.Microseconds(), At: toNanos(c.At)}}}, nil
	case state.ReadRollout:
		return &controlpb.Command{Command: &controlpb.Command_ReadRollout{ReadRollout: &controlpb.ReadRollout{Service: string(c.Service)}}}, nil
	case state.AdvanceRollout:
		return &controlpb.Command{Command: &controlpb.Command_AdvanceRollout{AdvanceRollout: &controlpb.AdvanceRollout{
			Service: string(c.Service), Generation: c.Generation, Phase: uint32(c.Phase), Trusted: c.Trusted,
			Requests: int64(c.Requests), Reserved: int64(c.Reserved), ElapsedUs: c.Elapsed.Microseconds(), At: toNanos(c.At),
			Evidence: int64(c.Evidence)}}}, nil
	}
	return nil, &EncodeError{Value: c, Reason: "unknown command"}
}

// rolloutCommand converts the commands of roll-outs.
func (c *checker) rolloutCommand(m *controlpb.Command) state.Command {
	if v := m.GetStartRollout(); v != nil {
		return state.StartRollout{Service: c.service(v.GetService()), Target: c.version(v.GetTarget()), Duration: c.micros(v.GetDurationUs()), At: fromNanos(v.At)}
	}
	if v := m.GetReadRollout(); v != nil {
		return state.ReadRollout{Service: c.service(v.GetService())}
	}
	if v := m.GetAdvanceRollout(); v != nil {
		return state.AdvanceRollout{Service: c.service(v.GetService()), Generation: v.GetGeneration(), Phase: c.phase(v.GetPhase()),
			Trusted: v.GetTrusted(), Requests: c.number(v.GetRequests()), Reserved: c.number(v.GetReserved()),
			Elapsed: c.micros(v.GetElapsedUs()), At: fromNanos(v.At), Evidence: c.number(v.GetEvidence())}
	}
	c.fail("unknown command")
	return nil
}

func (c *checker) service(s string) model.PoolID { return model.PoolID(c.text(s)) }

func (c *checker) version(s string) string {
	if len(s) > model.MaxVersionBytes {
		c.fail("version too long")
	}
	return s
}

func (c *checker) phase(n uint32) model.RolloutPhase {
	if n > uint32(model.RolloutRolledBack) {
		c.fail("unknown phase of a roll-out")
		return model.RolloutInProgress
	}
	return model.RolloutPhase(n)
}

// micros converts a duration that is not negative.
func (c *checker) micros(n int64) time.Duration {
	if n < 0 || n > math.MaxInt64/int64(time.Microsecond) {
		c.fail("duration out of range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func rolloutToPB(r *model.Rollout) *controlpb.Rollout {
	if r == nil {
		return nil
	}
	return &controlpb.Rollout{
		Service: string(r.Service), Target: r.Target, DurationUs: r.Duration.Microseconds(), Number: r.Number, Generation: r.Generation,
		Phase: uint32(r.Phase), Trusted: r.Trusted, ChangedAt: toNanos(r.ChangedAt), ElapsedUs: r.Elapsed.Microseconds(),
		Requests: int64(r.Requests), Reserved: int64(r.Reserved), Base: r.Base, Rejected: r.Rejected, Evidence: int64(r.Evidence),
	}
}

func rolloutsToPB(list []model.Rollout) []*controlpb.Rollout {
	var out []*controlpb.Rollout
	for i := range list {
		out = append(out, rolloutToPB(&list[i]))
	}
	return out
}

func (c *checker) rollout(m *controlpb.Rollout) *model.Rollout {
	if m == nil {
		return nil
	}
	r := &model.Rollout{
		Service: c.service(m.GetService()), Target: c.version(m.GetTarget()), Duration: c.micros(m.GetDurationUs()), Number: m.GetNumber(),
		Generation: m.GetGeneration(), Phase: c.phase(m.GetPhase()), Trusted: m.GetTrusted(), ChangedAt: fromNanos(m.ChangedAt),
		Elapsed: c.micros(m.GetElapsedUs()), Requests: c.number(m.GetRequests()), Reserved: c.number(m.GetReserved()), Base: c.version(m.GetBase()), Evidence: c.number(m.GetEvidence()),
	}
	if len(m.GetRejected()) > state.MaxRejected {
		c.fail("too many rejected versions")
		return r
	}
	for _, v := range m.GetRejected() {
		r.Rejected = append(r.Rejected, c.version(v))
	}
	return r
}

func (c *checker) rollouts(list []*controlpb.Rollout) []model.Rollout {
	if len(list) > state.MaxRollouts {
		c.fail("too many roll-outs")
		return nil
	}
	var out []model.Rollout
	for _, m := range list {
		if r := c.rollout(m); r != nil {
			out = append(out, *r)
		}
	}
	return out
}

// rolloutFaultToPB encodes the faults of roll-outs.
func rolloutFaultToPB(f fault.Fault) (*controlpb.Fault, error) {
	switch f := f.(type) {
	case *fault.RolloutConflict:
		return &controlpb.Fault{Fault: &controlpb.Fault_RolloutConflict{RolloutConflict: &controlpb.RolloutConflict{
			Service: string(f.Service), Target: f.Target}}}, nil
	case *fault.UnknownRollout:
		return &controlpb.Fault{Fault: &controlpb.Fault_RolloutUnknown{RolloutUnknown: &controlpb.RolloutConflict{Service: string(f.Service)}}}, nil
	case *fault.RolloutsFull:
		return &controlpb.Fault{Fault: &controlpb.Fault_RolloutsFull{RolloutsFull: &controlpb.RolloutConflict{Service: string(f.Service)}}}, nil
	}
	return nil, &EncodeError{Value: f, Reason: "unknown fault"}
}

// rolloutFault converts the faults of roll-outs.
func (c *checker) rolloutFault(m *controlpb.Fault) fault.Fault {
	if v := m.GetRolloutConflict(); v != nil {
		return &fault.RolloutConflict{Service: c.service(v.GetService()), Target: c.version(v.GetTarget())}
	}
	if v := m.GetRolloutUnknown(); v != nil {
		return &fault.UnknownRollout{Service: c.service(v.GetService())}
	}
	if v := m.GetRolloutsFull(); v != nil {
		return &fault.RolloutsFull{Service: c.service(v.GetService())}
	}
	c.fail("unknown fault")
	return nil
}
