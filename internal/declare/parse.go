package declare

import (
	"strings"
	"time"

	"briaryard/internal/model"
)

// Place is the instance and failure domain for which a configuration is evaluated. The zero
// Place yields the fleet-wide values, without the exceptions for single instances and failure
// domains.
type Place struct {
	Instance model.InstanceID
	Domain   model.FailureDomain
}

// Parse parses and checks a canonical document. It does not check end dates: an accepted
// configuration must remain readable after one of its exceptions has expired. Otherwise an
// instance that restarts after that date could not load the configuration in force.
func Parse(content []byte) (*model.Config, error) { return ParseAt(content, Place{}) }

// ParseAt is like Parse and also applies the exceptions whose scope includes the place.
func ParseAt(content []byte, place Place) (*model.Config, error) {
	f := &faults{}
	root := parseYAML("", content, f)
	if root == nil {
		return nil, f.err()
	}
	return build(root, place, f)
}

// baseTeam and basePool return the values that apply where neither the defaults nor the
// declaration set one.
func baseTeam() model.Team { return model.Team{Weight: 1, HighestTier: model.Standard} }

func basePool() model.Pool {
	return model.Pool{
		DefaultTier: model.Standard, DefaultDeadline: 30 * time.Second, MaxDeadline: 10 * time.Minute,
		MaxBody: 1 << 20, MaxTokens: 1024,
	}
}

// sections lists the names of the sections in the order of the canonical document.
var sections = []string{"default_team", "tiers", "defaults", "teams", "pools", "placement", "exceptions"}

// builder converts the node of a document to a configuration. team and pool hold the defaults.
type builder struct {
	faults *faults
	config *model.Config
	team   model.Team
	pool   model.Pool
}

