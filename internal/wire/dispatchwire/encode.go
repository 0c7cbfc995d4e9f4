package dispatchwire

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
	pb "briaryard/internal/wire/dispatchpb"
)

// encoder converts Go types to wire types. Times are encoded relative to now.
type encoder struct{ now time.Time }

func (e encoder) age(t time.Time) int64       { return e.now.Sub(t).Microseconds() }
func (e encoder) remaining(t time.Time) int64 { return t.Sub(e.now).Microseconds() }

func requestID(id model.RequestID) *pb.RequestID {
	return &pb.RequestID{Instance: string(id.Instance), Incarnation: uint64(id.Incarnation), Seq: id.Seq}
}

func (e encoder) descriptor(d model.Descriptor) *pb.Descriptor {
	out := &pb.Descriptor{
		Id: requestID(d.ID), Pool: string(d.Pool), Team: string(d.Team), Tier: uint32(d.Tier),
		AgeUs: e.age(d.Arrived), RemainingUs: e.remaining(d.Deadline),
		PromptTokens: int64(d.PromptTokens), OutputTokens: int64(d.OutputTokens),
		Prefix: d.Prefix, Adapter: d.Adapter,
	}
	if !d.Key.IsZero() {
		out.Key = d.Key[:]
	}
	return out
}

func grant(g model.Grant) *pb.Grant {
	return &pb.Grant{
		Request: requestID(g.Request), Pool: string(g.Pool), Server: string(g.Server),
		Incarnation: uint64(g.Incarnation), Epoch: uint64(g.Epoch),
	}
}

func progress(p model.Progress) *pb.Progress {
	return &pb.Progress{
		Request: requestID(p.Request), Pool: string(p.Pool), Server: string(p.Server), Epoch: uint64(p.Epoch),
		Kind: uint32(p.Kind), FirstTokenUs: p.FirstToken.Microseconds(), PerTokenUs: p.PerToken.Microseconds(),
		Tokens: int64(p.Tokens), PrefillTokens: int64(p.PrefillTokens),
	}
}

func (e encoder) state(s port.EntryState) *pb.EntryState {
	out := &pb.EntryState{Pool: string(s.Pool), Epoch: uint64(s.Epoch), Sequence: s.Sequence}
	for _, d := range s.Waiting {
		out.Waiting = append(out.Waiting, e.descriptor(d))
	}
	for _, o := range s.Outstanding {
		out.Outstanding = append(out.Outstanding, &pb.Outstanding{Grant: grant(o.Grant), Descriptor_: e.descriptor(o.Descriptor)})
	}
	return out
}

func (e encoder) report(r port.ServerReport) *pb.ServerReport {
	out := &pb.ServerReport{Pools: make([]string, 0, len(r.Pools))}
	for _, p := range r.Pools {
		out.Pools = append(out.Pools, string(p))
	}
	if l := r.Load; l != nil {
		out.Load = &pb.LoadReport{
			Server: string(l.Server), Incarnation: uint64(l.Incarnation), AgeUs: e.age(l.At), Running: int64(l.Running),
			Queued: int64(l.Queued), PrefillTokens: int64(l.PrefillTokens), CacheUsed: l.CacheUsed, Adapters: l.Adapters,
		}
	}
	for _, c := range r.Cache {
		out.Cache = append(out.Cache, &pb.CacheEvent{
			Server: string(c.Server), Incarnation: uint64(c.Incarnation), Seq: c.Seq,
			Evicted: c.Evicted, Prefix: c.Prefix, Tokens: int64(c.Tokens),
		})
	}
	return out
}

func (e encoder) event(v port.DispatchEvent) *pb.Event {
	return &pb.Event{
		Kind: uint32(v.Kind), Grant: grant(v.Grant), Id: requestID(v.ID), Pool: string(v.Pool), Epoch: uint64(v.Epoch),
		Reason: uint32(v.Reason), Tier: uint32(v.Tier), RemainingUs: e.remaining(v.Deadline),
		Sequence: v.Sequence,
	}
}

func demand(m port.DemandMessage) *pb.Demand {
	out := &pb.Demand{Pool: string(m.Pool)}
	for _, n := range m.Requests {
		out.Requests = append(out.Requests, int64(n))
	}
	return out
}
