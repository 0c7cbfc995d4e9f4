package rollout

import (
	"context"
	"slices"
	"time"

	"briaryard/internal/decide/rollout"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	// ringCapacity is one second of evidence in batches of the scheduler's ticks, twenty times over.
	ringCapacity = 1024
	// tickInterval bounds how late a step is taken.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval is the tick interval without a roll-out in progress.
	idleTickInterval = 500 * time.Millisecond
	// republishInterval is how often unchanged rules are sent again, because the scheduler's ring may have been
	// full.
	republishInterval = 500 * time.Millisecond
)

// message is port.RolloutEvidence, port.ControlStatus, rolloutsChanged or proposalDone.
type message any

type rolloutsChanged struct{ list []model.Rollout }

// proposalDone is the result of a proposal of a judge.
type proposalDone struct {
	service model.PoolID
	number  uint64
	reply   port.ControlReply
}

// judged is a judge with the state of its proposals.
type judged struct {
	*rollout.Judge
	// proposedAt is when the proposal in progress was sent, or zero.
	proposedAt time.Time
}

// order is the time of an order by this instance's clock.
type order struct {
	number uint64
	at     time.Time
}

// Service judges the roll-outs at the leader.
type Service struct {
	log        *event.Log
	metrics    *metric.Set
	limits     rollout.Limits
	ring       *ring.Ring[message]
	self       model.InstanceID
	control    port.ControlClient
	dispatcher port.RolloutDispatcher

	// The fields below belong to the rollout duty.
	leads     bool
	confirmed uint64
	rollouts  []model.Rollout
	judges    map[model.PoolID]*judged
	// orders holds the roll-outs in progress, also while this instance does not lead.
	orders map[model.PoolID]order
	// startedAt is when this process began to follow the roll-outs.
	startedAt time.Time
	published []schedule.Split
	sent      bool
	sentAt    time.Time
}

