package standins

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// baseConfig returns a config like that of the page, with a tenant, a plain service and a service of engines.
func baseConfig() map[string]any {
	route := func(name, prefix, kind, service string, timeout, slo, priority, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "slo_ms": slo, "priority": priority,
			"service": service, "max_attempts": attempts, "public": false, "sticky": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"routes": []any{
			route("r-book", "/book/", "non_idempotent", "desk", 1500, 100, 2, 1, nil),
			route("r-look", "/look/", "idempotent", "desk", 1500, 100, 2, 2, nil),
			route("r-chat", "/chat/", "streaming", "llm", 15000, 400, 1, 1, map[string]any{"sticky": true, "resumable": false, "gap_slo_ms": 400}),
			route("r-hist", "/hist/", "streaming", "llm", 6000, 500, 0, 2, map[string]any{"sticky": true, "resumable": true, "gap_slo_ms": 400}),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false},
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 520, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 7, "kv_capacity_tokens": 221490, "kv_token_bytes": 262144, "link_mbps": 260000.0, "moves": true, "backups": true,
				"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "t1", "api_keys": []string{"k1"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 108601, "burst": 108601,
		}},
	}
}

// stream writes a stream of events and reports whether the channel is kept.
func stream(c net.Conn, r *http.Request, events int, pause time.Duration) bool {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Briaryard-Attempt-Id"))
	for i := 1; i <= events; i++ {
		e := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}
