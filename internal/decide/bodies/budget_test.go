package bodies_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briaryard/internal/decide/bodies"
)

const mib = 1 << 20

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func fits(b *bodies.Budget, now time.Duration, r bodies.Request) bool {
	ok, _ := b.Reserve(at(now), r)
	return ok
}

// fill reserves bodies of 4 MiB until one is refused, and returns their number.
func fill(b *bodies.Budget, urgent bool) (n int) {
	for fits(b, 0, bodies.Request{Bytes: 4 * mib, Urgent: urgent}) {
		n++
	}
	return n
}

// Guards against a burst of long bodies at twice the budget that takes the process over its memory.
func TestABurstOfLongBodiesStaysWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := bodies.NewBudget(60 * mib)
	g.Expect(fill(b, true)).To(Equal(13))
	g.Expect(b.Used()).To(BeNumerically("<=", b.Total()))
	b.Release(at(time.Second), 4*mib)
	g.Expect(fits(b, time.Second, bodies.Request{Bytes: 4 * mib, Urgent: true})).To(BeTrue())
}

// Guards against a few huge bodies that shut out the many small ones.
func TestFewHugeBodiesLeaveRoomForManySmallOnes(t *testing.T) {
	g := NewWithT(t)
	b := bodies.NewBudget(60 * mib)
	fill(b, true)
	for range 90 {
		g.Expect(fits(b, 0, bodies.Request{Bytes: 64 << 10})).To(BeTrue())
	}
}

// Guards against urgent requests that are shut out by the long bodies of less urgent ones.
func TestLongBodiesOfLessUrgentRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	g := NewWithT(t)
	b := bodies.NewBudget(60 * mib)
	g.Expect(fill(b, false)).To(Equal(10))
	g.Expect(fill(b, true)).To(Equal(3))
	g.Expect(fits(b, 0, bodies.Request{Bytes: 4 * mib})).To(BeFalse())
}

// Guards against a body of unknown length that grows beyond what a long body may use, in small steps.
func TestABodyOfUnknownLengthCountsAsAWhole(t *testing.T) {
	g := NewWithT(t)
	b := bodies.NewBudget(8 * mib)
	held := int64(0)
	for fits(b, 0, bodies.Request{Bytes: 32 << 10, Held: held}) {
		held += 32 << 10
	}
	g.Expect(held).To(BeNumerically("<=", 8*mib*7/10))
	g.Expect(fits(b, 0, bodies.Request{Bytes: 32 << 10})).To(BeTrue(), "another small one")
}

// Guards against refused callers that come again before there can be room, or long after.
func TestRefusedCallersComeAgainWhenBytesHaveComeFree(t *testing.T) {
	g := NewWithT(t)
	b := bodies.NewBudget(60 * mib)
	fill(b, true)
	refuse := func(now time.Duration, bytes int64) time.Duration {
		ok, wait := b.Reserve(at(now), bodies.Request{Bytes: bytes, Urgent: true})
		g.Expect(ok).To(BeFalse())
		return wait
	}
	g.Expect(refuse(0, 4*mib)).To(Equal(time.Second), "nothing has come free yet")
	// 4 MiB come free each 200 ms and are taken again at once.
	for n := range 20 {
		now := time.Duration(n) * 200 * time.Millisecond
		b.Release(at(now), 4*mib)
		g.Expect(fits(b, now, bodies.Request{Bytes: 4 * mib, Urgent: true})).To(BeTrue())
	}
	g.Expect(refuse(4*time.Second, 4*mib)).To(BeNumerically("~", 200*time.Millisecond, 120*time.Millisecond))
	g.Expect(refuse(time.Minute, 4*mib)).To(Equal(time.Second), "nothing came free lately")
}

// Guards against bytes that stay reserved or are freed twice, whatever the order of reservations and releases.
func TestTheBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bodies.NewBudget(10 * mib)
		var held []int64
		sum := int64(0)
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := at(time.Duration(n) * 10 * time.Millisecond)
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				b.Release(now, held[0])
				sum -= held[0]
				held = held[1:]
				continue
			}
			bytes := rapid.Int64Range(1, 5*mib).Draw(t, "bytes")
			ok, wait := b.Reserve(now, bodies.Request{Bytes: bytes, Urgent: rapid.Bool().Draw(t, "urgent")})
			if ok {
				held, sum = append(held, bytes), sum+bytes
			} else if wait <= 0 {
				t.Fatalf("refused without a time to come again")
			}
			if b.Used() != sum || sum > b.Total() {
				t.Fatalf("%d bytes used, %d reserved of %d", b.Used(), sum, b.Total())
			}
		}
	})
}
