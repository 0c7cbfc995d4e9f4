package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/fault"
	"briaryard/internal/httpanswer"
	"briaryard/internal/port"
)

// orderAnswerTimeout bounds the wait for the answer to an order. An engine answers before it
// executes the order.
const orderAnswerTimeout = 2 * time.Second

// orderRequest is the JSON body of an order.
type orderRequest struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// order sends an order once. Directly before the write it checks that the sender's lease is
// still valid and that less than port.OrderWriteLimit has passed since the dial began.
//
// Both checks use Go's monotonic clock, CLOCK_MONOTONIC on Linux. It advances while the process
// is stopped (SIGSTOP, a debugger, a frozen cgroup), so a process that was stopped before the
// check detects that its lease has expired. It does not count the time for which the whole
// machine is suspended.
//
// A process that is stopped between the check and the write sends its order when it continues,
// however long that takes. A write deadline does not prevent this: the stopped thread enters the
// system call before any timer of the process fires. Such an order is handled at the engine:
//   - an engine that checks fencing tokens refuses the order once it has seen a newer token;
//   - an engine that ignores tokens, but drops connections on which no complete order has arrived
//     within port.OrderArrivalLimit, never reads the order, because the connection was opened
//     before the check. The next lease holder waits for this limit after the lease has expired;
//   - an engine that does neither executes the order. The window is the few instructions between
//     reading the clock and the write system call.
func (c *client) order(ctx context.Context, o port.OrderCall) (placement.Outcome, error) {
	data, err := c.encodeOrder(o)
	if err != nil {
		return placement.NotSent, err
	}
	dialCtx, stop := context.WithDeadline(ctx, o.Until)
	defer stop()
	dialStart := time.Now()
	conn, err := c.dial(dialCtx, "tcp", o.Address)
	if err != nil {
		return placement.NotSent, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(orderAnswerTimeout)); err != nil {
		return placement.NotSent, err
	}
	if err := writeOrder(conn, data, dialStart, o.Until); err != nil {
		if late, ok := err.(*fault.OrderLate); ok {
			return placement.NotSent, late
		}
		return placement.Unknown, err
	}
	response, err := httpanswer.NewReader(conn).ReadHead(http.MethodPost)
	if err != nil {
		return placement.Unknown, err
	}
	_ = response.Body.Close()
	return outcomeOf(response.StatusCode)
}

// encodeOrder returns the complete HTTP request, so that one write can send it.
func (c *client) encodeOrder(o port.OrderCall) ([]byte, error) {
	body, err := json.Marshal(orderRequest{
		ID: o.Order.ID.String(), Fence: uint64(o.Order.ID.Epoch), Kind: o.Order.Kind.String(),
		Model: string(o.Order.Model), Adapter: o.Order.Adapter, Role: o.Order.Role,
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+o.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	c.outgoing.Authorize(r.Header)
	r.Close = true
	var data bytes.Buffer
	err = r.Write(&data)
	return data.Bytes(), err
}

// writeOrder writes an order unless the lease has expired or the dial began too long ago.
// No code may be added between the check and the write.
func writeOrder(conn net.Conn, data []byte, dialStart, leaseEnd time.Time) error {
	if now := time.Now(); !now.Before(leaseEnd) || now.Sub(dialStart) >= port.OrderWriteLimit {
		return &fault.OrderLate{After: now.Sub(dialStart)}
	}
	_, err := conn.Write(data)
	return err
}

// outcomeOf maps the status of the answer to an outcome. After a failure inside the engine it is
// unknown whether the engine accepted the order.
func outcomeOf(status int) (placement.Outcome, error) {
	failure := &fault.ServerStatus{Status: status}
	switch {
	case status == http.StatusAccepted:
		return placement.Accepted, nil
	case status == http.StatusConflict:
		return placement.RefusedFence, failure
	case status == http.StatusServiceUnavailable || status >= 400 && status < 500:
		return placement.Refused, failure
	}
	return placement.Unknown, failure
}
