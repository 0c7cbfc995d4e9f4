package dispatchwire

import (
	"math"
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
	pb "briaryard/internal/wire/dispatchpb"
)

const (
	// maxRelativeTime bounds relative times, so that they cannot overflow a time.Duration.
	maxRelativeTime = 30 * 24 * time.Hour
	// maxCount bounds token and request counts.
	maxCount = math.MaxInt32
)

// decoder converts wire types to Go types and records the reason of the first error.
type decoder struct {
	now    time.Time
	reason string
}

func (d *decoder) fail(reason string) {
	if d.reason == "" {
		d.reason = reason
	}
}

func (d *decoder) envelope(env *pb.Envelope) any {
	switch b := env.GetBody().(type) {
	case *pb.Envelope_Register:
		return port.RegisterMessage{Descriptor: d.descriptor(b.Register)}
	case *pb.Envelope_Withdraw:
		return port.WithdrawMessage{Pool: d.pool(b.Withdraw.GetPool()), Request: d.request(b.Withdraw.GetRequest())}
	case *pb.Envelope_Report:
		return port.ReportMessage{Progress: d.progress(b.Report)}
	case *pb.Envelope_State:
		return port.StateMessage{State: d.state(b.State)}
	case *pb.Envelope_ServerReport:
		return port.ServerReportMessage{Report: d.report(b.ServerReport)}
	case *pb.Envelope_Event:
		return port.EventMessage{Event: d.event(b.Event)}
	case *pb.Envelope_StateRequest:
		r := b.StateRequest
		return port.StateRequest{
			Pool: d.pool(r.GetPool()), Epoch: model.Epoch(r.GetEpoch()), Sequence: r.GetSequence(),
			Compare: r.GetCompare(), Digest: model.RequestDigest(r.GetDigest()),
		}
	case *pb.Envelope_Demand:
		return d.demand(b.Demand)
	}
	d.fail("message of no known kind")
	return nil
}

// duration converts microseconds and limits them to maxRelativeTime in both directions.
func (d *decoder) duration(us int64) time.Duration {
	limit := maxRelativeTime.Microseconds()
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}

func (d *decoder) count(n int64) int {
	if n < 0 || n > maxCount {
		d.fail("count out of range")
	}
	return int(min(max(n, 0), maxCount))
}

func (d *decoder) pool(name string) model.PoolID {
	if name == "" {
		d.fail("empty pool")
	}
	return model.PoolID(name)
}

func (d *decoder) tier(t uint32) model.Tier {
	if t >= model.TierCount {
		d.fail("unknown tier")
		return model.Batch
	}
	return model.Tier(t)
}

// enum checks that a value does not exceed the last value of its enumeration.
func (d *decoder) enum(k, last uint32) uint8 {
	if k > last {
		d.fail("unknown kind")
		return 0
	}
	return uint8(k)
}

func (d *decoder) request(id *pb.RequestID) model.RequestID {
	if id.GetInstance() == "" {
		d.fail("request id without an instance")
	}
	return model.RequestID{
		Instance: model.InstanceID(id.GetInstance()), Incarnation: model.Incarnation(id.GetIncarnation()), Seq: id.GetSeq(),
	}
}

func (d *decoder) descriptor(p *pb.Descriptor) model.Descriptor {
	if len(p.GetPrefix()) > model.MaxPrefixes {
		d.fail("too many prefix hashes")
	}
	out := model.Descriptor{
		ID: d.request(p.GetId()), Pool: d.pool(p.GetPool()), Team: model.TeamID(p.GetTeam()), Tier: d.tier(p.GetTier()),
		Arrived: d.now.Add(-d.duration(p.GetAgeUs())), Deadline: d.now.Add(d.duration(p.GetRemainingUs())),
		PromptTokens: d.count(p.GetPromptTokens()), OutputTokens: d.count(p.GetOutputTokens()),
		Prefix: p.GetPrefix(), Adapter: p.GetAdapter(),
	}
	switch len(p.GetKey()) {
	case 0:
	case len(out.Key):
		out.Key = model.KeyHash(p.GetKey())
	default:
		d.fail("key hash of the wrong length")
	}
	return out
}

