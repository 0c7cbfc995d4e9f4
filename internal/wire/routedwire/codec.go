package routedwire

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/roster"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	pb "briaryard/internal/wire/routedpb"
)

// Codec implements port.Codec for the messages about routed requests, backend servers and instances.
type Codec struct{}

// Encode implements port.Codec.
func (Codec) Encode(body any) ([]byte, error) {
	var env pb.Envelope
	switch m := body.(type) {
	case port.JoinMessage:
		env.Body = &pb.Envelope_Join{Join: &pb.Join{Session: m.Session}}
	case port.GrantedWorkMessage:
		env.Body = &pb.Envelope_Account{Account: encodeAccount(m)}
	case port.SubmitMessage:
		env.Body = &pb.Envelope_Ask{Ask: encodeAsk(m)}
	case port.WithdrawSubmitMessage:
		env.Body = &pb.Envelope_Withdraw{Withdraw: &pb.Withdraw{Session: m.Session, Id: encodeID(m.ID)}}
	case port.OutcomeMessage:
		env.Body = &pb.Envelope_Report{Report: encodeReport(m)}
	case port.RecordsSubscriptionMessage:
		env.Body = &pb.Envelope_RecordsSubscription{RecordsSubscription: &pb.RecordsSubscription{On: m.On}}
	case port.ServerNoticeMessage:
		env.Body = &pb.Envelope_ServerNotice{ServerNotice: &pb.ServerNotice{
			Session: m.Session, Server: string(m.Notice.Server), Incarnation: uint64(m.Notice.Incarnation),
			Leaving: m.Notice.Leaving, HoldUs: m.Notice.HoldFor.Microseconds(),
			Limit: m.Notice.Limit, LimitEnded: m.Notice.LimitEnded,
		}}
	case port.JoinedMessage:
		env.Body = &pb.Envelope_Joined{Joined: &pb.Joined{Session: m.Session}}
	case port.DecisionMessage:
		env.Body = &pb.Envelope_Verdict{Verdict: encodeVerdict(m)}
	case port.DispatcherHeartbeatMessage:
		env.Body = &pb.Envelope_Beat{Beat: &pb.Beat{Session: m.Session}}
	case port.ServersMessage:
		s := &pb.Servers{}
		for i := range m.Servers {
			s.Servers = append(s.Servers, encodeServer(&m.Servers[i]))
		}
		env.Body = &pb.Envelope_Servers{Servers: s}
	case port.AnnouncementsMessage:
		env.Body = &pb.Envelope_Heard{Heard: encodeHeard(m)}
	case port.PresenceMessage:
		env.Body = &pb.Envelope_Presence{Presence: encodePresence(m.Entry)}
	case port.InstancesMessage:
		env.Body = &pb.Envelope_Instances{Instances: encodeInstances(&m.Changes)}
	case port.PartRecordsMessage:
		env.Body = &pb.Envelope_PartRecords{PartRecords: encodePartRecords(m)}
	case port.InstancesRequestMessage:
		env.Body = &pb.Envelope_InstancesRequest{InstancesRequest: &pb.InstancesRequest{}}
	default:
		return nil, &fault.PeerProtocol{Reason: fmt.Sprintf("no encoding for %T", body)}
	}
	return proto.Marshal(&env)
}

func encodeID(id model.RequestID) *pb.ID {
	return &pb.ID{Incarnation: uint64(id.Incarnation), Seq: id.Seq}
}

func encodeAccount(m port.GrantedWorkMessage) *pb.Account {
	a := &pb.Account{Session: m.Session}
	for _, w := range m.Works {
		a.Works = append(a.Works, &pb.Work{
			Id: encodeID(w.ID), Service: string(w.Service), Server: string(w.Server), Team: string(w.Team),
			Prompt: int64(w.Prompt), Output: int64(w.Output), Expected: int64(w.Expected), Started: w.Started, Rank: int64(w.Rank), Route: uint32(w.Route), HedgeRoute: w.HedgeRoute,
		})
	}
	for _, r := range m.Appointments {
		a.Appointments = append(a.Appointments, &pb.Appointment{
			Fingerprint: r.Fingerprint, Service: string(r.Lane.Service), Rank: int64(r.Lane.Rank), InUs: r.In.Microseconds(), WorkUs: r.Work.Microseconds(),
		})
	}
	return a
}

