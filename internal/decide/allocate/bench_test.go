package allocate_test

import (
	"fmt"
	"testing"
	"time"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/registry"
	"briaryard/internal/model"
)

// BenchmarkServersChanged measures what an instance that takes requests spends on a change of one record
// in a fleet with thousands of servers: the merge, the complete list and its partition of the slots.
func BenchmarkServersChanged(b *testing.B) {
	for _, servers := range []int{120, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := registry.New(false)
			m := allocate.New("i", allotment.Tolerance{})
			m.SetDocument(start, &model.RouteConfig{Services: map[model.PoolID]model.RoutedService{"s": {ID: "s", Engine: &model.EngineLimits{Slots: 5}}}})
			m.SetInstances(start, "i", []model.InstanceID{"h", "i", "j"})
			record := func(n int, sequence uint64, state model.MemberState) model.BackendServer {
				return model.BackendServer{
					ID: model.BackendServerID(fmt.Sprint("s", n)), Incarnation: 1, Sequence: sequence, State: state,
					Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), Pools: []model.PoolID{"s"}, Slots: 5,
				}
			}
			for n := range servers {
				r.Receive(start, record(n, 1, model.Alive))
			}
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				state := model.Alive
				if sequence%2 == 0 {
					state = model.Suspect
				}
				r.Receive(start, record(int(sequence)%servers, sequence, state))
				m.SetServers(start.Add(time.Second), r.All())
			}
		})
	}
}
