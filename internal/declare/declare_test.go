package declare_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"briaryard/docs"
	"briaryard/internal/declare"
	"briaryard/internal/model"
)

func TestDeclare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declare")
}

var today = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const base = `
default_team: a
tiers: {standard: {minimum_share: 0.1}}
defaults: {team: {weight: 2, concurrency: 8}, pool: {max_tokens: 100}}
teams:
  a: {highest_tier: urgent}
  b:
pools:
  notes: {kind: engine, servers_per_domain: 2}
  booking:
    kind: plain
    routes: [{method: POST, path: /book, idempotent: false}]
`

// withPlacement declares every field that concerns placement.
const withPlacement = `
pools:
  notes: {kind: engine, servers_per_domain: 2, weight_bytes: 16000000000, adapters: [pointe, lace]}
placement: {loads_at_once: 3, bytes_per_second: 4000000000, models_per_engine: 2, settle: 5s, hold: 20m}
`

func exception(body string) string { return base + "exceptions:\n  - " + body + "\n" }

const ownerAndReason = "owner: o, reason: r"

// structural lists documents that both the parser and the schema reject, with the error text.
var structural = map[string][2]string{
	"unknown section":         {base + "limits: 3\n", "line 13: field limits: unknown field"},
	"unknown field of a team": {"teams:\n  a:\n    wait: 3\n", "line 3: field teams.a.wait: unknown field"},
	"unknown field of a pool": {"pools: {p: {speed: 3}}", "line 1: field pools.p.speed: unknown field"},
	"weight out of range":     {"teams: {a: {weight: 0}}", "teams.a.weight: want a number"},
	"negative concurrency":    {"teams: {a: {concurrency: -1}}", "teams.a.concurrency: want a whole number"},
	"fraction of a token":     {"pools: {p: {max_tokens: 1.5}}", "pools.p.max_tokens: want a whole number"},
	"unknown tier":            {"teams: {a: {highest_tier: top}}", "teams.a.highest_tier: want urgent"},
	"unknown kind":            {"pools: {p: {kind: gpu}}", "pools.p.kind: want engine or plain"},
	"bad duration":            {"pools: {p: {max_deadline: soon}}", "pools.p.max_deadline: want a duration"},
	"share above one":         {"tiers: {batch: {minimum_share: 2}}", "tiers.batch.minimum_share: want a number"},
	"share missing":           {"tiers: {batch: {}}", "tiers.batch.minimum_share: is missing"},
	"idempotency left open":   {"pools: {p: {kind: plain, routes: [{method: GET, path: /x}]}}", "pools.p.routes.idempotent: is missing"},
	"bad method":              {"pools: {p: {kind: plain, routes: [{method: get, path: /x, idempotent: true}]}}", "routes.method: want one of"},
	"bad path":                {"pools: {p: {kind: plain, routes: [{method: GET, path: x, idempotent: true}]}}", "routes.path: want a path"},
	"name with a space":       {"teams: {'a b': {}}", "want a name of 1 to 100 characters"},
	"no reason":               {exception("{scope: {team: a}, field: weight, value: 3, owner: o}"), "line 14: field exceptions[0].reason: is missing"},
	"empty reason":            {exception("{scope: {team: a}, field: weight, value: 3, owner: o, reason: ' '}"), "exceptions[0].reason: want a text"},
	"no owner":                {exception("{scope: {team: a}, field: weight, value: 3, reason: r}"), "exceptions[0].owner: is missing"},
	"no value":                {exception("{scope: {team: a}, field: weight, " + ownerAndReason + "}"), "exceptions[0].value: is missing"},
	"no scope":                {exception("{field: weight, value: 3, " + ownerAndReason + "}"), "exceptions[0].scope: is missing"},
	"two targets":             {exception("{scope: {team: a, pool: notes}, field: weight, value: 3, " + ownerAndReason + "}"), "either a team or a pool"},
	"two places":              {exception("{scope: {team: a, instance: i, failure_domain: d}, field: concurrency, value: 3, " + ownerAndReason + "}"), "not both"},
	"bad date":                {exception("{scope: {team: a}, field: weight, value: 3, until: May, " + ownerAndReason + "}"), "exceptions[0].until: want a date"},
	"adapters not a list":     {"pools: {p: {adapters: x}}", "pools.p.adapters: want a list"},
	"adapter without a name":  {"pools: {p: {adapters: ['']}}", "pools.p.adapters: want names"},
	"adapter twice":           {"pools: {p: {adapters: [x, x]}}", "\"x\" is listed twice"},
	"no load at once":         {"pools: {p: {servers_per_domain: 1}}\nplacement: {loads_at_once: 0}", "placement.loads_at_once: want a whole number from 1"},
	"negative byte rate":      {"pools: {p: {servers_per_domain: 1}}\nplacement: {bytes_per_second: -1}", "placement.bytes_per_second: want a whole number"},
	"endless hold":            {"pools: {p: {servers_per_domain: 1}}\nplacement: {hold: for ever}", "placement.hold: want a duration"},
	"unknown placement field": {"pools: {p: {servers_per_domain: 1}}\nplacement: {speed: 1}", "field placement.speed: unknown field"},
	"list for a map":          {"teams: [a]", "field teams: want names"},
}

