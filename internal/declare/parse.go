package declare

import (
	"time"

	"github.com/goccy/go-yaml"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// file is the YAML form of the fleet configuration.
type file struct {
	DefaultTeam string              `yaml:"default_team"`
	Teams       map[string]teamFile `yaml:"teams"`
	Pools       map[string]poolFile `yaml:"pools"`
}

type teamFile struct {
	Weight              float64 `yaml:"weight"`
	HighestTier         string  `yaml:"highest_tier"`
	LowerTier           bool    `yaml:"lower_tier"`
	RatePerSecond       float64 `yaml:"rate_per_second"`
	Burst               int     `yaml:"burst"`
	Concurrency         int     `yaml:"concurrency"`
	CallerRatePerSecond float64 `yaml:"caller_rate_per_second"`
	CallerConcurrency   int     `yaml:"caller_concurrency"`
}

type poolFile struct {
	Kind            string      `yaml:"kind"`
	DefaultTier     string      `yaml:"default_tier"`
	DefaultDeadline string      `yaml:"default_deadline"`
	MaxDeadline     string      `yaml:"max_deadline"`
	MaxBodyBytes    int         `yaml:"max_body_bytes"`
	MaxWaiting      int         `yaml:"max_waiting"`
	MaxTokens       int         `yaml:"max_tokens"`
	Routes          []routeFile `yaml:"routes"`
}

type routeFile struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Idempotent bool   `yaml:"idempotent"`
}

// Defaults of pools that declare nothing else.
const (
	defaultDeadline  = 30 * time.Second
	defaultMaxWait   = 10 * time.Minute
	defaultMaxBody   = 1 << 20
	defaultMaxTokens = 1024
)

// Parse reads and checks a configuration.
func Parse(content []byte) (*model.Config, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(content, &f, yaml.Strict()); err != nil {
		return nil, &fault.InvalidConfig{Field: "document", Reason: err.Error()}
	}
	c := &model.Config{
		DefaultTeam: model.TeamID(f.DefaultTeam),
		Teams:       make(map[model.TeamID]model.Team),
		Pools:       make(map[model.PoolID]model.Pool),
	}
	for id, t := range f.Teams {
		team, err := t.team(id)
		if err != nil {
			return nil, err
		}
		c.Teams[team.ID] = team
	}
	for id, p := range f.Pools {
		pool, err := p.pool(id)
		if err != nil {
			return nil, err
		}
		c.Pools[pool.ID] = pool
	}
	return c, nil
}

func (t teamFile) team(id string) (model.Team, error) {
	highest, err := tier("teams."+id+".highest_tier", t.HighestTier, model.Standard)
	return model.Team{
		ID: model.TeamID(id), Weight: max(t.Weight, 1), HighestTier: highest, LowerTier: t.LowerTier,
		RatePerSecond: t.RatePerSecond, Burst: t.Burst, Concurrency: t.Concurrency,
		CallerRatePerSecond: t.CallerRatePerSecond, CallerConcurrency: t.CallerConcurrency,
	}, err
}

func (p poolFile) pool(id string) (model.Pool, error) {
	out := model.Pool{
		ID: model.PoolID(id), Kind: model.EngineServer, MaxBody: p.MaxBodyBytes,
		MaxWaiting: p.MaxWaiting, MaxTokens: p.MaxTokens,
	}
	switch p.Kind {
	case "engine", "":
	case "plain":
		out.Kind = model.PlainServer
	default:
		return out, &fault.InvalidConfig{Field: "pools." + id + ".kind", Reason: "want engine or plain"}
	}
	var err error
	if out.DefaultTier, err = tier("pools."+id+".default_tier", p.DefaultTier, model.Standard); err != nil {
		return out, err
	}
	if out.DefaultDeadline, err = duration("pools."+id+".default_deadline", p.DefaultDeadline, defaultDeadline); err != nil {
		return out, err
	}
	if out.MaxDeadline, err = duration("pools."+id+".max_deadline", p.MaxDeadline, defaultMaxWait); err != nil {
		return out, err
	}
	if out.MaxBody <= 0 {
		out.MaxBody = defaultMaxBody
	}
	if out.MaxTokens <= 0 {
		out.MaxTokens = defaultMaxTokens
	}
	for _, r := range p.Routes {
		out.Routes = append(out.Routes, model.Route{Method: r.Method, PathPrefix: r.Path, Idempotent: r.Idempotent})
	}
	return out, nil
}

func tier(field, text string, unset model.Tier) (model.Tier, error) {
	if text == "" {
		return unset, nil
	}
	t, err := model.ParseTier(text)
	if err != nil {
		return 0, &fault.InvalidConfig{Field: field, Reason: err.Error()}
	}
	return t, nil
}

func duration(field, text string, unset time.Duration) (time.Duration, error) {
	if text == "" {
		return unset, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, &fault.InvalidConfig{Field: field, Reason: "want a positive duration such as 30s"}
	}
	return d, nil
}
