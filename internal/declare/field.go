package declare

import (
	"fmt"
	"math"
	"time"

	"briaryard/internal/model"
)

// field describes one field of a team, a pool or the placement: how its value is read and
// stored, and whether an exception may set it for a single instance or failure domain.
// Defaults, declarations and exceptions use the same table.
type field[T any] struct {
	name string
	// read returns the value, or the reason why it is invalid.
	read func(n *node) (any, string)
	set  func(t *T, v any)
	get  func(t *T) any
	// local means that each instance applies the field independently, so that its value can
	// differ between instances.
	local bool
}

// newField returns a field of T that is stored in the variable to which at points.
func newField[T, V any](name string, read func(*node) (any, string), at func(*T) *V) field[T] {
	return field[T]{
		name: name, read: read,
		set: func(t *T, v any) { *at(t) = v.(V) },
		get: func(t *T) any { return *at(t) },
	}
}

// perInstance returns the field with local set.
func (f field[T]) perInstance() field[T] {
	f.local = true
	return f
}

// Upper limits of values. A larger value is assumed to be a typing error: the design size is
// 3,200 requests/s and 50,000 waiting requests in a pool.
const (
	maxRate       = 100_000
	maxCount      = 1_000_000
	maxWeight     = 1000
	maxBody       = 64 << 20
	maxDeadline   = time.Hour
	maxPerDomain  = 10_000
	maxModels     = 64
	maxBytes      = 1_000_000_000_000_000
	maxNameLength = 100
)

var teamFields = []field[model.Team]{
	newField("weight", floatInRange(0.001, maxWeight), func(t *model.Team) *float64 { return &t.Weight }),
	newField("highest_tier", readTier, func(t *model.Team) *model.Tier { return &t.HighestTier }),
	newField("lower_tier", readBool, func(t *model.Team) *bool { return &t.LowerTier }),
	newField("rate_per_second", floatInRange(0, maxRate), func(t *model.Team) *float64 { return &t.RatePerSecond }).perInstance(),
	newField("burst", intInRange(0, maxCount), func(t *model.Team) *int { return &t.Burst }).perInstance(),
	newField("concurrency", intInRange(0, maxCount), func(t *model.Team) *int { return &t.Concurrency }).perInstance(),
	newField("caller_rate_per_second", floatInRange(0, maxRate), func(t *model.Team) *float64 { return &t.CallerRatePerSecond }).perInstance(),
	newField("caller_concurrency", intInRange(0, maxCount), func(t *model.Team) *int { return &t.CallerConcurrency }).perInstance(),
}

var poolFields = []field[model.Pool]{
	newField("kind", readKind, func(p *model.Pool) *model.ServerKind { return &p.Kind }),
	newField("default_tier", readTier, func(p *model.Pool) *model.Tier { return &p.DefaultTier }),
	newField("default_deadline", readDuration, func(p *model.Pool) *time.Duration { return &p.DefaultDeadline }),
	newField("max_deadline", readDuration, func(p *model.Pool) *time.Duration { return &p.MaxDeadline }),
	newField("max_body_bytes", intInRange(1, maxBody), func(p *model.Pool) *int { return &p.MaxBody }),
	newField("max_waiting", intInRange(0, maxCount), func(p *model.Pool) *int { return &p.MaxWaiting }),
	newField("max_tokens", intInRange(1, maxCount), func(p *model.Pool) *int { return &p.MaxTokens }),
	newField(fieldServersPerDomain, intInRange(0, maxPerDomain), func(p *model.Pool) *int { return &p.ServersPerDomain }),
	newField("weight_bytes", readBytes, func(p *model.Pool) *int64 { return &p.WeightBytes }),
}

var placementFields = []field[model.Placement]{
	newField("loads_at_once", intInRange(1, maxPerDomain), func(p *model.Placement) *int { return &p.LoadsAtOnce }),
	newField("bytes_per_second", readBytes, func(p *model.Placement) *int64 { return &p.BytesPerSecond }),
	newField("models_per_engine", intInRange(1, maxModels), func(p *model.Placement) *int { return &p.ModelsPerEngine }),
	newField("settle", readDuration, func(p *model.Placement) *time.Duration { return &p.Settle }),
	newField("hold", readDuration, func(p *model.Placement) *time.Duration { return &p.Hold }),
}

// fieldServersPerDomain is the only pool field that an exception may set for a single failure
// domain.
const fieldServersPerDomain = "servers_per_domain"

func findField[T any](table []field[T], name string) (field[T], bool) {
	for _, f := range table {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

// floatInRange returns a reader of numbers from low to high.
func floatInRange(low, high float64) func(*node) (any, string) {
	return func(n *node) (any, string) {
		v, ok := n.scalar.(float64)
		if !ok || math.IsNaN(v) || v < low || v > high {
			return nil, fmt.Sprintf("want a number from %g to %g", low, high)
		}
		return v, ""
	}
}

// intInRange returns a reader of whole numbers from low to high.
func intInRange(low, high int) func(*node) (any, string) {
	return func(n *node) (any, string) {
		v, ok := n.scalar.(float64)
		if !ok || v != math.Trunc(v) || v < float64(low) || v > float64(high) {
			return nil, fmt.Sprintf("want a whole number from %d to %d", low, high)
		}
		return int(v), ""
	}
}

func readBytes(n *node) (any, string) {
	v, reason := intInRange(0, maxBytes)(n)
	if reason != "" {
		return nil, reason
	}
	return int64(v.(int)), ""
}

func readBool(n *node) (any, string) {
	v, ok := n.scalar.(bool)
	if !ok {
		return nil, "want true or false"
	}
	return v, ""
}

func readTier(n *node) (any, string) {
	text, _ := n.scalar.(string)
	t, err := model.ParseTier(text)
	if err != nil {
		return nil, "want urgent, interactive, standard or batch"
	}
	return t, ""
}

func readKind(n *node) (any, string) {
	switch n.scalar {
	case "engine":
		return model.EngineServer, ""
	case "plain":
		return model.PlainServer, ""
	}
	return nil, "want engine or plain"
}

func readDuration(n *node) (any, string) {
	text, _ := n.scalar.(string)
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > maxDeadline {
		return nil, "want a duration from 1ms to 1h, such as 30s"
	}
	return d, ""
}

func readText(n *node) (string, bool) {
	text, ok := n.scalar.(string)
	return text, ok && n.kind == scalarNode
}
