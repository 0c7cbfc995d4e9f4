package placement_test

import (
	"fmt"
	"testing"
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

// BenchmarkStep measures a step at the design size (600 engines, 4 models, 5 failure domains)
// while each domain lacks an engine for one model and another model would have to be unloaded.
func BenchmarkStep(b *testing.B) {
	c := testConfig()
	c.Pools = make(map[model.PoolID]model.Pool)
	for p := range 4 {
		id := model.PoolID(fmt.Sprintf("m%d", p))
		c.Pools[id] = model.Pool{ID: id, ServersPerDomain: 29}
	}
	pool := c.Pools["m0"]
	pool.ServersPerDomain = 31
	c.Pools["m0"] = pool
	var servers []model.BackendServer
	for n := range 600 {
		s := newEngine(model.BackendServerID(fmt.Sprintf("e%03d", n)), false, model.PoolID(fmt.Sprintf("m%d", n/5%4)))
		s.Domain = model.FailureDomain(fmt.Sprintf("d%d", n%5))
		servers = append(servers, s)
	}
	m := placement.New(options)
	m.SetConfig(c)
	m.SetServers(start, servers)
	m.SetLease(start, placement.Lease{Held: true, Epoch: 1, Until: start.Add(time.Hour)})
	b.ReportAllocs()
	for b.Loop() {
		m.Step(start.Add(time.Minute))
		m.Take()
	}
}