// build converts a document to the configuration that applies at the place.
func build(root *node, place Place, f *faults) (*model.Config, error) {
	b := &builder{
		faults: f, team: baseTeam(), pool: basePool(),
		config: &model.Config{Teams: make(map[model.TeamID]model.Team), Pools: make(map[model.PoolID]model.Pool)},
	}
	if b.checkFields(root, "document", sections...) {
		b.tiers(root.get("tiers"))
		b.defaults(root.get("defaults"))
		b.teams(root.get("teams"))
		b.pools(root.get("pools"))
		b.exceptions(root.get("exceptions"), place)
		b.placement(root.get("placement"))
		b.defaultTeam(root.get("default_team"))
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return b.config, nil
}

// checkFields checks that a node is a map and contains only the named fields. It returns false if
// the node is not a map.
func (b *builder) checkFields(n *node, path string, names ...string) bool {
	if n.kind != mapNode {
		b.faults.addAt(n, path, "want fields")
		return false
	}
	for _, e := range n.fields {
		if !contains(names, e.name) {
			b.faults.add(e.file, e.line, join(path, e.name), "unknown field; known here: %s", strings.Join(names, ", "))
		}
	}
	return true
}

// tiers reads the minimum shares of the tiers.
func (b *builder) tiers(n *node) {
	if n == nil || !b.checkFields(n, "tiers", "urgent", "interactive", "standard", "batch") {
		return
	}
	sum := 0.0
	for _, e := range n.fields {
		t, err := model.ParseTier(e.name)
		if err != nil {
			continue
		}
		path := "tiers." + e.name
		if !b.checkFields(e.value, path, "minimum_share") {
			continue
		}
		share := e.value.get("minimum_share")
		if share == nil {
			b.faults.addAt(e.value, path+".minimum_share", "is missing")
			continue
		}
		v, reason := floatInRange(0, 1)(share)
		if reason != "" {
			b.faults.addAt(share, path+".minimum_share", "%s", reason)
			continue
		}
		b.config.MinimumShare[t] = v.(float64)
		sum += v.(float64)
	}
	if sum > 1 {
		b.faults.addAt(n, "tiers", "the minimum shares add up to %g, more than 1", sum)
	}
}

// defaults reads the defaults for teams and pools.
func (b *builder) defaults(n *node) {
	if n == nil || !b.checkFields(n, "defaults", "team", "pool") {
		return
	}
	if t := n.get("team"); t != nil {
		readFields(b, t, "defaults.team", teamFields, &b.team)
	}
	if p := n.get("pool"); p != nil {
		readFields(b, p, "defaults.pool", poolFields, &b.pool)
	}
}

// readFields reads the fields in table from n; extra names further valid fields, which the caller
// reads.
func readFields[T any](b *builder, n *node, path string, table []field[T], into *T, extra ...string) {
	names := extra
	for _, f := range table {
		names = append(names, f.name)
	}
	if !b.checkFields(n, path, names...) {
		return
	}
	for _, e := range n.fields {
		f, ok := findField(table, e.name)
		if !ok {
			continue
		}
		v, reason := f.read(e.value)
		if reason != "" {
			b.faults.addAt(e.value, join(path, e.name), "%s", reason)
			continue
		}
		f.set(into, v)
	}
}

// teams reads the declared teams. Fields that a team does not set have the default values.
func (b *builder) teams(n *node) {
	if n == nil || !b.checkNames(n, "teams") {
		return
	}
	for _, e := range n.fields {
		team := b.team
		team.ID = model.TeamID(e.name)
		if !isNull(e.value) {
			readFields(b, e.value, "teams."+e.name, teamFields, &team)
		}
		b.config.Teams[team.ID] = team
	}
}

// pools reads the declared pools. Fields that a pool does not set have the default values.
func (b *builder) pools(n *node) {
	if n == nil || !b.checkNames(n, "pools") {
		return
	}
	for _, e := range n.fields {
		pool := b.pool
		pool.ID = model.PoolID(e.name)
		path := "pools." + e.name
		if !isNull(e.value) {
			readFields(b, e.value, path, poolFields, &pool, "routes", "adapters")
			if e.value.kind == mapNode {
				b.adapters(e.value.get("adapters"), path+".adapters", &pool)
				b.routes(e.value.get("routes"), path+".routes", &pool)
			}
		}
		if pool.DefaultDeadline > pool.MaxDeadline {
			b.faults.add(e.file, e.line, path+".default_deadline", "%s exceeds max_deadline %s", pool.DefaultDeadline, pool.MaxDeadline)
		}
		b.config.Pools[pool.ID] = pool
	}
}

// checkNames checks that a node is a map and that its keys are valid names.
func (b *builder) checkNames(n *node, path string) bool {
	if n.kind != mapNode {
		b.faults.addAt(n, path, "want names with their fields")
		return false
	}
	for _, e := range n.fields {
		if !validName(e.name) {
			b.faults.add(e.file, e.line, join(path, e.name), "want a name of 1 to %d characters without spaces, quotes, / or |", maxNameLength)
		}
	}
	return true
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && !strings.ContainsAny(name, " \t\n/\"'|")
}

// poolItems returns the items of a list that only pools of one kind may have.
func (b *builder) poolItems(n *node, path, what string, pool *model.Pool, kind model.ServerKind) []*node {
	if n == nil {
		return nil
	}
	if n.kind != listNode {
		b.faults.addAt(n, path, "want a list of %s", what)
		return nil
	}
	if pool.Kind != kind {
		b.faults.addAt(n, path, "only a pool of kind %s has %s", kind, what)
	}
	return n.items
}

// routes reads the routes of a plain service.
func (b *builder) routes(n *node, path string, pool *model.Pool) {
	for _, item := range b.poolItems(n, path, "routes", pool, model.PlainServer) {
		if !b.checkFields(item, path, "method", "path", "idempotent") {
			continue
		}
		r := model.Route{Method: b.requiredText(item, path, "method"), PathPrefix: b.requiredText(item, path, "path")}
		if r.Method != "" && !contains(methods, r.Method) {
			b.faults.addAt(item, path+".method", "want one of %s", strings.Join(methods, ", "))
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			b.faults.addAt(item, path+".path", "want a path that begins with /")
		}
		if v := item.get("idempotent"); v == nil {
			b.faults.addAt(item, path+".idempotent", "is missing: say whether a call may be repeated without harm")
		} else if flag, reason := readBool(v); reason != "" {
			b.faults.addAt(v, path+".idempotent", "%s", reason)
		} else {
			r.Idempotent = flag.(bool)
		}
		pool.Routes = append(pool.Routes, r)
	}
}

var methods = []string{"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// requiredText reads a required text field.
func (b *builder) requiredText(n *node, path, name string) string {
	v := n.get(name)
	if v == nil {
		b.faults.addAt(n, join(path, name), "is missing")
		return ""
	}
	text, ok := readText(v)
	if !ok || strings.TrimSpace(text) == "" {
		b.faults.addAt(v, join(path, name), "want a text that is not empty")
		return ""
	}
	return text
}

// defaultTeam reads the name of the default team, which must be declared. It must run after teams.
func (b *builder) defaultTeam(n *node) {
	if n == nil {
		return
	}
	text, ok := readText(n)
	if !ok {
		b.faults.addAt(n, "default_team", "want the name of a team")
		return
	}
	b.config.DefaultTeam = model.TeamID(text)
	if _, declared := b.config.Teams[b.config.DefaultTeam]; text != "" && !declared {
		b.faults.addAt(n, "default_team", "team %q is not declared", text)
	}
}

// isNull reports whether a node has no value, as in "name:".
func isNull(n *node) bool { return n.kind == scalarNode && n.scalar == nil }

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
