package routes

import (
	"io"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// fakeControl decodes any content but "bad", and records confirmations.
type fakeControl struct {
	port.ControlClient
	confirmed []model.Revision
}

func (p *fakeControl) ConfirmConfig(r model.Revision) { p.confirmed = append(p.confirmed, r) }

func (p *fakeControl) DecodeDocument(content []byte) (*model.Document, error) {
	if string(content) == "bad" {
		return nil, errors.New("unreadable")
	}
	return &model.Document{}, nil
}

func newService(t *testing.T) (*Service, *fakeControl, *[]port.View) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, p, views := New(log, metric.NewSet()), &fakeControl{}, &[]port.View{}
	s.control, s.codec = p, p
	s.SubscribeViews(func(v port.View) { *views = append(*views, v) })
	return s, p, views
}

func accepted(r model.Revision, content string) state.AcceptedConfig {
	return state.AcceptedConfig{Revision: r, Content: []byte(content)}
}

// Guards against an instance that returns to an older configuration after a newer one was in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s, _, views := newService(t)
	now := time.Now()
	for _, r := range []model.Revision{2, 5, 3, 5, 1} {
		s.handle(now, accepted(r, "x"))
	}
	s.handle(now, port.ConfigAsOf{Revision: 3, At: now})
	last := model.Revision(0)
	for _, v := range *views {
		if v.Table.Revision() < last {
			t.Errorf("revision %d came after %d", v.Table.Revision(), last)
		}
		last = v.Table.Revision()
	}
	if last != 5 {
		t.Errorf("revision %d is in force, want 5", last)
	}
}

// Guards against an instance that accepts keys of an old configuration forever because it cannot
// decode the new one: it must neither confirm the new one nor treat the old one as current.
func TestUnreadableConfigurationIsNotConfirmed(t *testing.T) {
	s, p, views := newService(t)
	now := time.Now()
	s.handle(now, accepted(1, "x"))
	s.handle(now, port.ConfigAsOf{Revision: 1, At: now})
	s.handle(now, accepted(2, "bad"))
	s.handle(now, port.ConfigAsOf{Revision: 2, At: now.Add(time.Second)})
	if len(p.confirmed) != 1 || p.confirmed[0] != 1 {
		t.Errorf("confirmed revisions %v, want only 1", p.confirmed)
	}
	if v := (*views)[len(*views)-1]; v.Table.Revision() != 1 || !v.AsOf.Equal(now) {
		t.Errorf("revision %d is current as of %v, want revision 1 as of its last confirmation", v.Table.Revision(), v.AsOf)
	}
}

// Guards against a confirmation that arrives before its configuration and is counted for the
// previous one.
func TestConfirmationCountsForItsOwnRevision(t *testing.T) {
	s, _, views := newService(t)
	now := time.Now()
	s.handle(now, accepted(1, "x"))
	s.handle(now, port.ConfigAsOf{Revision: 2, At: now})
	if v := (*views)[len(*views)-1]; !v.AsOf.IsZero() {
		t.Error("revision 1 is confirmed by the confirmation of revision 2")
	}
	s.handle(now, accepted(2, "y"))
	if v := (*views)[len(*views)-1]; v.Table.Revision() != 2 || !v.AsOf.Equal(now) {
		t.Errorf("revision %d as of %v, want revision 2 as of its confirmation", v.Table.Revision(), v.AsOf)
	}
}
