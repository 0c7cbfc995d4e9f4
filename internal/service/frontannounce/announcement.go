package frontannounce

import (
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Announcement is the JSON form of an announcement or heartbeat.
type Announcement struct {
	ID            string       `json:"id"`
	Incarnation   uint64       `json:"incarnation"`
	Address       string       `json:"address"`
	FailureDomain string       `json:"failure_domain"`
	Kind          string       `json:"kind"`
	Models        []string     `json:"models,omitempty"`
	Service       string       `json:"service,omitempty"`
	Adapters      []string     `json:"adapters,omitempty"`
	Slots         int          `json:"slots"`
	Generation    string       `json:"generation,omitempty"`
	ChecksFencing bool         `json:"checks_fencing"`
	Leaving       bool         `json:"leaving,omitempty"`
	Order         *Order       `json:"order,omitempty"`
	Load          *Load        `json:"load,omitempty"`
	CacheEvents   []CacheEvent `json:"cache_events,omitempty"`
}

// Order is the newest order that an engine has accepted.
type Order struct {
	ID    string `json:"id,omitempty"`
	State string `json:"state"`
}

// Load is a load report. AgeMS is the age of the measurement when the report was sent. It is
// used instead of a timestamp because the clocks of two machines differ.
type Load struct {
	AgeMS         int64   `json:"age_ms"`
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	PrefillTokens int     `json:"prefill_tokens"`
	CacheUsed     float64 `json:"cache_used"`
}

// CacheEvent is a cache event: a prefix was added to the cache of an engine or evicted from it.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Evicted bool   `json:"evicted,omitempty"`
	Prefix  uint64 `json:"prefix,string"`
	Tokens  int    `json:"tokens"`
}

const (
	maxSlots = 1 << 16
	// maxLoadAge bounds the age of a load report, so that it cannot overflow a duration.
	maxLoadAge = 24 * time.Hour
)

// toModel validates the announcement and converts it. now is the time of its arrival.
func (a *Announcement) toModel(now time.Time) (port.Announcement, fault.Fault) {
	if f := a.validate(); f != nil {
		return port.Announcement{}, f
	}
	srv := model.BackendServer{
		ID: model.BackendServerID(a.ID), Incarnation: model.Incarnation(a.Incarnation),
		Address: a.Address, Domain: model.FailureDomain(a.FailureDomain), Adapters: a.Adapters,
		Slots: a.Slots, Generation: a.Generation, ChecksFencing: a.ChecksFencing,
	}
	if a.Leaving {
		srv.State = model.Leaving
	}
	if a.Order != nil {
		srv.Order.ID = a.Order.ID
		srv.Order.State, _ = model.ParseOrderState(a.Order.State)
	}
	if a.Kind == model.PlainServer.String() {
		srv.Kind = model.PlainServer
		srv.Pools = []model.PoolID{model.PoolID(a.Service)}
	}
	for _, m := range a.Models {
		srv.Pools = append(srv.Pools, model.PoolID(m))
	}
	out := port.Announcement{Server: srv}
	if a.Load != nil {
		out.Load = a.loadReport(now)
	}
	for _, e := range a.CacheEvents {
		out.Cache = append(out.Cache, model.CacheEvent{
			Server: srv.ID, Incarnation: srv.Incarnation, Seq: e.Seq, Evicted: e.Evicted, Prefix: e.Prefix, Tokens: e.Tokens,
		})
	}
	return out, nil
}

// maxOrderID bounds an order id in bytes. An id consists of two numbers and is always shorter.
const maxOrderID = 64

func (o *Order) valid() bool {
	state, ok := model.ParseOrderState(o.State)
	return ok && state != model.OrderUnreported && len(o.ID) <= maxOrderID
}

// loadReport returns the load report with the time of the measurement by the clock of this instance.
func (a *Announcement) loadReport(now time.Time) *model.LoadReport {
	// The number is bounded before it becomes a duration, which it may not fit.
	age := time.Duration(min(max(a.Load.AgeMS, 0), maxLoadAge.Milliseconds())) * time.Millisecond
	return &model.LoadReport{
		Server: model.BackendServerID(a.ID), Incarnation: model.Incarnation(a.Incarnation), At: now.Add(-age),
		Running: a.Load.Running, Queued: a.Load.Queued, PrefillTokens: a.Load.PrefillTokens,
		CacheUsed: a.Load.CacheUsed, Adapters: a.Adapters,
	}
}

// validate returns a failure for the first invalid field, or nil.
func (a *Announcement) validate() fault.Fault {
	switch {
	case a.ID == "":
		return &fault.InvalidRequest{Field: "id", Reason: "must not be empty"}
	case a.Incarnation == 0:
		return &fault.InvalidRequest{Field: "incarnation", Reason: "must be positive"}
	case a.Address == "":
		return &fault.InvalidRequest{Field: "address", Reason: "must not be empty"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &fault.InvalidRequest{Field: "slots", Reason: "must be from 1 to 65536"}
	case a.Kind == model.EngineServer.String() && len(a.Models) == 0 && a.Order == nil:
		return &fault.InvalidRequest{Field: "models", Reason: "an engine must name a model unless it takes orders"}
	case a.Order != nil && !a.Order.valid():
		return &fault.InvalidRequest{Field: "order", Reason: "want an id of at most 64 bytes and the state none, running, done or failed"}
	case a.Kind == model.PlainServer.String() && a.Service == "":
		return &fault.InvalidRequest{Field: "service", Reason: "a plain server must name its service"}
	case a.Kind != model.EngineServer.String() && a.Kind != model.PlainServer.String():
		return &fault.InvalidRequest{Field: "kind", Reason: "want engine or plain"}
	}
	return nil
}