func (d *decoder) grant(g *pb.Grant) model.Grant {
	return model.Grant{
		Request: d.request(g.GetRequest()), Pool: d.pool(g.GetPool()), Server: model.BackendServerID(g.GetServer()),
		Incarnation: model.Incarnation(g.GetIncarnation()), Epoch: model.Epoch(g.GetEpoch()),
	}
}

func (d *decoder) progress(p *pb.Progress) model.Progress {
	return model.Progress{
		Request: d.request(p.GetRequest()), Pool: d.pool(p.GetPool()), Server: model.BackendServerID(p.GetServer()),
		Epoch: model.Epoch(p.GetEpoch()), Kind: model.ProgressKind(d.enum(p.GetKind(), uint32(model.ProgressCancelled))),
		FirstToken: max(d.duration(p.GetFirstTokenUs()), 0), PerToken: max(d.duration(p.GetPerTokenUs()), 0),
		Tokens: d.count(p.GetTokens()), PrefillTokens: d.count(p.GetPrefillTokens()),
	}
}

func (d *decoder) state(s *pb.EntryState) port.EntryState {
	out := port.EntryState{Pool: d.pool(s.GetPool()), Epoch: model.Epoch(s.GetEpoch()), Sequence: s.GetSequence()}
	for _, w := range s.GetWaiting() {
		out.Waiting = append(out.Waiting, d.descriptor(w))
	}
	for _, o := range s.GetOutstanding() {
		out.Outstanding = append(out.Outstanding, port.Outstanding{
			Grant: d.grant(o.GetGrant()), Descriptor: d.descriptor(o.GetDescriptor_()),
		})
	}
	return out
}

func (d *decoder) report(r *pb.ServerReport) port.ServerReport {
	var out port.ServerReport
	for _, p := range r.GetPools() {
		out.Pools = append(out.Pools, d.pool(p))
	}
	if l := r.GetLoad(); l != nil {
		used := l.GetCacheUsed()
		if math.IsNaN(used) || used < 0 || used > 1 {
			d.fail("cache share out of range")
		}
		out.Load = &model.LoadReport{
			Server: model.BackendServerID(l.GetServer()), Incarnation: model.Incarnation(l.GetIncarnation()),
			At: d.now.Add(-max(d.duration(l.GetAgeUs()), 0)), Running: d.count(l.GetRunning()), Queued: d.count(l.GetQueued()),
			PrefillTokens: d.count(l.GetPrefillTokens()), CacheUsed: used, Adapters: l.GetAdapters(),
		}
	}
	for _, c := range r.GetCache() {
		out.Cache = append(out.Cache, model.CacheEvent{
			Server: model.BackendServerID(c.GetServer()), Incarnation: model.Incarnation(c.GetIncarnation()),
			Seq: c.GetSeq(), Evicted: c.GetEvicted(), Prefix: c.GetPrefix(), Tokens: d.count(c.GetTokens()),
		})
	}
	return out
}

func (d *decoder) event(e *pb.Event) port.DispatchEvent {
	out := port.DispatchEvent{
		Kind: port.DispatchKind(d.enum(e.GetKind(), uint32(port.DispatchDuplicate))),
		ID:   d.request(e.GetId()), Pool: d.pool(e.GetPool()), Epoch: model.Epoch(e.GetEpoch()),
		Reason: port.EvictReason(d.enum(e.GetReason(), uint32(port.EvictNoServer))),
		Tier:   d.tier(e.GetTier()), Deadline: d.now.Add(d.duration(e.GetRemainingUs())),
		Sequence: e.GetSequence(),
	}
	if out.Kind == port.DispatchGranted {
		out.Grant = d.grant(e.GetGrant())
	}
	return out
}

func (d *decoder) demand(m *pb.Demand) port.DemandMessage {
	out := port.DemandMessage{Pool: d.pool(m.GetPool())}
	if len(m.GetRequests()) != model.TierCount {
		d.fail("want the requests of each tier")
		return out
	}
	for i, n := range m.GetRequests() {
		out.Requests[i] = d.count(n)
	}
	return out
}
