package registry_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/registry"
	"briaryard/internal/model"
)

func coreIDs(n int) (ids []model.InstanceID) {
	for i := range n {
		ids = append(ids, model.InstanceID(fmt.Sprint("core", i)))
	}
	return ids
}

// Guards against instances that all depend on the same core instances, or on one.
func TestSourcesAreSpread(t *testing.T) {
	g := NewWithT(t)
	counts := make(map[model.InstanceID]int)
	const instances = 300
	for i := range instances {
		chosen := registry.ChooseSources(model.InstanceID(fmt.Sprint("entry", i)), nil, coreIDs(10))
		g.Expect(chosen).To(HaveLen(2))
		for _, id := range chosen {
			counts[id]++
		}
	}
	for _, id := range coreIDs(10) {
		g.Expect(counts[id]).To(BeNumerically("~", 2*instances/10, instances/10), string(id))
	}
	g.Expect(registry.ChooseSources("entry", nil, coreIDs(3))).To(HaveLen(3), "a small control group sends to all")
	g.Expect(registry.ChooseSources("entry", nil, nil)).To(BeEmpty())
}

// Guards against an instance without a source while one can be reached, and against one that changes its
// sources with every core instance that comes and goes.
func TestSourcesAreReplacedOnlyWhenTheyAreLost(t *testing.T) {
	g := NewWithT(t)
	all := coreIDs(6)
	chosen := registry.ChooseSources("entry", nil, all)
	without := slices.DeleteFunc(slices.Clone(all), func(id model.InstanceID) bool { return id == chosen[0] })
	next := registry.ChooseSources("entry", chosen, without)
	g.Expect(next).To(HaveLen(2))
	g.Expect(next).To(ContainElement(chosen[1]))
	g.Expect(next).NotTo(ContainElement(chosen[0]))
	g.Expect(registry.ChooseSources("entry", next, all)).To(Equal(next), "the lost one is back")
}