// semantic lists documents with errors that the schema cannot express, such as those between
// fields, with the error text.
var semantic = map[string][2]string{
	"undeclared default team": {"default_team: x\n", "line 1: field default_team: team \"x\" is not declared"},
	"shares above one":        {"tiers: {batch: {minimum_share: 0.6}, standard: {minimum_share: 0.6}}", "add up to 1.2"},
	"deadline above maximum":  {"pools: {p: {default_deadline: 2m, max_deadline: 1m}}", "exceeds max_deadline"},
	"routes of an engine":     {"pools: {p: {routes: []}}", "only a pool of kind plain"},
	"placement of nothing":    {"pools: {p: {}}\nplacement: {}", "no pool of kind engine has servers_per_domain"},
	"placement of a service":  {"pools: {p: {kind: plain, servers_per_domain: 1}}\nplacement: {}", "no pool of kind engine has servers_per_domain"},
	"rate without sizes":      {"pools: {p: {servers_per_domain: 1}}\nplacement: {bytes_per_second: 1}", "needs weight_bytes of pool p"},
	"adapters of a service":   {"pools: {p: {kind: plain, adapters: [x]}}", "only a pool of kind engine has adapters"},
	"given twice":             {"teams:\n  a: {}\n  a: {}\n", "already defined"},
	"undeclared target":       {exception("{scope: {team: x}, field: weight, value: 3, " + ownerAndReason + "}"), "team x is not declared"},
	"no such field":           {exception("{scope: {team: a}, field: kind, value: 3, " + ownerAndReason + "}"), "is not a field"},
	"value out of range":      {exception("{scope: {team: a}, field: weight, value: -3, " + ownerAndReason + "}"), "exceptions[0].value: want a number"},
	"changes nothing":         {exception("{scope: {team: a}, field: weight, value: 2, " + ownerAndReason + "}"), "changes nothing: weight of team a is 2 without it"},
	"fleet-wide field":        {exception("{scope: {team: a, instance: i}, field: weight, value: 3, " + ownerAndReason + "}"), "is the same in the whole fleet"},
	"pool at an instance":     {exception("{scope: {pool: notes, instance: i}, field: max_tokens, value: 3, " + ownerAndReason + "}"), "leave the instance out"},
	"collision": {exception("{scope: {team: a}, field: concurrency, value: 3, " + ownerAndReason + "}\n" +
		"  - {scope: {team: a, instance: i}, field: concurrency, value: 4, " + ownerAndReason + "}"),
		"line 15: field exceptions[1]: collides with the exception at line 14"},
	"alias": {"teams: {a: &x {weight: 2}}", "is not allowed here"},
}