func encodeAsk(m port.SubmitMessage) *pb.Ask {
	w := &m.Request
	a := &pb.Ask{
		Session: m.Session, Id: encodeID(w.ID), Service: string(w.Service), Team: string(w.Team), Rank: int64(w.Rank),
		Prompt: int64(w.Prompt), Output: int64(w.Output), Expected: int64(w.Expected), Model: w.Model,
		FailureDomain: string(w.Domain), WaitedUs: m.Waited.Microseconds(), OnTimeUs: m.StartTargetIn.Microseconds(),
		UntilUs: m.StartDeadlineIn.Microseconds(), EndUs: m.DeadlineIn.Microseconds(), Admitted: w.Admitted,
		Fingerprint: w.Fingerprint,
		Route:       uint32(w.Route), HedgeRoute: w.HedgeRoute, Hedge: w.Hedge, FreeSlots: w.FreeSlots,
	}
	for _, id := range w.Tried {
		a.Tried = append(a.Tried, string(id))
	}
	for _, d := range m.Refused {
		a.Refused = append(a.Refused, &pb.RefusedDemand{
			Service: string(d.Service), Rank: int64(d.Rank), Requests: int64(d.Requests), HoldUs: d.Hold.Microseconds(),
		})
	}
	return a
}

func encodeReport(m port.OutcomeMessage) *pb.Report {
	r := &m.Report
	return &pb.Report{
		Session: m.Session, Id: encodeID(r.ID), Server: string(r.Server), Outcome: uint32(r.Outcome),
		FirstUs: r.First.Microseconds(), RestUs: r.Rest.Microseconds(), Events: int64(r.Events), Refund: r.Refund,
	}
}

func encodeVerdict(m port.DecisionMessage) *pb.Verdict {
	d := &m.Decision
	v := &pb.Verdict{
		Session: m.Session, Id: encodeID(d.ID), Denied: d.Denied, Reason: uint32(d.Reason), RetryAfterUs: d.RetryAfter.Microseconds(),
		HedgeAfterUs: d.HedgeAfter.Microseconds(), HedgeTypicalUs: d.HedgeTypical.Microseconds(),
	}
	if !d.Denied {
		v.Server = encodeServer(&d.Server)
	}
	if d.Appointment.Fingerprint != 0 {
		v.AppointmentWorkUs = max(d.Appointment.Work.Microseconds(), 1)
	}
	v.Due, v.DueOmitted = d.Due, d.DueOmitted
	return v
}

func encodeServer(s *model.BackendServer) *pb.Server {
	p := &pb.Server{
		Id: string(s.ID), Incarnation: uint64(s.Incarnation), Sequence: s.Sequence, State: uint32(s.State),
		Address: s.Address, FailureDomain: string(s.Domain), Models: s.Models, Slots: int64(s.Slots),
		Version: s.Version,
	}
	for _, id := range s.Pools {
		p.Services = append(p.Services, string(id))
	}
	return p
}

func encodeHeard(m port.AnnouncementsMessage) *pb.Heard {
	h := &pb.Heard{}
	for _, s := range m.Servers {
		h.Servers = append(h.Servers, &pb.HeardServer{Id: string(s.ID), Incarnation: uint64(s.Incarnation), Sequence: s.Sequence})
	}
	return h
}

func encodePresence(e roster.Entry) *pb.Presence {
	return &pb.Presence{
		Instance: string(e.Instance), Incarnation: uint64(e.Incarnation), Sequence: e.Sequence,
		Address: e.Address, FailureDomain: string(e.Domain), Ready: e.Ready,
	}
}

func encodeInstances(c *roster.Changes) *pb.Instances {
	list := &pb.Instances{Version: c.Version, Base: c.Base}
	for _, e := range c.Entries {
		list.Instances = append(list.Instances, encodePresence(e))
	}
	for _, id := range c.Removed {
		list.Removed = append(list.Removed, string(id))
	}
	return list
}

// Decode implements port.Codec. The decoded request ids lack the instance, which the receiver knows
// from the connection.
func (Codec) Decode(data []byte) (any, error) {
	var env pb.Envelope
	if err := proto.Unmarshal(data, &env); err != nil {
		return nil, &fault.PeerProtocol{Reason: err.Error()}
	}
	switch b := env.GetBody().(type) {
	case *pb.Envelope_Join:
		return port.JoinMessage{Session: b.Join.GetSession()}, nil
	case *pb.Envelope_Account:
		return decodeAccount(b.Account)
	case *pb.Envelope_Ask:
		return decodeAsk(b.Ask), nil
	case *pb.Envelope_Withdraw:
		return port.WithdrawSubmitMessage{Session: b.Withdraw.GetSession(), ID: decodeID(b.Withdraw.GetId())}, nil
	case *pb.Envelope_Report:
		return decodeReport(b.Report)
	case *pb.Envelope_RecordsSubscription:
		return port.RecordsSubscriptionMessage{On: b.RecordsSubscription.GetOn()}, nil
	case *pb.Envelope_ServerNotice:
		return decodeNotice(b.ServerNotice)
	case *pb.Envelope_Joined:
		return port.JoinedMessage{Session: b.Joined.GetSession()}, nil
	case *pb.Envelope_Verdict:
		return decodeVerdict(b.Verdict)
	case *pb.Envelope_Beat:
		return port.DispatcherHeartbeatMessage{Session: b.Beat.GetSession()}, nil
	case *pb.Envelope_Servers:
		return decodeServers(b.Servers)
	case *pb.Envelope_Heard:
		return decodeHeard(b.Heard), nil
	case *pb.Envelope_Presence:
		return port.PresenceMessage{Entry: decodePresence(b.Presence)}, nil
	case *pb.Envelope_Instances:
		return port.InstancesMessage{Changes: decodeInstances(b.Instances)}, nil
	case *pb.Envelope_PartRecords:
		return decodePartRecords(b.PartRecords)
	case *pb.Envelope_InstancesRequest:
		return port.InstancesRequestMessage{}, nil
	}
	return nil, &fault.PeerProtocol{Reason: "message of no known kind"}
}

