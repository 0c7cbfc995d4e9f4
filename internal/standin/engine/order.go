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

// Order is a received order with its arrival time and outcome.
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

// Outcomes of received orders.
const (
	OrderAccepted = "accepted"
	OrderOldFence = "old_fence"
	OrderBusy     = "busy"
	OrderLate     = "late"
)

// Orders is the JSON form of the received orders.
type Orders struct {
	Orders []Order `json:"orders"`
}

// connOpenedKey is the context key of the time at which a connection was opened.
type connOpenedKey struct{}

// ConnContext stores the time at which a connection was opened in its context. It is a
// ConnContext function of http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connOpenedKey{}, time.Now())
}

// Orders returns the orders that arrived, including refused ones.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, Orders{Orders: e.Orders()})
}

// handleOrder executes an accepted order in the background; a load takes the load time.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	opened, _ := r.Context().Value(connOpenedKey{}).(time.Time)
	status := e.acceptOrder(&o, opened)
	if status != http.StatusAccepted {
		http.Error(w, o.Outcome, status)
		return
	}
	delay := time.Duration(0)
	if kind.Loads() {
		delay = e.options.LoadTime
	}
	time.AfterFunc(delay, func() { e.execute(kind, o) })
	w.WriteHeader(http.StatusAccepted)
}

// acceptOrder accepts or refuses an order, records it with its outcome and returns the status of
// the response. An engine runs one order at a time, whether it checks fencing tokens or not.
func (e *Engine) acceptOrder(o *Order, opened time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	o.At, o.Outcome = time.Now(), OrderAccepted
	switch {
	case e.options.ChecksFencing && o.Fence < e.maxFence:
		o.Outcome, status = OrderOldFence, http.StatusConflict
	case e.options.OrderArrival > 0 && !opened.IsZero() && o.At.Sub(opened) > e.options.OrderArrival:
		o.Outcome, status = OrderLate, http.StatusRequestTimeout
	case e.lastAccepted.State == model.OrderRunning.String():
		o.Outcome, status = OrderBusy, http.StatusServiceUnavailable
	default:
		e.lastAccepted.ID, e.lastAccepted.State = o.ID, model.OrderRunning.String()
	}
	e.maxFence = max(e.maxFence, o.Fence)
	e.orders = append(e.orders, *o)
	return status
}

// execute applies an accepted order. Streams of an unloaded model run to their end.
func (e *Engine) execute(kind model.OrderKind, o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case model.LoadModel:
		e.models = addName(e.models, o.Model)
	case model.UnloadModel:
		e.models = removeName(e.models, o.Model)
		if len(e.models) == 0 {
			e.adapters = nil
		}
	case model.LoadAdapter:
		e.adapters = addName(e.adapters, o.Adapter)
	case model.UnloadAdapter:
		e.adapters = removeName(e.adapters, o.Adapter)
	case model.ChangeRole:
		e.role = o.Role
	}
	e.lastAccepted.State = model.OrderDone.String()
}

// Role returns the role that the last executed change_role order set.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// addName returns the names with one more, unless it is empty or already among them.
func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func removeName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
