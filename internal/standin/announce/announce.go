package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"briaryard/internal/service/frontannounce"
)

const (
	interval = 500 * time.Millisecond
	timeout  = time.Second
)

// Run announces to the first instance that answers, and from then on to that one until it
// stops answering. The context ends it.
func Run(ctx context.Context, instances []string, current func() frontannounce.Announcement) {
	client := &http.Client{Timeout: timeout}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	home := 0
	for {
		for range instances {
			if send(ctx, client, instances[home], current()) {
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

func send(ctx context.Context, client *http.Client, instance string, a frontannounce.Announcement) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance+"/v1/backends", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
