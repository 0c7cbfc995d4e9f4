package routing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/routing"
	"briaryard/internal/model"
)

func table() *routing.Table {
	return routing.New(&model.Document{
		Revision: 3,
		Routes: []model.HTTPRoute{
			{Name: "all", Host: "a.example", Prefix: "/", Public: true},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Teams: []model.RoutedTeam{{ID: "t1", Keys: []string{"k1", "k2"}}, {ID: "t2", Keys: []string{"k3"}}},
	})
}

// Guards against matching the route of a shorter prefix or of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"A.example:80", "/x/z", "short"}, {"a.example", "/x", "all"},
		{"b.example", "/x/", "other"}, {"b.example", "/z/", ""}, {"c.example", "/x/", ""},
	} {
		r, ok := table().Route(c.host, c.path)
		g.Expect(ok).To(Equal(c.want != ""), c.host+c.path)
		if ok {
			g.Expect(r.Name).To(Equal(c.want))
		}
	}
}

// Guards against accepting an unknown key, and against assigning a key to another team.
func TestKeysNameTheirTeam(t *testing.T) {
	g := NewWithT(t)
	tab := table()
	team, ok := tab.Team("k2")
	g.Expect(ok).To(BeTrue())
	g.Expect(team.ID).To(Equal(model.TeamID("t1")))
	_, ok = tab.Team("")
	g.Expect(ok).To(BeFalse())
	public, _ := tab.Route("a.example", "/")
	keyed, _ := tab.Route("a.example", "/x/")
	g.Expect(tab.NeedsKey(public)).To(BeFalse())
	g.Expect(tab.NeedsKey(keyed)).To(BeTrue())
}

// Guards against a service that gets a share other than the configured one, or any share with weight 0.
func TestSplitFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	r := &model.HTTPRoute{Split: []model.Share{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	count := make(map[model.PoolID]int)
	for i := range 1000 {
		count[routing.Service(r, float64(i)/1000)]++
	}
	g.Expect(count).To(Equal(map[model.PoolID]int{"a": 900, "b": 100}))
}