func decodeID(id *pb.ID) model.RequestID {
	return model.RequestID{Incarnation: model.Incarnation(id.GetIncarnation()), Seq: id.GetSeq()}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func decodeAccount(a *pb.Account) (any, error) {
	m := port.GrantedWorkMessage{Session: a.GetSession()}
	for _, w := range a.GetWorks() {
		if w.GetPrompt() < 0 || w.GetOutput() < 0 {
			return nil, &fault.PeerProtocol{Reason: "negative number of tokens"}
		}
		m.Works = append(m.Works, schedule.Work{
			ID: decodeID(w.GetId()), Service: model.PoolID(w.GetService()), Server: model.BackendServerID(w.GetServer()),
			Team: model.TeamID(w.GetTeam()), Prompt: int(w.GetPrompt()), Output: int(w.GetOutput()),
			Expected: int(w.GetExpected()), Started: w.GetStarted(), Rank: int(w.GetRank()),
			Route: uint16(w.GetRoute()), HedgeRoute: w.GetHedgeRoute(),
		})
	}
	for _, r := range a.GetAppointments() {
		if a, ok := decodeAppointment(r); ok {
			m.Appointments = append(m.Appointments, a)
		}
	}
	return m, nil
}

// maxAppointmentWork is the longest work of an appointment: no request has more time.
const maxAppointmentWork = time.Minute

// decodeAppointment decodes an appointment. One that is out of range is left out, since it may have ended on
// the way, and the granted work of the message counts without it.
func decodeAppointment(r *pb.Appointment) (port.ReturnAppointment, bool) {
	in, work := r.GetInUs(), r.GetWorkUs()
	if in < -appointment.Grace.Microseconds() || in > appointment.Horizon.Microseconds() || work < 0 || work > maxAppointmentWork.Microseconds() {
		return port.ReturnAppointment{}, false
	}
	return port.ReturnAppointment{In: micros(in), Appointment: appointment.Appointment{
		Fingerprint: r.GetFingerprint(), Lane: appointment.Lane{Service: model.PoolID(r.GetService()), Rank: int(r.GetRank())}, Work: micros(work),
	}}, true
}

func decodeAsk(a *pb.Ask) any {
	m := port.SubmitMessage{
		Session: a.GetSession(), Waited: micros(a.GetWaitedUs()), StartTargetIn: micros(a.GetOnTimeUs()), StartDeadlineIn: micros(a.GetUntilUs()),
		DeadlineIn: micros(a.GetEndUs()),
		Request: schedule.Request{
			ID: decodeID(a.GetId()), Service: model.PoolID(a.GetService()), Team: model.TeamID(a.GetTeam()), Rank: int(a.GetRank()),
			Prompt: max(int(a.GetPrompt()), 0), Output: max(int(a.GetOutput()), 0), Expected: max(int(a.GetExpected()), 0),
			Fingerprint: a.GetFingerprint(),
			Model:       a.GetModel(), Domain: model.FailureDomain(a.GetFailureDomain()), Admitted: a.GetAdmitted(),
			Route: uint16(a.GetRoute()), HedgeRoute: a.GetHedgeRoute(), Hedge: a.GetHedge(), FreeSlots: a.GetFreeSlots(),
		},
	}
	for _, id := range a.GetTried() {
		m.Request.Tried = append(m.Request.Tried, model.BackendServerID(id))
	}
	for _, d := range a.GetRefused() {
		if d.GetRequests() > 0 && d.GetHoldUs() > 0 {
			m.Refused = append(m.Refused, schedule.RefusedDemand{
				Service: model.PoolID(d.GetService()), Rank: int(d.GetRank()), Requests: int(d.GetRequests()), Hold: micros(d.GetHoldUs()),
			})
		}
	}
	return m
}

func decodeReport(r *pb.Report) (any, error) {
	if r.GetOutcome() > uint32(schedule.Unused) {
		return nil, &fault.PeerProtocol{Reason: "unknown outcome"}
	}
	return port.OutcomeMessage{Session: r.GetSession(), Report: schedule.Report{
		ID: decodeID(r.GetId()), Server: model.BackendServerID(r.GetServer()), Outcome: schedule.Outcome(r.GetOutcome()),
		First: micros(r.GetFirstUs()), Rest: micros(r.GetRestUs()), Events: int(r.GetEvents()), Refund: r.GetRefund(),
	}}, nil
}

func decodeNotice(n *pb.ServerNotice) (any, error) {
	holdFor := micros(n.GetHoldUs())
	limited := n.GetLimit() >= model.MinServerLimit && n.GetLimit() <= model.MaxServerLimit
	if n.GetServer() == "" || n.GetHoldUs() < 0 || n.GetHoldUs() > model.MaxServerHold.Microseconds() || n.GetLimit() != 0 && !limited {
		return nil, &fault.PeerProtocol{Reason: "notice of a backend server out of range"}
	}
	return port.ServerNoticeMessage{Session: n.GetSession(), Notice: model.ServerNotice{
		Server: model.BackendServerID(n.GetServer()), Incarnation: model.Incarnation(n.GetIncarnation()), Leaving: n.GetLeaving(), HoldFor: holdFor,
		Limit: n.GetLimit(), LimitEnded: n.GetLimitEnded(),
	}}, nil
}

func decodeVerdict(v *pb.Verdict) (any, error) {
	if v.GetReason() > uint32(schedule.DeniedHedgeServer) {
		return nil, &fault.PeerProtocol{Reason: "unknown reason"}
	}
	m := port.DecisionMessage{Session: v.GetSession(), Decision: schedule.Decision{
		ID: decodeID(v.GetId()), Denied: v.GetDenied(), Reason: schedule.Reason(v.GetReason()), RetryAfter: micros(v.GetRetryAfterUs()),
		HedgeAfter: micros(v.GetHedgeAfterUs()), HedgeTypical: micros(v.GetHedgeTypicalUs()),
	}}
	if m.Decision.Denied {
		m.Decision.Appointment.Work = min(micros(max(v.GetAppointmentWorkUs(), 0)), maxAppointmentWork)
		m.Decision.Due, m.Decision.DueOmitted = v.GetDue(), v.GetDueOmitted()
		return m, nil
	}
	var err error
	m.Decision.Server, err = decodeServer(v.GetServer())
	return m, err
}

func decodeServers(list *pb.Servers) (any, error) {
	var m port.ServersMessage
	for _, p := range list.GetServers() {
		s, err := decodeServer(p)
		if err != nil {
			return nil, err
		}
		m.Servers = append(m.Servers, s)
	}
	return m, nil
}

func decodeServer(p *pb.Server) (model.BackendServer, error) {
	if p.GetId() == "" || p.GetState() > uint32(model.Gone) || p.GetSlots() < 0 || len(p.GetVersion()) > model.MaxVersionBytes {
		return model.BackendServer{}, &fault.PeerProtocol{Reason: "backend server out of range"}
	}
	s := model.BackendServer{
		ID: model.BackendServerID(p.GetId()), Incarnation: model.Incarnation(p.GetIncarnation()), Sequence: p.GetSequence(),
		State: model.MemberState(p.GetState()), Address: p.GetAddress(), Domain: model.FailureDomain(p.GetFailureDomain()),
		Models: p.GetModels(), Slots: int(p.GetSlots()), Version: p.GetVersion(),
	}
	for _, id := range p.GetServices() {
		s.Pools = append(s.Pools, model.PoolID(id))
	}
	return s, nil
}

func decodeHeard(h *pb.Heard) any {
	var m port.AnnouncementsMessage
	for _, s := range h.GetServers() {
		m.Servers = append(m.Servers, port.AnnouncementRef{
			ID: model.BackendServerID(s.GetId()), Incarnation: model.Incarnation(s.GetIncarnation()), Sequence: s.GetSequence(),
		})
	}
	return m
}

func decodePresence(p *pb.Presence) roster.Entry {
	return roster.Entry{
		Instance: model.InstanceID(p.GetInstance()), Incarnation: model.Incarnation(p.GetIncarnation()), Sequence: p.GetSequence(),
		Address: p.GetAddress(), Domain: model.FailureDomain(p.GetFailureDomain()), Ready: p.GetReady(),
	}
}

func decodeInstances(list *pb.Instances) roster.Changes {
	c := roster.Changes{Version: list.GetVersion(), Base: list.GetBase()}
	for _, p := range list.GetInstances() {
		c.Entries = append(c.Entries, decodePresence(p))
	}
	for _, id := range list.GetRemoved() {
		c.Removed = append(c.Removed, model.InstanceID(id))
	}
	return c
}