// New returns the service.
func New(log *event.Log, m *metric.Set, l rollout.Limits) *Service {
	return &Service{
		log: log, metrics: m, limits: l, ring: ring.New[message]("rollout", ringCapacity, ring.Refuse), judges: make(map[model.PoolID]*judged),
		orders: make(map[model.PoolID]order),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.RolloutName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.ControlName, port.ControlClientName, port.SchedulerName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var peers port.Peers
	var voter port.RolloutsObserver
	var status port.ControlObserver
	err := r.Bind(kernel.Into(port.PeersName, &peers), kernel.Into(port.ControlName, &voter), kernel.Into(port.ControlClientName, &s.control),
		kernel.Into(port.ControlClientName, &status), kernel.Into(port.SchedulerName, &s.dispatcher))
	if err != nil {
		return err
	}
	s.self, _ = peers.Self()
	// The voter publishes a list once, so it waits for room; this duty never waits for the voter's.
	voter.SubscribeRollouts(func(list []model.Rollout) { _ = s.ring.Put(context.Background(), rolloutsChanged{list}) })
	// A status or evidence may be dropped: heartbeats send the one again, the other only delays a decision.
	status.SubscribeStatus(func(st port.ControlStatus) { _ = s.ring.Offer(st) })
	s.dispatcher.SubscribeEvidence(func(e port.RolloutEvidence) { _ = s.ring.Offer(e) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("rollout", kernel.Loop[message]{
		Ring: s.ring, TickInterval: tickInterval, Handle: s.handle, OnTick: s.onTick, IdleTickInterval: idleTickInterval,
		Idle: func() bool { return len(s.judges) == 0 },
	}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case rolloutsChanged:
		s.rollouts, s.sent = m.list, false
		s.updateOrders(now)
		s.updateJudges(now)
	case port.ControlStatus:
		s.confirmed = m.RolloutsConfirmed
		if leads := m.Leader == s.self; leads != s.leads {
			s.leads = leads
			s.updateJudges(now)
		}
	case port.RolloutEvidence:
		s.observe(now, m)
	case proposalDone:
		s.handleProposal(now, m)
	}
	s.advance(now)
}

func (s *Service) onTick(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	for _, j := range s.judges {
		j.Tick(now)
	}
	s.advance(now)
}

const (
	// replayTime is the time after the start of a process in which a change may be one that was committed before the
	// start, and maxDowntime the longest time without any member that counts as a part of the roll-out.
	replayTime  = 10 * time.Second
	maxDowntime = 30 * time.Second
)

// updateOrders sets the times of the orders by this instance's clock. Each change says how much time had passed, and
// arrives late if at all, so the earliest time is the best one. After the start of the process a change may be older,
// which only wall clocks show.
func (s *Service) updateOrders(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	inProgress := make(map[model.PoolID]order)
	for i := range s.rollouts {
		r := &s.rollouts[i]
		if r.Ended() {
			continue
		}
		at := now.Add(-r.Elapsed)
		if now.Sub(s.startedAt) < replayTime {
			at = at.Add(-min(max(now.Sub(r.ChangedAt), 0), maxDowntime))
		}
		if known, ok := s.orders[r.Service]; ok && known.number == r.Number && known.at.Before(at) {
			at = known.at
		}
		inProgress[r.Service] = order{r.Number, at}
	}
	s.orders = inProgress
}

// updateJudges starts a judge for each roll-out in progress while this instance leads, and drops the others.
func (s *Service) updateJudges(now time.Time) {
	inProgress := make(map[model.PoolID]bool)
	for i := range s.rollouts {
		r := &s.rollouts[i]
		j := s.judges[r.Service]
		if j != nil && j.Rollout().Number == r.Number {
			j.Update(now, *r)
			s.logEnd(now, j, r)
		}
		if !s.leads || r.Ended() {
			continue
		}
		inProgress[r.Service] = true
		if j == nil || j.Rollout().Number != r.Number {
			s.judges[r.Service] = &judged{Judge: rollout.New(now, s.orders[r.Service].at, *r, s.limits)}
			s.log.Emit(event.RolloutStarted, r.Service, r.Target, r.Number, r.Duration, now.Sub(s.orders[r.Service].at), r.Requests, r.Reserved)
			s.metrics.Counter(metric.RolloutChanges, "started").Inc(1)
		}
	}
	for id := range s.judges {
		if !inProgress[id] {
			delete(s.judges, id)
		}
	}
}

// logEnd logs the committed end of a roll-out.
func (s *Service) logEnd(now time.Time, j *judged, r *model.Rollout) {
	counts := j.Counts()
	switch r.Phase {
	case model.RolloutInProgress:
		return
	case model.RolloutCompleted:
		s.log.Emit(event.RolloutCompleted, r.Service, r.Target, now.Sub(j.OrderedAt()), counts.Requests, counts.Granted)
	case model.RolloutRolledBack:
		s.log.Emit(event.RolloutRolledBack, r.Service, r.Target, "committed", now.Sub(j.OrderedAt()), counts.Requests, counts.Granted, counts.Answers, counts.Bad)
	}
	s.metrics.Counter(metric.RolloutChanges, r.Phase.String()).Inc(1)
}

// observe gives evidence to the judges.
func (s *Service) observe(now time.Time, e port.RolloutEvidence) {
	fleet := rollout.Fleet{Confirmed: s.confirmed, Lost: e.Lost}
	byService := make(map[model.PoolID][]rollout.Sample)
	for _, sample := range e.Samples {
		byService[sample.Service] = append(byService[sample.Service], sample)
	}
	for id, samples := range byService {
		if j := s.judges[id]; j != nil {
			j.Observe(now, samples)
		}
	}
	for _, status := range e.Status {
		if j := s.judges[status.Service]; j != nil {
			j.SetStatus(status, fleet)
		}
	}
}

// handleProposal takes the result of a proposal.
func (s *Service) handleProposal(now time.Time, m proposalDone) {
	j := s.judges[m.service]
	if j == nil || j.Rollout().Number != m.number {
		return
	}
	j.proposedAt = time.Time{}
	if err := m.reply.Err; err != nil {
		s.log.Emit(event.RolloutNotStored, m.service, j.Rollout().Target, err.Error())
	} else if m.reply.Result.Err != nil {
		s.log.Emit(event.RolloutNotStored, m.service, j.Rollout().Target, m.reply.Result.Err.Error())
	}
	// The reply may precede the roll-outs of the voter. Without its state the change would be proposed again.
	if r := m.reply.Result.Rollout; r != nil {
		j.Update(now, *r)
	}
}

// advance logs the decisions of the judges, sends their splits and proposes their changes.
func (s *Service) advance(now time.Time) {
	var splits []schedule.Split
	for _, j := range s.judges {
		s.logChanges(now, j)
		s.propose(now, j)
		splits = append(splits, schedule.Split{
			Service: j.Rollout().Service, Number: j.Rollout().Number, Share: j.Share(), Before: j.Before(), Allowance: j.Allowance(),
		})
	}
	s.publish(now, splits)
}

func (s *Service) logChanges(now time.Time, j *judged) {
	r := j.Rollout()
	for _, c := range j.TakeChanges() {
		n := &c.Counts
		switch {
		case !c.Advance:
			s.log.Emit(event.RolloutShare, r.Service, r.Target, c.Share, c.Reason, n.Requests, n.Granted, n.Reserved, n.Answers, n.Bad, n.OldAnswers, n.OldBad)
		case c.Phase == model.RolloutRolledBack:
			s.log.Emit(event.RolloutRolledBack, r.Service, r.Target, c.Reason, now.Sub(j.OrderedAt()), n.Requests, n.Granted, n.Answers, n.Bad)
		case c.Phase == model.RolloutInProgress:
			s.log.Emit(event.RolloutTrusted, r.Service, r.Target, c.Reason, n.Requests, n.Granted, n.Answers, n.Bad)
			s.metrics.Counter(metric.RolloutChanges, "trusted").Inc(1)
		}
	}
}

// proposalTimeout is longer than the 2 s for which the control client tries to commit a change. A lost reply then costs
// no more than that.
const proposalTimeout = 2500 * time.Millisecond

// propose sends the next change of a judge to the control group, one at a time.
func (s *Service) propose(now time.Time, j *judged) {
	if !j.proposedAt.IsZero() && now.Sub(j.proposedAt) < proposalTimeout {
		return
	}
	p, ok := j.Propose(now)
	if !ok {
		return
	}
	number := j.Rollout().Number
	err := s.control.Do(p, func(r port.ControlReply) {
		_ = s.ring.Offer(proposalDone{p.Service, number, r})
	})
	if err == nil {
		j.proposedAt = now
	}
}

// publish sends the roll-outs and the splits to the scheduler if they have changed, and again from time to time.
func (s *Service) publish(now time.Time, splits []schedule.Split) {
	if len(s.rollouts) == 0 {
		return
	}
	if s.sent && equalSplits(splits, s.published) && now.Sub(s.sentAt) < republishInterval {
		return
	}
	rules := port.RolloutRules{Rollouts: slices.Clone(s.rollouts), Splits: splits}
	for i := range rules.Rollouts {
		if j := s.judges[rules.Rollouts[i].Service]; j != nil {
			rules.Rollouts[i] = j.InForce()
		}
	}
	s.sent = s.dispatcher.SetRollouts(rules) == nil
	s.published, s.sentAt = splits, now
}

// equalSplits reports whether two lists hold the same splits in any order.
func equalSplits(a, b []schedule.Split) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[schedule.Split]bool, len(a))
	for _, split := range a {
		known[split] = true
	}
	for _, split := range b {
		if !known[split] {
			return false
		}
	}
	return true
}
