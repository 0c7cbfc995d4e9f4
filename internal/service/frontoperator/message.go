package frontoperator

import (
	"slices"
	"strings"
	"time"

	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
)

// status returns everything that the status page shows.
func (s *Service) status(p snapshot) operator.Status {
	return operator.Status{
		Instance: string(s.options.Instance), Incarnation: uint64(s.options.Incarnation),
		FailureDomain: string(s.options.Domain), Started: s.started, Unhealthy: s.unhealthy(),
		Revision: uint64(p.config.Revision), Accepted: uint64(p.accepted.Revision),
		Confirmed: p.confirmed(), Exceptions: p.exceptions(time.Now()),
		Leases: p.leaseList(), Leader: string(p.status.Leader), Voters: p.voters(),
		Placement: p.placementState(), Members: p.members(), Duties: p.duties, Metrics: s.metrics.Values(),
	}
}

// members returns the instances and the backend servers, each sorted by id.
func (p snapshot) members() operator.Members {
	m := operator.Members{Instances: []operator.Instance{}, Servers: []operator.Server{}}
	for _, i := range p.view.Instances {
		m.Instances = append(m.Instances, operator.Instance{
			ID: string(i.ID), Incarnation: uint64(i.Incarnation), State: i.State.String(), FailureDomain: string(i.Domain),
			CallerAddress: i.CallerAddress, PeerAddress: i.PeerAddress, Voter: i.Voter, Withdrawn: i.Withdrawn,
		})
	}
	for _, b := range p.view.Servers {
		m.Servers = append(m.Servers, operator.Server{
			ID: string(b.ID), Incarnation: uint64(b.Incarnation), State: b.State.String(), Kind: b.Kind.String(),
			Pools: toStrings(b.Pools), FailureDomain: string(b.Domain), Address: b.Address, Home: string(b.Home),
			Slots: b.Slots, Generation: b.Generation,
		})
	}
	slices.SortFunc(m.Instances, func(a, b operator.Instance) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(m.Servers, func(a, b operator.Server) int { return strings.Compare(a.ID, b.ID) })
	return m
}

// leaseList returns the leases sorted by name.
func (p snapshot) leaseList() []operator.Lease {
	out := []operator.Lease{}
	for _, l := range p.leases {
		out = append(out, operator.Lease{Name: l.Name, Holder: string(l.Holder), Epoch: uint64(l.Epoch)})
	}
	slices.SortFunc(out, func(a, b operator.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// placementState returns nil if the configuration does not declare placement.
func (p snapshot) placementState() *operator.Placement {
	if p.config.Placement == nil {
		return nil
	}
	out := &operator.Placement{Orders: []operator.Order{}, Missing: []operator.Missing{}}
	for _, l := range p.leases {
		if l.Name == port.PlacementLease {
			out.Holder = string(l.Holder)
		}
	}
	st := &p.placement
	out.Here, out.Loads = st.Held, st.Loads
	for _, o := range st.Orders {
		out.Orders = append(out.Orders, operator.Order{
			ID: o.Order.ID.String(), Kind: o.Order.Kind.String(), Server: string(o.Order.Server), Model: string(o.Order.Model),
			Adapter: o.Order.Adapter, Phase: o.Phase, Since: o.Since,
		})
	}
	for _, m := range st.Shortages {
		out.Missing = append(out.Missing, operator.Missing{
			Pool: string(m.Pool), FailureDomain: string(m.Domain), Want: m.Want, Have: m.Have, Since: m.Since, Reason: m.Reason,
		})
	}
	return out
}

func (p snapshot) voters() []string { return toStrings(p.status.Voters) }

// confirmed returns the revision in force at each instance, sorted by instance.
func (p snapshot) confirmed() []operator.Confirmation {
	out := []operator.Confirmation{}
	for _, c := range p.status.Confirmed {
		out = append(out, operator.Confirmation{Instance: string(c.Instance), Revision: uint64(c.Revision), Stopping: c.Stopping})
	}
	slices.SortFunc(out, func(a, b operator.Confirmation) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// exceptions returns the exceptions of the configuration in force and whether they have ended at now.
func (p snapshot) exceptions(now time.Time) []operator.Exception {
	out := []operator.Exception{}
	for i := range p.config.Exceptions {
		x := &p.config.Exceptions[i]
		e := operator.Exception{
			Target: x.Target(), Field: x.Field, Value: x.Value, Owner: x.Owner, Reason: x.Reason, Ended: x.Ended(now),
		}
		if !x.Until.IsZero() {
			e.Until = x.Until.Format(time.DateOnly)
		}
		out = append(out, e)
	}
	return out
}

func toStrings[T model.PoolID | model.InstanceID](names []T) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return out
}
