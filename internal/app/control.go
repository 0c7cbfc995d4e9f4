package app

import (
	"go.uber.org/fx"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/service/control"
	"briaryard/internal/service/controlclient"
)

// newControlClient returns the client of the control group or, if there is an initial configuration,
// the local service that keeps the control state of a fleet of one.
func (i *Instance) newControlClient(l *event.Log, initial []byte) kernel.Service {
	if initial != nil {
		return controlclient.NewLocal(i.leaseHolder, i.incarnation, initial)
	}
	return controlclient.NewRemote(l, controlclient.RemoteOptions{Voters: i.settings.voters(), ConfirmWithin: i.settings.ConfirmWithin})
}

// voter provides the voter service of the control group if the instance has a data folder.
func (i *Instance) voter() fx.Option {
	if i.settings.DataFolder == "" {
		return fx.Options()
	}
	return fx.Provide(asService(func(l *event.Log) *control.Service {
		return control.New(control.Settings{
			Self: model.InstanceID(i.settings.ID), Folder: i.settings.DataFolder,
			Initial: i.settings.voters(), Limits: state.DefaultLimits(),
		}, control.WireCodecs{}, control.NewSessions(), l)
	}))
}

func (s *Settings) voters() []model.InstanceID {
	out := make([]model.InstanceID, 0, len(s.Voters))
	for _, v := range s.Voters {
		out = append(out, model.InstanceID(v))
	}
	return out
}
