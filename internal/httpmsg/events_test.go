package httpmsg_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/httpmsg"
)

const maxEvent = 16 << 10

// Guards against a stream that uses up the memory of an instance: a server sent bytes without the end
// of an event until the connection was closed.
func TestAnEventWithoutAnEndIsBounded(t *testing.T) {
	g := NewWithT(t)
	e := httpmsg.NewEventSplitter(maxEvent)
	piece := bytes.Repeat([]byte("x"), 1000)
	var err error
	fed := 0
	for ; err == nil && fed < 10*maxEvent; fed += len(piece) {
		_, _, err = e.Feed(piece)
	}
	var tooLong *httpmsg.EventTooLongError
	g.Expect(errors.As(err, &tooLong)).To(BeTrue(), "%v after %d bytes", err, fed)
	g.Expect(fed).To(BeNumerically("<=", maxEvent+len(piece)))
	g.Expect(e.PendingBytes()).To(BeNumerically("<=", maxEvent))
}

// Guards against the complete events before an event that is too long being dropped, and against an
// event of exactly the bound being refused.
func TestEventsUpToTheBoundPass(t *testing.T) {
	g := NewWithT(t)
	whole := "id: 1\ndata: " + strings.Repeat("y", maxEvent-len("id: 1\ndata: \n\n")) + "\n\n"
	e := httpmsg.NewEventSplitter(maxEvent)
	data, n, err := e.Feed([]byte(whole))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(1))
	g.Expect(string(data)).To(Equal(whole))
	data, n, err = e.Feed([]byte("id: 2\n\nid: 3\ndata: " + strings.Repeat("z", maxEvent)))
	g.Expect(err).To(HaveOccurred())
	g.Expect(n).To(Equal(1))
	g.Expect(string(data)).To(Equal("id: 2\n\n"))
}

// Guards against the end of an event being missed where its bytes arrive one at a time.
func TestEventsInSingleBytes(t *testing.T) {
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		g := NewWithT(t)
		e := httpmsg.NewEventSplitter(maxEvent)
		stream := "id: 1" + blank + "id: 2" + blank
		var got []byte
		count := 0
		for i := range len(stream) {
			data, n, err := e.Feed([]byte{stream[i]})
			g.Expect(err).NotTo(HaveOccurred())
			got, count = append(got, data...), count+n
		}
		g.Expect(string(got)).To(Equal(stream))
		g.Expect(count).To(Equal(2))
		g.Expect(e.LastID()).To(Equal("2"))
	}
}

// BenchmarkTrickle measures an event that arrives in single bytes: its cost per byte must not grow with
// the bytes that are pending.
func BenchmarkTrickle(b *testing.B) {
	for b.Loop() {
		e := httpmsg.NewEventSplitter(maxEvent)
		for range maxEvent {
			if _, _, err := e.Feed([]byte("x")); err != nil {
				b.Fatal(err)
			}
		}
	}
}
