package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"briaryard/internal/service/frontannounce"
	"briaryard/internal/trust"
)

const (
	interval = 500 * time.Millisecond
	timeout  = time.Second
	// maxReply bounds what is read of an answer.
	maxReply = 4 << 10
)

// Run announces to the first instance that answers, and from then on to that one until it
// stops answering. The context ends it.
func Run(ctx context.Context, instances []string, current func() frontannounce.Announcement) {
	RunSecured(ctx, nil, instances, current)
}

// RunSecured is Run with TLS and a token as outgoing says.
func RunSecured(ctx context.Context, outgoing *trust.Outgoing, instances []string, current func() frontannounce.Announcement) {
	client := &http.Client{Timeout: timeout, Transport: outgoing.Transport(&http.Transport{}), CheckRedirect: trust.NoRedirects}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	home := 0
	// raised is the lowest incarnation to announce after one was removed.
	var raised uint64
	for {
		for range instances {
			a := current()
			a.Incarnation = max(a.Incarnation, raised)
			status := send(ctx, client, instances[home], a)
			if status == http.StatusConflict {
				raised = a.Incarnation + 1
			}
			if status == http.StatusOK || status == http.StatusConflict {
				break
			}
			home = (home + 1) % len(instances)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send returns the status of the answer, or zero without one.
func send(ctx context.Context, client *http.Client, instance string, a frontannounce.Announcement) int {
	body, err := json.Marshal(a)
	if err != nil {
		return 0
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance+"/v1/backends", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	// A connection whose answer was not read to its end is not used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReply))
	_ = response.Body.Close()
	return response.StatusCode
}
