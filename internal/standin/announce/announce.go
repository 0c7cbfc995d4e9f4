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
	heartbeatInterval = 500 * time.Millisecond
	requestTimeout    = time.Second
	// maxResponseBytes bounds what is read of a response.
	maxResponseBytes = 4 << 10
)

// Run sends an announcement to the instances in turn until one accepts it, and from then on
// heartbeats to that one until one fails. It returns when the context ends.
func Run(ctx context.Context, instances []string, current func() frontannounce.Announcement) {
	RunSecured(ctx, nil, instances, current)
}

// RunSecured is Run with the TLS settings and token of outgoing.
func RunSecured(ctx context.Context, outgoing *trust.Outgoing, instances []string, current func() frontannounce.Announcement) {
	client := &http.Client{Timeout: requestTimeout, Transport: outgoing.Transport(&http.Transport{}), CheckRedirect: trust.NoRedirects}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	// home is the index of the instance that the announcements go to.
	home := 0
	// minIncarnation is the lowest incarnation to announce after the instance has removed one.
	var minIncarnation uint64
	for {
		for range instances {
			a := current()
			a.Incarnation = max(a.Incarnation, minIncarnation)
			status := send(ctx, client, instances[home], a)
			if status == http.StatusConflict {
				minIncarnation = a.Incarnation + 1
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

// send returns the status of the response, or zero if there is none.
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
	// A connection is reused only if its response was read to the end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
	return response.StatusCode
}
