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

// fakeLinks records the instances that the service asks the peers service to connect to.
type fakeLinks struct {
	port.PeerLinks
	instances []model.InstanceID
}

func (l *fakeLinks) SetInstances(list []model.Instance) {
	l.instances = nil
	for _, i := range list {
		l.instances = append(l.instances, i.ID)
	}
}

func newService(t *testing.T, contacts Contacts) (*Service, *fakeLinks) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, l := New(log, Options{Contacts: contacts}), &fakeLinks{}
	s.links = l
	return s, l
}

func expectInstances(t *testing.T, l *fakeLinks, want ...model.InstanceID) {
	t.Helper()
	if !slices.Equal(l.instances, want) {
		t.Errorf("connections to %v, want %v", l.instances, want)
	}
}

// Guards against an instance that never finds a leader which is not among its contacts. A follower
// that it can reach lists the members; they are added and no known one is removed.
func TestMembersThatAFollowerNamesAreAdded(t *testing.T) {
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a", "b"}, nil })
	s.useContacts(time.Now())
	expectInstances(t, l, "a", "b")
	s.handle(time.Now(), port.ControlMembers{Instances: []model.InstanceID{"d", "b"}})
	expectInstances(t, l, "a", "b", "d")
}

// Guards against connections that are kept to instances which have left the control group.
func TestMembersThatTheLeaderNamesReplaceTheOthers(t *testing.T) {
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a", "b"}, nil })
	var published [][]model.InstanceID
	s.SubscribeCore(func(list []model.InstanceID) { published = append(published, list) })
	s.useContacts(time.Now())
	s.handle(time.Now(), port.ControlMembers{FromLeader: true, Instances: []model.InstanceID{"c", "b", "c"}})
	expectInstances(t, l, "b", "c")
	s.handle(time.Now(), port.ControlMembers{FromLeader: true, Instances: []model.InstanceID{"b", "c"}})
	if len(published) != 2 {
		t.Errorf("subscribers were notified %d times, want once for each change", len(published))
	}
}

// Guards against an instance that stays disconnected after all core instances were replaced while it
// had no connection. The settings list the new ones.
func TestContactsAreReadAgainWithoutALeader(t *testing.T) {
	contacts := []model.InstanceID{"a"}
	s, l := newService(t, func() ([]model.InstanceID, error) { return contacts, nil })
	now := time.Now()
	s.useContacts(now)
	s.handle(now, port.ControlMembers{FromLeader: true, Instances: []model.InstanceID{"b"}})
	contacts = []model.InstanceID{"x"}
	s.onTick(now.Add(leaderTimeout - time.Millisecond))
	expectInstances(t, l, "b")
	s.onTick(now.Add(leaderTimeout))
	expectInstances(t, l, "b", "x")
}

// Guards against a settings file that temporarily cannot be read and makes the service drop all
// connections.
func TestUnreadableContactsChangeNothing(t *testing.T) {
	var failure error
	s, l := newService(t, func() ([]model.InstanceID, error) { return []model.InstanceID{"a"}, failure })
	now := time.Now()
	s.useContacts(now)
	failure = errors.New("half written")
	s.onTick(now.Add(leaderTimeout))
	expectInstances(t, l, "a")
}

// Guards against contacts that know no member after a restart, because they are no members themselves and no
// member is connected to them: members follow the contacts also while there is a leader. The subscribers are
// told of the members alone.
func TestMembersStayConnectedToTheContacts(t *testing.T) {
	contacts := []model.InstanceID{"a"}
	s, l := newService(t, func() ([]model.InstanceID, error) { return contacts, nil })
	s.options.KeepContacts = true
	var core []model.InstanceID
	s.SubscribeCore(func(list []model.InstanceID) { core = list })
	now := time.Now()
	s.useContacts(now)
	s.handle(now, port.ControlMembers{FromLeader: true, Instances: []model.InstanceID{"b", "c"}})
	expectInstances(t, l, "a", "b", "c")
	contacts = []model.InstanceID{"x", "y"}
	now = now.Add(contactsInterval)
	s.handle(now, port.ControlMembers{FromLeader: true, Instances: []model.InstanceID{"b", "c"}})
	s.onTick(now)
	expectInstances(t, l, "b", "c", "x", "y")
	if !slices.Equal(core, []model.InstanceID{"b", "c"}) {
		t.Errorf("subscribers were told of %v", core)
	}
}
