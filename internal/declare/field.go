package declare

import (
	"fmt"
	"math"
	"time"

	"briaryard/internal/model"
)

// field describes one field of a team or a pool: how its value is read, where it is kept,
// and whether an exception may set it for a single instance or failure domain. Defaults,
// declarations and exceptions all use the same table.
type field[T any] struct {
	name string
	// read returns the value, or the reason why it cannot be used.
	read func(n *node) (any, string)
	set  func(t *T, v any)
	get  func(t *T) any
	// local means that each instance applies the field by itself, so that it can differ
	// between instances.
	local bool
}

func of[T, V any](name string, read func(*node) (any, string), at func(*T) *V) field[T] {
	return field[T]{
		name: name, read: read,
		set: func(t *T, v any) { *at(t) = v.(V) },
		get: func(t *T) any { return *at(t) },
	}
}

func (f field[T]) perInstance() field[T] {
	f.local = true
	return f
}

// Largest values. A value above them is a slip of the keyboard: the design size has 3,200
// requests/s and 50,000 waiting requests in a pool.
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
	of("weight", decimal(0.001, maxWeight), func(t *model.Team) *float64 { return &t.Weight }),
	of("highest_tier", readTier, func(t *model.Team) *model.Tier { return &t.HighestTier }),
	of("lower_tier", readBool, func(t *model.Team) *bool { return &t.LowerTier }),
	of("rate_per_second", decimal(0, maxRate), func(t *model.Team) *float64 { return &t.RatePerSecond }).perInstance(),
	of("burst", whole(0, maxCount), func(t *model.Team) *int { return &t.Burst }).perInstance(),
	of("concurrency", whole(0, maxCount), func(t *model.Team) *int { return &t.Concurrency }).perInstance(),
	of("caller_rate_per_second", decimal(0, maxRate), func(t *model.Team) *float64 { return &t.CallerRatePerSecond }).perInstance(),
	of("caller_concurrency", whole(0, maxCount), func(t *model.Team) *int { return &t.CallerConcurrency }).perInstance(),
}

var poolFields = []field[model.Pool]{
	of("kind", readKind, func(p *model.Pool) *model.ServerKind { return &p.Kind }),
	of("default_tier", readTier, func(p *model.Pool) *model.Tier { return &p.DefaultTier }),
	of("default_deadline", readDuration, func(p *model.Pool) *time.Duration { return &p.DefaultDeadline }),
	of("max_deadline", readDuration, func(p *model.Pool) *time.Duration { return &p.MaxDeadline }),
	of("max_body_bytes", whole(1, maxBody), func(p *model.Pool) *int { return &p.MaxBody }),
	of("max_waiting", whole(0, maxCount), func(p *model.Pool) *int { return &p.MaxWaiting }),
	of("max_tokens", whole(1, maxCount), func(p *model.Pool) *int { return &p.MaxTokens }),
	of(fieldServersPerDomain, whole(0, maxPerDomain), func(p *model.Pool) *int { return &p.ServersPerDomain }),
	of("weight_bytes", readBytes, func(p *model.Pool) *int64 { return &p.WeightBytes }),
}

var placementFields = []field[model.Placement]{
	of("loads_at_once", whole(1, maxPerDomain), func(p *model.Placement) *int { return &p.LoadsAtOnce }),
	of("bytes_per_second", readBytes, func(p *model.Placement) *int64 { return &p.BytesPerSecond }),
	of("models_per_engine", whole(1, maxModels), func(p *model.Placement) *int { return &p.ModelsPerEngine }),
	of("settle", readDuration, func(p *model.Placement) *time.Duration { return &p.Settle }),
	of("hold", readDuration, func(p *model.Placement) *time.Duration { return &p.Hold }),
}

// fieldServersPerDomain is the only field of a pool that an exception may set for a single
// failure domain.
const fieldServersPerDomain = "servers_per_domain"

func findField[T any](table []field[T], name string) (field[T], bool) {
	for _, f := range table {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func decimal(low, high float64) func(*node) (any, string) {
	return func(n *node) (any, string) {
		v, ok := n.scalar.(float64)
		if !ok || math.IsNaN(v) || v < low || v > high {
			return nil, fmt.Sprintf("want a number from %g to %g", low, high)
		}
		return v, ""
	}
}

func whole(low, high int) func(*node) (any, string) {
	return func(n *node) (any, string) {
		v, ok := n.scalar.(float64)
		if !ok || v != math.Trunc(v) || v < float64(low) || v > float64(high) {
			return nil, fmt.Sprintf("want a whole number from %d to %d", low, high)
		}
		return int(v), ""
	}
}

func readBytes(n *node) (any, string) {
	v, reason := whole(0, maxBytes)(n)
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