func schema() *jsonschema.Schema {
	GinkgoHelper()
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(docs.ConfigSchema))
	Expect(err).NotTo(HaveOccurred())
	c := jsonschema.NewCompiler()
	Expect(c.AddResource("config", document)).To(Succeed())
	s, err := c.Compile("config")
	Expect(err).NotTo(HaveOccurred())
	return s
}

// validateSchema validates a document against the schema.
func validateSchema(s *jsonschema.Schema, content string) error {
	GinkgoHelper()
	var v any
	Expect(yaml.Unmarshal([]byte(content), &v)).To(Succeed())
	asJSON, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(asJSON))
	Expect(err).NotTo(HaveOccurred())
	return s.Validate(document)
}

// example reads the files of an example folder.
func example(name string) []declare.File {
	GinkgoHelper()
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	Expect(paths).NotTo(BeEmpty())
	var files []declare.File
	for _, p := range paths {
		content, err := os.ReadFile(p)
		Expect(err).NotTo(HaveOccurred())
		files = append(files, declare.File{Name: filepath.Base(p), Content: content})
	}
	return files
}

var _ = Describe("a configuration", func() {
	// Guards against an invalid configuration that is accepted and reaches every instance.
	It("is rejected for each structural error by the parser and by the schema", func() {
		s := schema()
		for name, c := range structural {
			_, err := declare.Parse([]byte(c[0]))
			Expect(err).To(MatchError(ContainSubstring(c[1])), name)
			Expect(validateSchema(s, c[0])).NotTo(Succeed(), name)
		}
	})

	It("is rejected for each error that spans fields", func() {
		for name, c := range semantic {
			_, err := declare.Parse([]byte(c[0]))
			Expect(err).To(MatchError(ContainSubstring(c[1])), name)
		}
	})

	It("is accepted by the parser and by the schema when it is valid", func() {
		s := schema()
		good := []string{base, "", withPlacement, base + "placement:\n", "teams: {a: }", exception("{scope: {team: a}, field: lower_tier, value: true, until: 2027-01-01, " + ownerAndReason + "}")}
		for _, name := range []string{"office", "workshop"} {
			c, content, err := declare.Check(example(name), today)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Teams).To(HaveLen(5))
			Expect(c.Exceptions).NotTo(BeEmpty())
			good = append(good, string(content))
		}
		for _, content := range good {
			_, err := declare.Parse([]byte(content))
			Expect(err).NotTo(HaveOccurred(), content)
			if content != "" {
				Expect(validateSchema(s, content)).To(Succeed(), content)
			}
		}
	})

	// Guards against a check that stops at the first error, so that an operator needs one run for
	// each.
	It("reports all errors at once with file and line", func() {
		_, _, err := declare.Check([]declare.File{
			{Name: "one.yaml", Content: []byte("teams:\n  a: {weight: 0}\n")},
			{Name: "two.yaml", Content: []byte("teams:\n  a: {weight: 2}\nsize: 4\n")},
		}, today)
		Expect(err).To(MatchError(And(
			ContainSubstring("one.yaml:2: field teams.a.weight: want"),
			ContainSubstring("two.yaml:2: field teams.a: is also given at one.yaml:2"),
			ContainSubstring("two.yaml:3: field size: unknown"),
		)))
	})

	It("takes undeclared values from the defaults", func() {
		c, err := declare.Parse([]byte(base))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Teams["b"]).To(Equal(model.Team{ID: "b", Weight: 2, Concurrency: 8, HighestTier: model.Standard}))
		Expect(c.Pools["notes"].MaxTokens).To(Equal(100))
		Expect(c.MinimumShare[model.Standard]).To(Equal(0.1))
	})

	// Guards against orders to the engines of a fleet for which placement is not declared.
	It("enables placement only if its section is present", func() {
		c, err := declare.Parse([]byte(base))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Placement).To(BeNil())
		c, err = declare.Parse([]byte(base + "placement:\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(*c.Placement).To(Equal(model.Placement{LoadsAtOnce: 1, ModelsPerEngine: 1, Settle: 10 * time.Second, Hold: 10 * time.Minute}))
		c, err = declare.Parse([]byte(withPlacement))
		Expect(err).NotTo(HaveOccurred())
		Expect(*c.Placement).To(Equal(model.Placement{
			LoadsAtOnce: 3, BytesPerSecond: 4e9, ModelsPerEngine: 2, Settle: 5 * time.Second, Hold: 20 * time.Minute,
		}))
		Expect(c.Pools["notes"].Adapters).To(Equal([]string{"pointe", "lace"}))
		Expect(c.Pools["notes"].WeightBytes).To(Equal(int64(16e9)))
	})

	It("applies an exception only within its scope", func() {
		content := []byte(exception("{scope: {team: a, failure_domain: d2}, field: concurrency, value: 3, " + ownerAndReason + "}\n" +
			"  - {scope: {team: a, failure_domain: d3}, field: concurrency, value: 4, " + ownerAndReason + "}\n" +
			"  - {scope: {pool: notes, failure_domain: d2}, field: servers_per_domain, value: 1, " + ownerAndReason + "}"))
		for domain, want := range map[model.FailureDomain]int{"d1": 8, "d2": 3, "d3": 4} {
			c, err := declare.ParseAt(content, declare.Place{Instance: "i", Domain: domain})
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Teams["a"].Concurrency).To(Equal(want))
			notes := c.Pools["notes"]
			Expect([]int{notes.Servers("d1"), notes.Servers("d2")}).To(Equal([]int{2, 1}))
		}
	})

	// Guards against an instance that restarts after the end date and cannot load the
	// configuration in force.
	It("rejects an expired exception in a new change but still parses an accepted one", func() {
		content := []byte(exception("{scope: {team: a}, field: weight, value: 3, until: 2026-12-03, " + ownerAndReason + "}"))
		_, _, err := declare.Check([]declare.File{{Name: "f.yaml", Content: content}}, today)
		Expect(err).To(MatchError(ContainSubstring("f.yaml:14: field exceptions[0].until: has ended on 2026-12-03")))
		_, err = declare.Parse(content)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a canonical document that depends on the order of the files, which makes
	// diffs useless.
	It("produces the same document regardless of how it is split over files", func() {
		files := []declare.File{
			{Name: "1", Content: []byte(base)},
			{Name: "2", Content: []byte("teams: {d: {}, c: {}}\nexceptions: [{scope: {team: c}, field: weight, value: 3, " + ownerAndReason + "}]")},
			{Name: "3", Content: []byte("pools: {m: {}}\nexceptions: [{scope: {team: a}, field: weight, value: 4, " + ownerAndReason + "}]")},
		}
		_, one, err := declare.Check(files, today)
		Expect(err).NotTo(HaveOccurred())
		files[0], files[2] = files[2], files[0]
		_, two, err := declare.Check(files, today)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(two)).To(Equal(string(one)))
		_, again, err := declare.Check([]declare.File{{Content: one}}, today)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(again)).To(Equal(string(one)))
	})
})

// FuzzCheck guards against input that causes a panic and against a canonical document whose
// content differs from that of its source files.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(base))
	for _, set := range []map[string][2]string{structural, semantic} {
		for _, c := range set {
			f.Add([]byte(c[0]))
		}
	}
	f.Add([]byte("teams: {'#': {}, '1': {}, \"true\": {}}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		first, canonical, err := declare.Check([]declare.File{{Content: content}}, today)
		if err != nil {
			return
		}
		second, again, err := declare.Check([]declare.File{{Content: canonical}}, today)
		if err != nil {
			t.Fatalf("the canonical document is rejected: %v\n%s", err, canonical)
		}
		if !bytes.Equal(canonical, again) || len(first.Teams) != len(second.Teams) || len(first.Pools) != len(second.Pools) {
			t.Fatalf("the canonical document differs:\n%s\n%s", canonical, again)
		}
	})
}
