package entry

import (
	"testing"

	decide "briaryard/internal/decide/entry"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// answers records the states that are sent to a dispatcher.
type answers struct {
	port.Dispatch
	states []port.EntryState
}

func (a *answers) Resync(s port.EntryState) { a.states = append(a.states, s) }

// Guards against a lost grant that the dispatcher keeps counting as on its way, and against a
// state that is sent although nothing differs.
func TestStateNamesTheGrantsThatWereSentBefore(t *testing.T) {
	out := &answers{}
	s := New(nil, nil)
	s.dispatch, s.machine = out, decide.New("i1")
	s.seen["m"] = grantMark{epoch: 4, sequence: 9}
	for _, c := range []struct {
		request port.StateRequest
		want    grantMark
	}{
		{port.StateRequest{Pool: "m"}, grantMark{4, 9}},
		{port.StateRequest{Pool: "m", Epoch: 4, Sequence: 7}, grantMark{4, 9}},
		{port.StateRequest{Pool: "m", Epoch: 4, Sequence: 12}, grantMark{4, 12}},
		{port.StateRequest{Pool: "m", Epoch: 5, Sequence: 1}, grantMark{5, 1}},
		{port.StateRequest{Pool: "m", Epoch: 5, Sequence: 2, Compare: true, Digest: 77}, grantMark{5, 2}},
	} {
		out.states = nil
		s.sendState(c.request)
		if len(out.states) != 1 || (grantMark{out.states[0].Epoch, out.states[0].Sequence}) != c.want {
			t.Fatalf("%+v is answered with %+v, want the mark %+v", c.request, out.states, c.want)
		}
	}
	out.states = nil
	var none model.RequestDigest
	s.sendState(port.StateRequest{Pool: "m", Epoch: 5, Sequence: 2, Compare: true, Digest: none})
	if len(out.states) != 0 {
		t.Fatalf("equal digests are answered with %+v", out.states)
	}
}
