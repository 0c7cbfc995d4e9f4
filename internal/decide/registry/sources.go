package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briaryard/internal/model"
)

const (
	// recordSources is the number of core instances that send an instance the records of backend servers.
	// With all of them, each change would arrive in as many copies; with one, a change would be missed for
	// as long as that one is silent without being noticed.
	recordSources = 2
	// maxAllSources is the number of core instances up to which all are sources.
	maxAllSources = 3
)

// ChooseSources returns the core instances that are to send records to an instance, sorted by id, from
// those that it can reach. Current ones stay as long as they can be reached, so that a source that comes
// back is not sent for at once. The others are chosen by a hash, which spreads the instances evenly.
func ChooseSources(self model.InstanceID, current, reachable []model.InstanceID) []model.InstanceID {
	if len(reachable) <= maxAllSources {
		return slices.Sorted(slices.Values(reachable))
	}
	kept := slices.DeleteFunc(slices.Clone(current), func(id model.InstanceID) bool { return !slices.Contains(reachable, id) })
	kept = kept[:min(len(kept), recordSources)]
	rest := slices.DeleteFunc(slices.Clone(reachable), func(id model.InstanceID) bool { return slices.Contains(kept, id) })
	slices.SortFunc(rest, func(a, b model.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(self, a), weight(self, b)), cmp.Compare(a, b))
	})
	chosen := slices.Concat(kept, rest[:min(len(rest), recordSources-len(kept))])
	slices.Sort(chosen)
	return chosen
}

// weight returns the rendezvous hash of an instance and a source.
func weight(self, source model.InstanceID) uint64 {
	return xxhash.Sum64String(string(self) + "|" + string(source))
}
