package declare

import (
	"fmt"
	"time"

	"briaryard/internal/model"
)

// dateLayout is the format of an end date. An exception applies until the end of that day, UTC.
const dateLayout = "2006-01-02"

// exceptions reads all exceptions and applies those whose scope includes the place.
func (b *builder) exceptions(n *node, place Place) {
	if n == nil {
		return
	}
	if n.kind != listNode {
		b.faults.addAt(n, "exceptions", "want a list of exceptions")
		return
	}
	teams, pools := copyMap(b.config.Teams), copyMap(b.config.Pools)
	for i, item := range n.items {
		path := fmt.Sprintf("exceptions[%d]", i)
		if !b.checkFields(item, path, "scope", "field", "value", "owner", "reason", "until") {
			continue
		}
		x := b.exception(item, path)
		x.File, x.Line = item.file, item.line
		for _, other := range b.config.Exceptions {
			if overlap(other, x) {
				b.faults.addAt(item, path, "collides with the exception at %s: both set %s of %s",
					location(other.File, other.Line), x.Field, x.Target())
			}
		}
		b.config.Exceptions = append(b.config.Exceptions, x)
		value := item.get("value")
		if value == nil {
			b.faults.addAt(item, path+".value", "is missing")
			continue
		}
		switch {
		case x.Team != "":
			override(b, x, value, path, teamFields, teams, b.config.Teams, x.Team, place)
		case x.Pool != "":
			if x.Instance != "" {
				b.faults.addAt(item, path+".scope.instance", "a pool is served by the whole fleet; leave the instance out")
				continue
			}
			override(b, x, value, path, poolFields, pools, b.config.Pools, x.Pool, place)
		}
		b.config.Exceptions[len(b.config.Exceptions)-1].Value = fmt.Sprint(value.scalar)
	}
}

// exception reads the fields of an exception except its value.
func (b *builder) exception(n *node, path string) model.Exception {
	x := model.Exception{
		Field: b.requiredText(n, path, "field"), Owner: b.requiredText(n, path, "owner"), Reason: b.requiredText(n, path, "reason"),
	}
	if until := n.get("until"); until != nil {
		text, _ := readText(until)
		day, err := time.Parse(dateLayout, text)
		if err != nil {
			b.faults.addAt(until, path+".until", "want a date such as 2027-03-31")
		}
		x.Until = day
	}
	scope := n.get("scope")
	if scope == nil {
		b.faults.addAt(n, path+".scope", "is missing")
		return x
	}
	if !b.checkFields(scope, path+".scope", "team", "pool", "instance", "failure_domain") {
		return x
	}
	text := func(name string) string {
		if scope.get(name) == nil {
			return ""
		}
		return b.requiredText(scope, path+".scope", name)
	}
	x.Team, x.Pool = model.TeamID(text("team")), model.PoolID(text("pool"))
	x.Instance, x.Domain = model.InstanceID(text("instance")), model.FailureDomain(text("failure_domain"))
	if (scope.get("team") == nil) == (scope.get("pool") == nil) {
		b.faults.addAt(scope, path+".scope", "want either a team or a pool")
		x.Team, x.Pool = "", ""
	}
	if x.Instance != "" && x.Domain != "" {
		b.faults.addAt(scope, path+".scope", "want an instance or a failure domain, not both")
	}
	return x
}

// override checks an exception against the declared values and applies it if its scope includes
// the place.
func override[K ~string, T any](b *builder, x model.Exception, value *node, path string,
	table []field[T], declared, effective map[K]T, id K, place Place) {
	before, ok := declared[id]
	if !ok {
		b.faults.addAt(value, path+".scope", "%s is not declared", x.Target())
		return
	}
	f, ok := findField(table, x.Field)
	if !ok {
		if x.Field != "" {
			b.faults.addAt(value, path+".field", "%q is not a field of a team or pool that an exception can change", x.Field)
		}
		return
	}
	perDomain := x.Pool != "" && x.Field == fieldServersPerDomain && x.Domain != ""
	if (x.Instance != "" || x.Domain != "") && !f.local && !perDomain {
		b.faults.addAt(value, path+".scope", "%s is the same in the whole fleet; leave the instance and failure domain out", x.Field)
		return
	}
	v, reason := f.read(value)
	if reason != "" {
		b.faults.addAt(value, path+".value", "%s", reason)
		return
	}
	if f.get(&before) == v {
		b.faults.addAt(value, path+".value", "changes nothing: %s of %s is %v without it", x.Field, x.Target(), value.scalar)
		return
	}
	after := effective[id]
	switch {
	case perDomain:
		setDomainServers(any(&after).(*model.Pool), x.Domain, v.(int))
	case x.Instance != "" && x.Instance != place.Instance, x.Domain != "" && x.Domain != place.Domain:
		return
	default:
		f.set(&after, v)
	}
	effective[id] = after
}

func setDomainServers(p *model.Pool, d model.FailureDomain, servers int) {
	if p.DomainServers == nil {
		p.DomainServers = make(map[model.FailureDomain]int)
	}
	p.DomainServers[d] = servers
}

// overlap reports whether two exceptions can apply to the same field at one instance. An
// instance and a failure domain are assumed to overlap, because the files do not state in which
// failure domain an instance runs.
func overlap(a, b model.Exception) bool {
	if a.Field != b.Field || a.Team != b.Team || a.Pool != b.Pool {
		return false
	}
	disjoint := (a.Instance != "" && b.Instance != "" && a.Instance != b.Instance) ||
		(a.Domain != "" && b.Domain != "" && a.Domain != b.Domain)
	return !disjoint
}

// Ended returns an error that lists each exception whose end date has passed, or nil.
func Ended(c *model.Config, now time.Time) error {
	f := &faults{}
	for i, x := range c.Exceptions {
		if x.Ended(now) {
			f.add(x.File, x.Line, fmt.Sprintf("exceptions[%d].until", i),
				"has ended on %s: remove the exception or agree on a new date with its owner %s", x.Until.Format(dateLayout), x.Owner)
		}
	}
	return f.err()
}

func location(file string, line int) string {
	if file == "" {
		return fmt.Sprintf("line %d", line)
	}
	return fmt.Sprintf("%s:%d", file, line)
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
