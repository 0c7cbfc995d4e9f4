package controlclient_test

import (
	"testing"

	"briaryard/internal/decide/state"
	"briaryard/internal/port"
)

// restart runs a process of the instance until use returns, then another one that the control group does not
// answer. deliver passes the answers that the first process got on to the second one.
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

// Guards against an answer to a heartbeat of an earlier process that confirms the configuration in force, from the
// time of a heartbeat that nobody has answered.
func TestAnAnswerToAnEarlierProcessConfirmsNothing(t *testing.T) {
	second, deliver := restart(t, func(c *client) {
		apply := state.ReplaceConfig{Number: 1, Content: []byte("x")}
		if err := c.Do(apply, func(port.ControlReply) {}); err != nil {
			t.Fatal(err)
		}
		receive(t, c.configs, func(state.AcceptedConfig) bool { return true })
		c.ConfirmConfig(1)
		receive(t, c.confirmed, func(ok bool) bool { return ok })
	})
	second.ConfirmConfig(1)
	answers := make(chan port.ControlReply, 1)
	// The command ends unanswered after 2 s, by when the second process has sent several heartbeats.
	if err := second.Do(state.ReadConfig{}, func(r port.ControlReply) { answers <- r }); err != nil {
		t.Fatal(err)
	}
	receive(t, answers, anyReply)
	deliver()
	second.stop()
	close(second.confirmed)
	for ok := range second.confirmed {
		if ok {
			t.Fatal("an answer to a heartbeat of an earlier process confirmed the configuration")
		}
	}
}
