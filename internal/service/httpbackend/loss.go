package httpbackend

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/clock"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/event"
	"briaryard/internal/metric"
)

// serverState is what a new connection shows about a server whose answer was lost.
type serverState string

const (
	// serverEnded means that the connection was refused: nothing listens at the address any more.
	serverEnded serverState = "ended"
	// serverOpen means that the server accepts connections.
	serverOpen serverState = "open"
	// serverUnreachable means that neither can be told.
	serverUnreachable serverState = "unreachable"
)

// lossCheckTimeout bounds the check of a server. A refusal takes one round trip.
const lossCheckTimeout = 400 * time.Millisecond

// checkAfterLoss finds out whether the server has ended, if the call was lost before the first event of
// its answer. A lost connection alone does not tell a server that has ended from one that reset it.
func (c *call) checkAfterLoss(ctx context.Context) {
	if c.lossCause == nil || len(c.out.Parts) == 0 || ctx.Err() != nil {
		return
	}
	after := clock.Boot().Sub(c.startedAt)
	state := c.dialServer(ctx)
	c.metrics.Counter(metric.CallsLost, string(state)).Inc(1)
	if state == serverEnded {
		c.observe(quarantine.Sighting{Parts: c.out.Parts, Crash: quarantine.CrashID{Server: c.out.Server.ID, Incarnation: c.out.Server.Incarnation}, SentAt: c.startedAt})
	}
	c.log.Emit(event.CallLost, c.out.ID.String(), c.out.Server.ID, c.out.Server.Incarnation, after, string(state), c.out.Parts, c.lossCause.Error())
}

// observeBegin reports that an answer has begun, if there is evidence against parts of its prompt. A failure
// says nothing about them.
func (c *call) observeBegin(status int) {
	if status < http.StatusMultipleChoices && c.evidence.Load().Suspected(c.out.Parts) {
		c.observe(quarantine.Sighting{Parts: c.out.Parts})
	}
}

// dialServer opens a connection to the server and closes it.
func (c *call) dialServer(ctx context.Context) serverState {
	d := net.Dialer{Timeout: lossCheckTimeout}
	probe, err := d.DialContext(ctx, "tcp", c.out.Server.Address)
	switch {
	case err == nil:
		// Nothing was sent on it.
		_ = probe.Close()
		return serverOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return serverEnded
	}
	return serverUnreachable
}
