package entry

import (
	"testing"

	decide "briaryard/internal/decide/entry"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// fakeDispatch records the states that are sent to a dispatcher.
type fakeDispatch struct {
	port.Dispatch
	states []port.EntryState
}

func (a *fakeDispatch) Resync(s port.EntryState) { a.states = append(a.states, s) }

// Guards against a lost grant that the dispatcher counts as in transit forever, and against
// sending a state although the digests are equal.
func TestStateNamesTheGrantsThatWereSentBefore(t *testing.T) {
	out := &fakeDispatch{}
	s := New(nil, nil)
	s.dispatch, s.machine = out, decide.New("i1")
	s.lastGrants["m"] = grantPosition{epoch: 4, sequence: 9}
	for _, c := range []struct {
		request port.StateRequest
		want    grantPosition
	}{
		{port.StateRequest{Pool: "m"}, grantPosition{4, 9}},
		{port.StateRequest{Pool: "m", Epoch: 4, Sequence: 7}, grantPosition{4, 9}},
		{port.StateRequest{Pool: "m", Epoch: 4, Sequence: 12}, grantPosition{4, 12}},
		{port.StateRequest{Pool: "m", Epoch: 5, Sequence: 1}, grantPosition{5, 1}},
		{port.StateRequest{Pool: "m", Epoch: 5, Sequence: 2, Compare: true, Digest: 77}, grantPosition{5, 2}},
	} {
		out.states = nil
		s.sendState(c.request)
		if len(out.states) != 1 || (grantPosition{out.states[0].Epoch, out.states[0].Sequence}) != c.want {
			t.Fatalf("request %+v is answered with %+v, want the grant position %+v", c.request, out.states, c.want)
		}
	}
	out.states = nil
	var none model.RequestDigest
	s.sendState(port.StateRequest{Pool: "m", Epoch: 5, Sequence: 2, Compare: true, Digest: none})
	if len(out.states) != 0 {
		t.Fatalf("a comparison with equal digests is answered with %+v, want no answer", out.states)
	}
}
