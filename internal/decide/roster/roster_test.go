package roster_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/roster"
	"briaryard/internal/model"
)

func entry(id string, sequence uint64, ready bool) roster.Entry {
	return roster.Entry{Instance: model.InstanceID(id), Incarnation: 1, Sequence: sequence, Address: id + ":80", Domain: "d1", Ready: ready}
}

// Guards against directing callers to an instance that is stopping or has died, also if an older entry of
// it arrives last.
func TestOnlyInstancesThatAreReadyAndHeardAreListed(t *testing.T) {
	g := NewWithT(t)
	i := roster.NewInstances()
	g.Expect(i.Set(entry("a", 1, true))).To(BeFalse(), "not connected yet")
	g.Expect(i.Connected("a", true)).To(BeTrue())
	g.Expect(i.List()).To(HaveLen(1))
	g.Expect(i.Set(entry("a", 3, false))).To(BeTrue())
	g.Expect(i.Set(entry("a", 2, true))).To(BeFalse())
	g.Expect(i.List()).To(BeEmpty())
	i.Set(entry("a", 4, true))
	g.Expect(i.Connected("a", false)).To(BeTrue())
	g.Expect(i.List()).To(BeEmpty())
}

// Guards against an empty list on an instance that is disconnected from all core instances, and against
// using the list of a disconnected core instance while another one is connected.
func TestListsOutliveTheCoreInstances(t *testing.T) {
	g := NewWithT(t)
	l := roster.NewLists()
	l.Set("core1", []roster.Entry{entry("a", 1, true), entry("b", 1, true)})
	l.Set("core2", []roster.Entry{entry("a", 1, true)})
	g.Expect(l.All()).To(HaveLen(2))
	l.Connected("core1", false)
	g.Expect(l.All()).To(HaveLen(1))
	l.Connected("core2", false)
	g.Expect(l.All()).To(HaveLen(1))
}

// Guards against unnecessary traffic between failure domains, and against giving a caller a single
// address, whose instance may fail.
func TestCallersGetAddressesOfTheirDomain(t *testing.T) {
	g := NewWithT(t)
	l := roster.NewLists()
	far, alone := entry("c", 1, true), entry("e", 1, true)
	far.Domain, alone.Domain = "d2", "d3"
	l.Set("core1", []roster.Entry{entry("a", 1, true), entry("b", 1, true), far, alone})
	g.Expect(l.For("d1", 64)).To(ConsistOf("a:80", "b:80"))
	g.Expect(l.For("d3", 64)).To(HaveLen(4))
	g.Expect(l.For("d9", 2)).To(HaveLen(2))
}
