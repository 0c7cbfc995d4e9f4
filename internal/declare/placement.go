package declare

import (
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// basePlacement returns the values of fields that the section does not set. One load at a time
// never overloads a weight store, engines that return within 10 s need no replacement, and a
// model that moves at most every 10 minutes adds little load to the store.
func basePlacement() model.Placement {
	return model.Placement{LoadsAtOnce: 1, ModelsPerEngine: 1, Settle: 10 * time.Second, Hold: 10 * time.Minute}
}

// placement reads the section that enables placement. It must run after pools and exceptions,
// against which the section is checked.
func (b *builder) placement(n *node) {
	if n == nil {
		return
	}
	p := basePlacement()
	if !isNull(n) {
		readFields(b, n, "placement", placementFields, &p)
	}
	placed := 0
	for _, id := range slices.Sorted(maps.Keys(b.config.Pools)) {
		pool := b.config.Pools[id]
		if !pool.Placed() {
			continue
		}
		placed++
		if p.BytesPerSecond > 0 && pool.WeightBytes == 0 {
			b.faults.addAt(n, "placement.bytes_per_second", "needs weight_bytes of pool %s", id)
		}
	}
	if placed == 0 {
		b.faults.addAt(n, "placement", "no pool of kind engine has servers_per_domain")
	}
	b.config.Placement = &p
}

// adapters reads the adapters that each engine of a pool loads.
func (b *builder) adapters(n *node, path string, pool *model.Pool) {
	for _, item := range b.poolItems(n, path, "adapters", pool, model.EngineServer) {
		name, ok := readText(item)
		switch {
		case !ok || !validName(name):
			b.faults.addAt(item, path, "want names of 1 to %d characters without spaces, quotes, / or |", maxNameLength)
		case slices.Contains(pool.Adapters, name):
			b.faults.addAt(item, path, "%q is listed twice", name)
		default:
			pool.Adapters = append(pool.Adapters, name)
		}
	}
}
