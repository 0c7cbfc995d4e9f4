package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"briaryard/internal/httpserve"
	"briaryard/internal/model"
)

// Order is an order as it arrived, with what became of it.
type Order struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// At and Outcome are set by the engine.
	At      time.Time `json:"at"`
	Outcome string    `json:"outcome"`
}

// Outcomes of orders in the record.
const (
	OrderAccepted = "accepted"
	OrderOldFence = "old_fence"
	OrderBusy     = "busy"
	OrderLate     = "late"
)

// Orders is the JSON form of the record.
type Orders struct {
	Orders []Order `json:"orders"`
}

type openedKey struct{}

// ConnContext notes when a connection was opened. It is for http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

// Orders returns the orders that arrived, refused ones included.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, Orders{Orders: e.Orders()})
}

// order takes an order and carries it out in the background.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	kind, known := model.ParseOrderKind(o.Kind)
	if !known {
		http.Error(w, "unknown kind of order", http.StatusBadRequest)
		return
	}
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	status := e.admit(&o, opened)
	if status != http.StatusAccepted {
		http.Error(w, o.Outcome, status)
		return
	}
	took := time.Duration(0)
	if kind.Loads() {
		took = e.options.LoadTime
	}
	time.AfterFunc(took, func() { e.carryOut(kind, o) })
	w.WriteHeader(http.StatusAccepted)
}

// admit records an order and returns the status of the answer. An engine has one order at a
// time, whether it checks fencing tokens or not.
func (e *Engine) admit(o *Order, opened time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	o.At, o.Outcome = time.Now(), OrderAccepted
	switch {
	case e.options.ChecksFencing && o.Fence < e.fence:
		o.Outcome, status = OrderOldFence, http.StatusConflict
	case e.options.OrderArrival > 0 && !opened.IsZero() && o.At.Sub(opened) > e.options.OrderArrival:
		o.Outcome, status = OrderLate, http.StatusRequestTimeout
	case e.newest.State == model.OrderRunning.String():
		o.Outcome, status = OrderBusy, http.StatusServiceUnavailable
	default:
		e.newest.ID, e.newest.State = o.ID, model.OrderRunning.String()
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, *o)
	return status
}

// carryOut makes the change of an order. Streams of an unloaded model are finished.
func (e *Engine) carryOut(kind model.OrderKind, o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case model.LoadModel:
		e.models = with(e.models, o.Model)
	case model.UnloadModel:
		e.models = without(e.models, o.Model)
		if len(e.models) == 0 {
			e.adapters = nil
		}
	case model.LoadAdapter:
		e.adapters = with(e.adapters, o.Adapter)
	case model.UnloadAdapter:
		e.adapters = without(e.adapters, o.Adapter)
	case model.ChangeRole:
		e.role = o.Role
	}
	e.newest.State = model.OrderDone.String()
}

// Role returns the role that the last order gave the engine.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

func with(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
