package topology

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// links records the instances that the service asks for.
type links struct {
	port.PeerLinks
	want []model.InstanceID
}

func (l *links) SetInstances(list []model.Instance) {
	l.want = nil
	for _, i := range list {
		l.want = append(l.want, i.ID)
	}
}

func newService(t *testing.T, contacts Contacts) (*Service, *links) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, l := New(log, contacts), &links{}
	s.links = l
	return s, l
}

func expect(t *testing.T, l *links, want ...model.InstanceID) {
	t.Helper()
	if !slices.Equal(l.want, want) {
		t.Errorf("connections to %v, want %v", l.want, want)
	}
}

// Guards against an instance that never finds a leader which none of its contacts names: a follower
// that it can reach names the members, and none of the known ones is dropped for that.
func TestMembersThatAFollowerNamesAreAdded(t *testing.T) {
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a", "b"}, nil })
	s.useContacts(time.Now())
	expect(t, l, "a", "b")
	s.handle(time.Now(), port.ControlMembers{Instances: []model.InstanceID{"d", "b"}})
	expect(t, l, "a", "b", "d")
}

// Guards against connections to instances that left the control group for good.
func TestMembersThatTheLeaderNamesReplaceTheOthers(t *testing.T) {
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a", "b"}, nil })
	var told [][]model.InstanceID
	s.SubscribeCore(func(list []model.InstanceID) { told = append(told, list) })
	s.useContacts(time.Now())
	s.handle(time.Now(), port.ControlMembers{Certain: true, Instances: []model.InstanceID{"c", "b", "c"}})
	expect(t, l, "b", "c")
	s.handle(time.Now(), port.ControlMembers{Certain: true, Instances: []model.InstanceID{"b", "c"}})
	if len(told) != 2 {
		t.Errorf("subscribers were told %d times, want once for each change", len(told))
	}
}

// Guards against an instance that stays cut off after all core instances were replaced while it was
// away: the settings name the new ones.
func TestContactsAreReadAgainWithoutALeader(t *testing.T) {
	contacts := []model.InstanceID{"a"}
	s, l := newService(t, func() ([]model.InstanceID, error) { return contacts, nil })
	now := time.Now()
	s.useContacts(now)
	s.handle(now, port.ControlMembers{Certain: true, Instances: []model.InstanceID{"b"}})
	contacts = []model.InstanceID{"x"}
	s.onTick(now.Add(leaderLost - time.Millisecond))
	expect(t, l, "b")
	s.onTick(now.Add(leaderLost))
	expect(t, l, "b", "x")
}

// Guards against a settings file that cannot be read for a moment and takes all connections away.
func TestUnreadableContactsChangeNothing(t *testing.T) {
	var failure error
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a"}, failure })
	now := time.Now()
	s.useContacts(now)
	failure = errors.New("half written")
	s.onTick(now.Add(leaderLost))
	expect(t, l, "a")
}
