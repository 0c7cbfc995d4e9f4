package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// newPoolWithSharedKey returns a pool with one server of four slots, two registered requests
// with the same idempotency key, and the decisions so far.
func newPoolWithSharedKey(first, second model.Tier) (*dispatch.Pool, [2]model.Descriptor, []dispatch.Decision) {
	p := dispatch.NewPool("m", 1, nil)
	var ds [2]model.Descriptor
	for i, tier := range []model.Tier{first, second} {
		ds[i] = model.Descriptor{
			ID: model.RequestID{Instance: "i0", Incarnation: 1, Seq: uint64(i + 1)}, Pool: "m", Team: "a", Tier: tier,
			Arrived: epoch, Deadline: epoch.Add(time.Minute), PromptTokens: 10, Key: model.KeyHash{1},
		}
		p.Register(epoch, ds[i])
	}
	p.SetServers(epoch, []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 4}})
	return p, ds, p.Take()
}

// Guards against two concurrent attempts with one key, and against a second attempt that is
// never told that the first has ended.
func TestSecondRequestWithKeyWaitsForFirst(t *testing.T) {
	g := NewWithT(t)
	p, ds, out := newPoolWithSharedKey(model.Standard, model.Standard)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Kind).To(Equal(dispatch.Granted))
	g.Expect(out[0].Descriptor.ID).To(Equal(ds[0].ID))
	p.Report(epoch, model.Progress{Request: ds[0].ID, Server: "s", Epoch: 1, Kind: model.ProgressFinished})
	out = p.Take()
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Kind).To(Equal(dispatch.Duplicate))
	g.Expect(out[0].Descriptor.ID).To(Equal(ds[1].ID))
	waiting, outstanding := p.Counts()
	g.Expect(waiting + outstanding).To(BeZero())
}

// Guards against losing a second attempt together with the first one.
func TestSecondRequestWithKeyTakesPlaceOfFirst(t *testing.T) {
	end := map[string]func(*dispatch.Pool, model.RequestID){
		"returned": func(p *dispatch.Pool, id model.RequestID) {
			p.Report(epoch, model.Progress{Request: id, Server: "s", Epoch: 1, Kind: model.ProgressReturned})
		},
		"gone": func(p *dispatch.Pool, id model.RequestID) {
			p.Register(epoch, model.Descriptor{ID: id})
			p.InstanceGone(epoch, "i0", 0)
			p.Report(epoch, model.Progress{Request: id, Server: "s", Epoch: 1, Kind: model.ProgressReturned})
		},
	}
	for name, end := range end {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, ds, _ := newPoolWithSharedKey(model.Standard, model.Standard)
			end(p, ds[0].ID)
			out := p.Take()
			g.Expect(out).To(HaveLen(1))
			g.Expect(out[0].Kind).To(Equal(dispatch.Granted))
			g.Expect(out[0].Descriptor.ID).To(Equal(ds[1].ID))
		})
	}
}

// Guards against an urgent request delayed by its own duplicate in a lower tier.
func TestMoreUrgentDuplicateGoesFirst(t *testing.T) {
	g := NewWithT(t)
	_, ds, out := newPoolWithSharedKey(model.Batch, model.Urgent)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Descriptor.ID).To(Equal(ds[1].ID))
}

// Guards against an urgent attempt that takes the place of a returned one only after a
// follower of a lower tier.
func TestMostUrgentFollowerTakesPlace(t *testing.T) {
	g := NewWithT(t)
	p, ds, _ := newPoolWithSharedKey(model.Standard, model.Batch)
	urgent := ds[1]
	urgent.ID.Seq, urgent.Tier = 3, model.Urgent
	p.Register(epoch, urgent)
	g.Expect(p.Take()).To(BeEmpty())
	p.Report(epoch, model.Progress{Request: ds[0].ID, Server: "s", Epoch: 1, Kind: model.ProgressReturned})
	out := p.Take()
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Descriptor.ID).To(Equal(urgent.ID))
}

// Guards against a resync that is older than a report and restores an ended request.
func TestLateResyncDoesNotReviveEndedRequest(t *testing.T) {
	g := NewWithT(t)
	p, ds, out := newPoolWithSharedKey(model.Standard, model.Standard)
	old := dispatch.Outstanding{Grant: out[0].Grant, Descriptor: ds[0]}
	p.Report(epoch, model.Progress{Request: ds[0].ID, Server: "s", Epoch: 1, Kind: model.ProgressFinished})
	p.Take()
	p.Resync(epoch, "i0", []model.Descriptor{ds[0]}, []dispatch.Outstanding{old})
	g.Expect(p.Take()).To(BeEmpty())
	_, outstanding := p.Counts()
	g.Expect(outstanding).To(BeZero())
}

// Guards against grants to servers that are leaving, suspect or gone.
func TestOnlyAliveServersGetWork(t *testing.T) {
	for _, state := range []model.MemberState{model.Suspect, model.Leaving, model.Gone} {
		g := NewWithT(t)
		p, _, out := newPoolWithSharedKey(model.Standard, model.Standard)
		g.Expect(out).To(HaveLen(1))
		p.SetServers(epoch, []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 4, State: state}})
		p.Register(epoch, model.Descriptor{ID: model.RequestID{Instance: "i0", Seq: 9}, Deadline: epoch.Add(time.Minute)})
		g.Expect(p.Take()).To(BeEmpty())
	}
}
