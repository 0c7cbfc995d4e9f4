package hold_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/hold"
	"briaryard/internal/model"
)

var start = time.Unix(1000, 0)

func barred(t *hold.Table, at time.Duration, incarnation model.Incarnation) bool {
	_, ok := t.Lookup(start.Add(at), "s", incarnation)
	return ok
}

// Guards against requests to a server that has said that it wants none for a while.
func TestAHoldLastsAsLongAsTheServerAskedFor(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	g.Expect(table.Apply(start, model.ServerNotice{Server: "s", Incarnation: 1, HoldFor: 2 * time.Second})).To(BeTrue())
	g.Expect(barred(table, 1999*time.Millisecond, 1)).To(BeTrue())
	g.Expect(barred(table, 2*time.Second, 1)).To(BeFalse())
	g.Expect(table.Apply(start.Add(time.Second), model.ServerNotice{Server: "s", Incarnation: 1, HoldFor: 100 * time.Millisecond})).To(BeFalse(), "a shorter one does not end the first")
	g.Expect(barred(table, 1500*time.Millisecond, 1)).To(BeTrue())
}

// Guards against a server that is used again after it said that it leaves, and against a new incarnation,
// or an earlier one's late word, that changes the other.
func TestLeavingEndsWithTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	table.Apply(start, model.ServerNotice{Server: "s", Incarnation: 5, Leaving: true})
	g.Expect(table.Apply(start, model.ServerNotice{Server: "s", Incarnation: 5, HoldFor: time.Second})).To(BeFalse())
	g.Expect(barred(table, time.Hour, 5)).To(BeTrue())
	g.Expect(barred(table, 0, 6)).To(BeFalse(), "a later incarnation")
	table.Apply(start, model.ServerNotice{Server: "s", Incarnation: 6, HoldFor: time.Second})
	g.Expect(table.Apply(start, model.ServerNotice{Server: "s", Incarnation: 5, Leaving: true})).To(BeFalse(), "a late word")
	g.Expect(barred(table, 0, 6)).To(BeTrue())
	g.Expect(barred(table, 2*time.Second, 6)).To(BeFalse())
}

// Guards against a table that grows with every server that there ever was.
func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	for i := range 6000 {
		n := model.ServerNotice{Server: model.BackendServerID(fmt.Sprint(i)), Incarnation: 1, Leaving: i%2 == 0, HoldFor: time.Second}
		table.Apply(start.Add(time.Duration(i)*time.Millisecond), n)
	}
	notices := table.Notices(start.Add(6 * time.Second))
	g.Expect(len(notices)).To(BeNumerically("<=", 4096))
	g.Expect(len(notices)).To(BeNumerically(">=", 3000))
}

func limit(t *hold.Table, at time.Duration, incarnation model.Incarnation) float64 {
	n, _ := t.Limit(start.Add(at), "s", incarnation)
	return n
}

func named(n float64) model.ServerNotice {
	return model.ServerNotice{Server: "s", Incarnation: 1, Limit: n}
}

// Guards against a limit that is forgotten while the server names it, and against one that holds for good
// although nothing is known of the server any more.
func TestALimitHoldsWhileItIsNamed(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	g.Expect(table.Apply(start, named(2))).To(BeTrue())
	g.Expect(limit(table, 0, 1)).To(Equal(2.0))
	g.Expect(table.Apply(start.Add(time.Second), named(2))).To(BeFalse(), "no news")
	g.Expect(table.Apply(start.Add(3*time.Second), named(2))).To(BeTrue(), "due to be passed on again")
	g.Expect(table.Apply(start.Add(4*time.Second), named(3))).To(BeTrue())
	g.Expect(limit(table, 13999*time.Millisecond, 1)).To(Equal(3.0))
	g.Expect(limit(table, 14*time.Second, 1)).To(BeZero())
	g.Expect(limit(table, 5*time.Second, 2)).To(BeZero(), "another incarnation")
	_, barred := table.Lookup(start.Add(5*time.Second), "s", 1)
	g.Expect(barred).To(BeFalse(), "a limit bars nothing")
	g.Expect(table.Notices(start.Add(5 * time.Second))).To(Equal([]model.ServerNotice{named(3)}))
}

// Guards against a small limit that is forgotten between two of the requests that it allows.
func TestASmallLimitHoldsLonger(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	table.Apply(start, named(0.1))
	g.Expect(limit(table, 29*time.Second, 1)).To(Equal(0.1))
	g.Expect(limit(table, 30*time.Second, 1)).To(BeZero())
}

// Guards against a limit that is ended by an answer to an earlier request, which only arrives late, and by
// a word about something else.
func TestOnlyAnAnswerToALaterRequestEndsALimit(t *testing.T) {
	g := NewWithT(t)
	table := hold.NewTable()
	table.Apply(start.Add(time.Second), named(2))
	ended := model.ServerNotice{Server: "s", Incarnation: 1, LimitEnded: true, SentAt: start.Add(999 * time.Millisecond)}
	g.Expect(table.Apply(start.Add(2*time.Second), ended)).To(BeFalse())
	g.Expect(limit(table, 2*time.Second, 1)).To(Equal(2.0))
	table.Apply(start.Add(2*time.Second), model.ServerNotice{Server: "s", Incarnation: 1, HoldFor: time.Second})
	g.Expect(limit(table, 2*time.Second, 1)).To(Equal(2.0))
	ended.SentAt = start.Add(time.Second)
	g.Expect(table.Apply(start.Add(2*time.Second), ended)).To(BeTrue())
	g.Expect(limit(table, 2*time.Second, 1)).To(BeZero())
	g.Expect(barred(table, 2*time.Second, 1)).To(BeTrue(), "the hold goes on")
}
