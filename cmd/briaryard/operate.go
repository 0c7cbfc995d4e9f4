package main

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/operator"
)

type statusCommand struct{ operatorFlags }

// Run implements the command.
func (c *statusCommand) Run(p *printer) error {
	var s operator.Status
	if err := c.client().Get(context.Background(), operator.PathStatus, &s); err != nil {
		return err
	}
	if len(s.Unhealthy) > 0 {
		exitCode = fault.ExitUnavailable
	}
	return p.writeResult(s, func() { p.printStatus(s) })
}

// printStatus prints the status of one instance as text and tables.
func (p *printer) printStatus(s operator.Status) {
	p.line("instance %s in failure domain %s, up %s", s.Instance, s.FailureDomain, time.Since(s.Started).Round(time.Second))
	if len(s.Unhealthy) == 0 {
		p.line("health: all services work")
	}
	for name, reason := range s.Unhealthy {
		p.line("UNHEALTHY %s: %s", name, reason)
	}
	p.line("configuration: revision %d in force here, %d accepted", s.Revision, s.Accepted)
	for _, x := range s.Exceptions {
		if x.Ended {
			p.line("ENDED exception: %s of %s, owner %s, until %s", x.Field, x.Target, x.Owner, x.Until)
		}
	}
	p.line("control group: leader %s, voters %s\n", orDefault(s.Leader, "unknown"), orDefault(strings.Join(s.Voters, ", "), "unknown"))
	// A new leader may not have received a heartbeat of an instance yet: the revision of the
	// instance is then unknown, not 0.
	revisions := make(map[string]string)
	for _, c := range s.Confirmed {
		revisions[c.Instance] = fmt.Sprint(c.Revision)
	}
	rows := [][]string{{"INSTANCE", "DOMAIN", "STATE", "REVISION", "VOTER", "WITHDRAWN"}}
	for _, i := range s.Instances {
		rows = append(rows, []string{i.ID, i.FailureDomain, i.State, orDefault(revisions[i.ID], "-"), fmt.Sprint(i.Voter), fmt.Sprint(i.Withdrawn)})
	}
	p.table(rows)
	rows = [][]string{{"\nBACKEND SERVER", "KIND", "POOLS", "DOMAIN", "STATE", "SLOTS"}}
	for _, b := range s.Servers {
		rows = append(rows, []string{b.ID, b.Kind, strings.Join(b.Pools, ","), b.FailureDomain, b.State, fmt.Sprint(b.Slots)})
	}
	p.table(rows)
	rows = [][]string{{"\nLEASE", "HOLDER", "EPOCH"}}
	for _, l := range s.Leases {
		rows = append(rows, []string{l.Name, orDefault(l.Holder, "nobody"), fmt.Sprint(l.Epoch)})
	}
	p.table(rows)
	p.printPlacement(s.Placement)
	rows = [][]string{{"\nDUTY", "RING", "WAITING", "MOST", "CAPACITY", "REFUSED"}}
	for _, d := range s.Duties {
		for _, r := range d.Rings {
			rows = append(rows, []string{d.Name, r.Name, fmt.Sprint(r.Depth), fmt.Sprint(r.HighWater), fmt.Sprint(r.Capacity), fmt.Sprint(r.Refused)})
		}
	}
	p.table(rows)
}

// printPlacement prints the outstanding orders and missing engines, which only the holder of the
// placement lease knows; at other instances it prints the holder.
func (p *printer) printPlacement(s *operator.Placement) {
	switch {
	case s == nil:
		return
	case !s.Here:
		p.line("\nplacement: orders and missing engines are known at %s", orDefault(s.Holder, "the holder of its lease, nobody for now"))
		return
	}
	p.line("\nplacement: %d loads running", s.Loads)
	rows := [][]string{{"ORDER", "KIND", "BACKEND SERVER", "MODEL", "ADAPTER", "PHASE", "FOR"}}
	for _, o := range s.Orders {
		rows = append(rows, []string{o.ID, o.Kind, o.Server, o.Model, orDefault(o.Adapter, "-"), o.Phase, time.Since(o.Since).Round(time.Second).String()})
	}
	p.table(rows)
	rows = [][]string{{"\nMISSING", "DOMAIN", "WANT", "HAVE", "REASON"}}
	for _, m := range s.Missing {
		rows = append(rows, []string{m.Pool, m.FailureDomain, fmt.Sprint(m.Want), fmt.Sprint(m.Have), orDefault(m.Reason, "orders are on their way")})
	}
	p.table(rows)
}

// orDefault returns the text, or otherwise if it is empty.
func orDefault(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

type explainCommand struct {
	operatorFlags
	Request string `arg:"" help:"Request id, from the Briaryard-Request header or a problem document."`
}

// Run implements the command. The entry instance and the dispatcher of the pool each hold a part
// of the events, so it queries every address and sorts the events by time.
func (c *explainCommand) Run(p *printer) error {
	all := operator.Explanation{Request: c.Request}
	var answered []string
	var lastErr error
	for _, address := range c.Address {
		e, err := c.client().At(address).Explain(context.Background(), c.Request)
		if err != nil {
			lastErr = err
			p.progress("%v", err)
			continue
		}
		answered = append(answered, e.Instance)
		all.Events = append(all.Events, e.Events...)
	}
	if len(answered) == 0 {
		return lastErr
	}
	all.Instance = strings.Join(answered, ",")
	sort.SliceStable(all.Events, func(i, j int) bool { return all.Events[i].Time.Before(all.Events[j].Time) })
	return p.writeResult(all, func() {
		if len(all.Events) == 0 {
			p.line("no events about %s at %s; they are kept for the last 8192 events of an instance", c.Request, all.Instance)
		}
		for _, e := range all.Events {
			p.line("%s %d %s %s", e.Time.UTC().Format("15:04:05.000"), e.Number, e.Event, formatFields(e.Fields))
		}
	})
}

// formatFields returns the sorted fields of an event without the request id.
func formatFields(values map[string]any) string {
	var parts []string
	for name, v := range values {
		if name != "request" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

type drainCommand struct {
	operatorCredentials
	Address string `help:"Operator address (host:port) of the instance to stop." required:""`
}

// Run implements the command.
func (c *drainCommand) Run(p *printer) error {
	var d operator.Draining
	client := c.clientFor([]string{c.Address})
	if err := client.Post(context.Background(), operator.PathDrain, struct{}{}, &d); err != nil {
		return err
	}
	return p.writeResult(d, func() {
		p.line("instance %s stops: it leaves the address list, finishes its answers and exits with code 0", d.Instance)
	})
}

type metricsCommand struct {
	operatorFlags
	Exposition bool `help:"Print the metrics in the text exposition format, for scrapers."`
}

// Run implements the command.
func (c *metricsCommand) Run(p *printer) error {
	if c.Exposition {
		text, err := c.client().Text(context.Background(), operator.PathText)
		_, _ = fmt.Fprint(p.out, text)
		return err
	}
	var m operator.Metrics
	if err := c.client().Get(context.Background(), operator.PathMetrics, &m); err != nil {
		return err
	}
	return p.writeResult(m, func() {
		rows := [][]string{{"METRIC", "LABEL", "VALUE", "UNIT"}}
		for _, v := range m.Metrics {
			rows = append(rows, []string{v.Name, v.LabelValue, fmt.Sprint(v.Value), v.Unit})
		}
		p.table(rows)
	})
}
