package controlclient_test

import (
	"testing"

	"briaryard/internal/decide/state"
	"briaryard/internal/port"
)

// restart runs a process of the instance until use returns, then another one that the control group does not
// answer. It passes the answers that the first process got to the second one as well.
func restart(t *testing.T, use func(*client)) (second *client, deliver func()) {
	t.Helper()
	v := &fakeVoters{}
	first := startClient(t, v)
	var late []port.PeerMessage
	toFirst := v.sink
	v.mu.Lock()
	v.sink = func(m port.PeerMessage) error {
		late = append(late, m)
		return toFirst(m)
	}
	v.mu.Unlock()
	use(first)
	first.stop()
	w := &fakeVoters{silent: true}
	second = startClient(t, w)
	return second, func() {
		for _, m := range late {
			if err := w.sink(m); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against an answer to a command of an earlier process that is taken for the answer to another command: a
// change was acknowledged that no member of the control group had received (review/6).
func TestAnAnswerToAnEarlierProcessAnswersNoCommand(t *testing.T) {
	earlier := state.ReplaceConfig{Number: 1, Content: []byte("x")}
	second, deliver := restart(t, func(c *client) {
		replies := make(chan port.ControlReply, 1)
		if err := c.Do(earlier, func(r port.ControlReply) { replies <- r }); err != nil {
			t.Fatal(err)
		}
		receive(t, replies, anyReply)
	})
	replies := make(chan port.ControlReply, 1)
	if err := second.Do(state.ReplaceConfig{Number: 3, Content: []byte("y")}, func(r port.ControlReply) { replies <- r }); err != nil {
		t.Fatal(err)
	}
	deliver()
	if r := receive(t, replies, anyReply); r.Err == nil {
		t.Fatalf("answered with %+v, although no member has received the change", r.Result)
	}
}
