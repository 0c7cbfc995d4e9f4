package model

import "fmt"

// OrderKind states what an order asks an engine to do.
type OrderKind uint8

// Kinds of orders.
const (
	// LoadModel loads a model from the weight store.
	LoadModel OrderKind = iota
	// UnloadModel unloads a model and its adapters; answers in progress are completed.
	UnloadModel
	// LoadAdapter loads an adapter of a model.
	LoadAdapter
	// UnloadAdapter unloads an adapter of a model.
	UnloadAdapter
	// ChangeRole changes the role of the engine. No configuration results in it yet.
	ChangeRole
)

var orderKinds = [...]string{"load_model", "unload_model", "load_adapter", "unload_adapter", "change_role"}

// String returns the form used in orders.
func (k OrderKind) String() string {
	if int(k) < len(orderKinds) {
		return orderKinds[k]
	}
	return fmt.Sprintf("order_kind(%d)", uint8(k))
}

// ParseOrderKind parses the form that String returns.
func ParseOrderKind(text string) (OrderKind, bool) {
	for i, name := range orderKinds {
		if name == text {
			return OrderKind(i), true
		}
	}
	return 0, false
}

// Loads reports whether the order reads from the weight store.
func (k OrderKind) Loads() bool { return k == LoadModel || k == LoadAdapter }

// OrderID identifies an order. Epoch is the fencing token of the lease under which it was issued.
type OrderID struct {
	Epoch Epoch
	Seq   uint64
}

// String returns the form epoch/seq that orders and announcements carry.
func (id OrderID) String() string { return fmt.Sprintf("%d/%d", id.Epoch, id.Seq) }

// Order instructs one engine to make one change.
type Order struct {
	ID      OrderID
	Kind    OrderKind
	Server  BackendServerID
	Model   PoolID
	Adapter string
	// Role is set with ChangeRole.
	Role string
	// Bytes is the declared size of the data to load; zero if none is declared.
	Bytes int64
}

// Done reports whether the engine's record shows that the order was executed.
func (o *Order) Done(s *BackendServer) bool {
	switch o.Kind {
	case LoadModel:
		return s.Serves(o.Model)
	case UnloadModel:
		return !s.Serves(o.Model)
	case LoadAdapter:
		return s.HasAdapter(o.Adapter)
	case UnloadAdapter:
		return !s.HasAdapter(o.Adapter)
	case ChangeRole:
	}
	return false
}

// OrderState is the state of the newest order that an engine has accepted.
type OrderState uint8

// States of an announced order.
const (
	// OrderUnreported means that the engine does not announce its orders.
	OrderUnreported OrderState = iota
	// OrderNone means that the engine has accepted no order since its start.
	OrderNone
	OrderRunning
	OrderDone
	OrderFailed
)

var orderStates = [...]string{"", "none", "running", "done", "failed"}

// String returns the form used in announcements.
func (s OrderState) String() string { return orderStates[min(s, OrderFailed)] }

// ParseOrderState parses the form that String returns.
func ParseOrderState(text string) (OrderState, bool) {
	for i, name := range orderStates {
		if name == text {
			return OrderState(i), true
		}
	}
	return 0, false
}

// AnnouncedOrder is what an engine announces about the newest order that it has accepted.
type AnnouncedOrder struct {
	// ID is the id that the order carried, or empty.
	ID    string
	State OrderState
}
