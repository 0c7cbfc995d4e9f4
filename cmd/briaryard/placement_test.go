package main

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/operator"
)

// Guards against a status that omits outstanding orders or the reason for missing engines, and
// against one that reports none at an instance that does not hold the placement lease.
func TestStatusShowsPlacement(t *testing.T) {
	show := func(s *operator.Placement) string {
		var out bytes.Buffer
		p := printer{out: &out}
		p.printPlacement(s)
		return out.String()
	}
	g := NewWithT(t)
	g.Expect(show(nil)).To(BeEmpty())
	g.Expect(show(&operator.Placement{Holder: "i2"})).To(ContainSubstring("known at i2"))
	g.Expect(show(&operator.Placement{})).To(ContainSubstring("nobody for now"))
	here := show(&operator.Placement{
		Holder: "i1", Here: true, Loads: 1,
		Orders:  []operator.Order{{ID: "3/1", Kind: "load_model", Server: "e1", Model: "notes", Phase: "unknown", Since: time.Now()}},
		Missing: []operator.Missing{{Pool: "notes", FailureDomain: "d1", Want: 2, Have: 1, Reason: "no engine"}},
	})
	g.Expect(here).To(MatchRegexp(`3/1 +load_model +e1 +notes +- +unknown`))
	g.Expect(here).To(MatchRegexp(`notes +d1 +2 +1 +no engine`))
}
