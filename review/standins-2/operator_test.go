//go:build review2

package standins

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// client is the HTTP client of the operator and of servers: a new connection for each call, and a second for the
// answer.
var client = &http.Client{
	Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends a JSON document and returns the status and the body of the answer; status 0 stands for none.
func call(method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// config returns a valid configuration with a version.
func config(version int, extra map[string]any) []byte {
	d := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-book", "host": "a.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 6000 + version, "slo_ms": 100, "priority": 2, "service": "desk", "max_attempts": 1, "public": true, "sticky": false, "resumable": false},
			{"name": "r-look", "host": "a.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 30000, "slo_ms": 100, "priority": 2, "service": "desk", "max_attempts": 2, "public": true, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for k, v := range extra {
		d[k] = v
	}
	data, _ := json.Marshal(d)
	return data
}

// putConfig sends a configuration to a machine once.
func putConfig(r *record, who string, m *machine, version int) int {
	began := time.Now()
	status, _ := call(http.MethodPut, "http://"+m.control()+"/v1/config", config(version, nil))
	if status != 0 {
		r.line(who, "PUT config version %d at %s: %d after %d ms", version, m.name, status, time.Since(began).Milliseconds())
	}
	return status
}

// readConfig reads the configuration at a machine. It returns 0 without a clear answer.
func readConfig(r *record, m *machine) int {
	status, body := call(http.MethodGet, "http://"+m.control()+"/v1/config", nil)
	var d struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &d) != nil {
		r.line("operator", "GET config at %s: %d", m.name, status)
		return 0
	}
	r.line("operator", "GET config at %s: 200, version %d", m.name, d.Version)
	return d.Version
}
