package referral_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/referral"
	"briaryard/internal/model"
)

func ids(names ...model.InstanceID) []model.InstanceID { return names }

// Guards against a process that knows only an instance without a disk and never learns of a member, and
// against members that are named although the leader lists them no more.
func TestDirectoryNamesTheMembersThatItHasLearnt(t *testing.T) {
	g := NewWithT(t)
	d := referral.NewDirectory()
	g.Expect(d.Members()).To(BeEmpty())
	d.SetConnected(&model.Instance{ID: "entry"}, true)
	g.Expect(d.Members()).To(BeEmpty(), "an entry instance is no member")
	d.SetConnected(&model.Instance{ID: "m2", Voter: true}, true)
	g.Expect(d.Members()).To(Equal(ids("m2")))
	d.AddList(ids("m3", "m1", "m2"))
	g.Expect(d.Members()).To(Equal(ids("m1", "m2", "m3")))
	d.SetList(ids("m4", "m1"))
	g.Expect(d.Members()).To(Equal(ids("m1", "m2", "m4")), "m3 has left, m2 is connected")
	d.SetConnected(&model.Instance{ID: "m2", Voter: true}, false)
	g.Expect(d.Members()).To(Equal(ids("m1", "m4")))
}

// Guards against memory that lists without an end use up.
func TestDirectoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	d := referral.NewDirectory()
	for n := range 1000 {
		d.AddList(ids(model.InstanceID(fmt.Sprint("m", n))))
	}
	g.Expect(len(d.Members())).To(BeNumerically("<=", 64))
}
