package declare

import (
	"fmt"
	"time"

	"briaryard/internal/model"
)

// dateLayout is the form of an end date. An exception applies up to the end of that day, UTC.
const dateLayout = "2006-01-02"

// exceptions reads the exceptions and applies those that cover the place.
func (b *builder) exceptions(n *node, place Place) {
	if n == nil {
		return
	}
	if n.kind != listNode {
		b.faults.at(n, "exceptions", "want a list of exceptions")
		return
	}
	teams, pools := copyOf(b.config.Teams), copyOf(b.config.Pools)
	for i, item := range n.items {
		path := fmt.Sprintf("exceptions[%d]", i)
		if !b.known(item, path, "scope", "field", "value", "owner", "reason", "until") {
			continue
		}
		x := b.exception(item, path)
		x.File, x.Line = item.file, item.line
		for _, other := range b.config.Exceptions {
			if collide(other, x) {
				b.faults.at(item, path, "collides with the exception at %s: both set %s of %s",
					location(other.File, other.Line), x.Field, x.Target())
			}
		}
		b.config.Exceptions = append(b.config.Exceptions, x)
		value := item.get("value")
		if value == nil {
			b.faults.at(item, path+".value", "is missing")
			continue
		}
		switch {
		case x.Team != "":
			override(b, x, value, path, teamFields, teams, b.config.Teams, x.Team, place)
		case x.Pool != "":
			if x.Instance != "" {
				b.faults.at(item, path+".scope.instance", "a pool is served by the whole fleet; leave the instance out")
				continue
			}
			override(b, x, value, path, poolFields, pools, b.config.Pools, x.Pool, place)
		}
		b.config.Exceptions[len(b.config.Exceptions)-1].Value = fmt.Sprint(value.scalar)
	}
}

// exception reads everything but the value.
func (b *builder) exception(n *node, path string) model.Exception {
	x := model.Exception{
		Field: b.text(n, path, "field"), Owner: b.text(n, path, "owner"), Reason: b.text(n, path, "reason"),
	}
	if until := n.get("until"); until != nil {
		text, _ := readText(until)
		day, err := time.Parse(dateLayout, text)
		if err != nil {
			b.faults.at(until, path+".until", "want a date such as 2027-03-31")
		}
		x.Until = day
	}
	scope := n.get("scope")
	if scope == nil {
		b.faults.at(n, path+".scope", "is missing")
		return x
	}
	if !b.known(scope, path+".scope", "team", "pool", "instance", "failure_domain") {
		return x
	}
	text := func(name string) string {
		if scope.get(name) == nil {
			return ""
		}
		return b.text(scope, path+".scope", name)
	}
	x.Team, x.Pool = model.TeamID(text("team")), model.PoolID(text("pool"))
	x.Instance, x.Domain = model.InstanceID(text("instance")), model.FailureDomain(text("failure_domain"))
	if (scope.get("team") == nil) == (scope.get("pool") == nil) {
		b.faults.at(scope, path+".scope", "want either a team or a pool")
		x.Team, x.Pool = "", ""
	}
	if x.Instance != "" && x.Domain != "" {
		b.faults.at(scope, path+".scope", "want an instance or a failure domain, not both")
	}
	return x
}

// override checks one exception against the declared values and applies it.
func override[K ~string, T any](b *builder, x model.Exception, value *node, path string,
	table []field[T], declared, effective map[K]T, id K, place Place) {
	before, ok := declared[id]
	if !ok {
		b.faults.at(value, path+".scope", "%s is not declared", x.Target())
		return
	}
	f, ok := findField(table, x.Field)
	if !ok {
		if x.Field != "" {
			b.faults.at(value, path+".field", "%q is not a field of a team or pool that an exception can change", x.Field)
		}
		return
	}
	perDomain := x.Pool != "" && x.Field == fieldServersPerDomain && x.Domain != ""
	if (x.Instance != "" || x.Domain != "") && !f.local && !perDomain {
		b.faults.at(value, path+".scope", "%s is the same in the whole fleet; leave the instance and failure domain out", x.Field)
		return
	}
	v, reason := f.read(value)
	if reason != "" {
		b.faults.at(value, path+".value", "%s", reason)
		return
	}
	if f.get(&before) == v {
		b.faults.at(value, path+".value", "changes nothing: %s of %s is %v without it", x.Field, x.Target(), value.scalar)
		return
	}
	after := effective[id]
	switch {
	case perDomain:
		setDomain(any(&after).(*model.Pool), x.Domain, v.(int))
	case x.Instance != "" && x.Instance != place.Instance, x.Domain != "" && x.Domain != place.Domain:
		return
	default:
		f.set(&after, v)
	}
	effective[id] = after
}

func setDomain(p *model.Pool, d model.FailureDomain, servers int) {
	if p.DomainServers == nil {
		p.DomainServers = make(map[model.FailureDomain]int)
	}
	p.DomainServers[d] = servers
}

// collide reports whether two exceptions can apply to the same field at one instance. An
// instance and a failure domain may overlap, because the files do not say where an instance
// runs.
func collide(a, b model.Exception) bool {
	if a.Field != b.Field || a.Team != b.Team || a.Pool != b.Pool {
		return false
	}
	apart := (a.Instance != "" && b.Instance != "" && a.Instance != b.Instance) ||
		(a.Domain != "" && b.Domain != "" && a.Domain != b.Domain)
	return !apart
}

// Ended returns a fault for each exception whose end date has passed.
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

func copyOf[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
