package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/fault"
	"briaryard/internal/port"
)

// orderAnswer bounds the wait for the answer to an order, which an engine gives before it
// carries the order out.
const orderAnswer = 2 * time.Second

// orderRequest is the body of an order.
type orderRequest struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// order sends an order once. The last steps before the write are the check that the sender's
// lease is still valid and that the connection is not older than port.OrderWriteLimit.
//
// Both checks use Go's monotonic clock, CLOCK_MONOTONIC on Linux. It goes on while the process
// is stopped (SIGSTOP, a debugger, a frozen control group), so that a process that was stopped
// before the check sees that its lease has run out. It does not count the time for which the
// whole machine is suspended.
//
// A process that is stopped after the check and before the write sends its order when it
// continues, however long that takes. A time limit on the write does not prevent it: the
// stopped thread goes on with the system call before any timer of the process runs. What
// remains is caught at the engine:
//   - one that checks fencing tokens refuses the order once it has seen a newer token;
//   - one that ignores tokens and drops connections on which no whole order has arrived within
//     port.OrderArrivalLimit never reads the order, because the connection was opened before the
//     check. The next holder waits for this limit on top of the lease;
//   - one that does neither carries the order out. The window is the few instructions between
//     reading the clock and the write system call.
func (c *client) order(ctx context.Context, o port.OrderCall) (placement.Outcome, error) {
	data, err := c.encodeOrder(o)
	if err != nil {
		return placement.NotSent, err
	}
	dialing, stop := context.WithDeadline(ctx, o.Until)
	defer stop()
	began := time.Now()
	conn, err := c.dial(dialing, "tcp", o.Address)
	if err != nil {
		return placement.NotSent, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(orderAnswer)); err != nil {
		return placement.NotSent, err
	}
	if err := writeInTime(conn, data, began, o.Until); err != nil {
		if late, ok := err.(*fault.OrderLate); ok {
			return placement.NotSent, late
		}
		return placement.Unknown, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return placement.Unknown, err
	}
	_ = response.Body.Close()
	return outcomeOf(response.StatusCode)
}

// encodeOrder returns the whole request, so that it can be written in one piece.
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

// writeInTime writes an order unless the lease has run out or the connection is too old.
// Nothing may come between the check and the write.
func writeInTime(conn net.Conn, data []byte, began, until time.Time) error {
	if now := time.Now(); !now.Before(until) || now.Sub(began) >= port.OrderWriteLimit {
		return &fault.OrderLate{After: now.Sub(began)}
	}
	_, err := conn.Write(data)
	return err
}

// outcomeOf returns what the status of the answer says. A failure inside the engine leaves
// open whether it took the order.
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
