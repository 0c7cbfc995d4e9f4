package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	keepAlive = time.Second
	// retention is how long an ended stream can still be resumed.
	retention = 60 * time.Second
)

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	routes := mux.NewRouter().UseEncodedPath()
	routes.HandleFunc("/v1/chat/completions", e.open).Methods(http.MethodPost)
	routes.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	routes.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	routes.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	routes.HandleFunc("/standin/orders", e.listOrders).Methods(http.MethodGet)
	routes.HandleFunc("/standin/slowdown", e.setSlowdown).Methods(http.MethodPost)
	e.record.Register(routes)
	return routes
}

type openRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

func (e *Engine) open(w http.ResponseWriter, r *http.Request) {
	var body openRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(body.Messages, max(body.MaxTokens, 1), cancel)
	e.mu.Lock()
	if reason := e.refusal(id, body.Model); reason != "" {
		e.mu.Unlock()
		cancel()
		w.Header().Set("Briaryard-Not-Admitted", "true")
		http.Error(w, reason, http.StatusConflict)
		return
	}
	e.record.Admit(id)
	e.streams[id] = s
	e.mu.Unlock()
	go func() {
		e.run(ctx, s)
		cancel()
		time.AfterFunc(retention, func() { e.forget(id, s) })
	}()
	e.send(w, r, s, 0)
}

// refusal returns the reason why a call is not admitted, or nothing.
func (e *Engine) refusal(id, model string) string {
	switch {
	case e.refused[id]:
		return "the call was refused before it arrived"
	case model != "" && !slices.Contains(e.models, model):
		return "the model is not loaded"
	}
	return ""
}

func (e *Engine) forget(id string, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
	}
}

func (e *Engine) find(r *http.Request) *stream {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if s == nil || err != nil || from < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.send(w, r, s, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, "malformed id", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"state":%q}`, e.remove(id))
}

// remove cancels a call. One that has not arrived is refused when it does.
func (e *Engine) remove(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		s.cancel()
	}
	if e.record.Count(id) > 0 {
		return "admitted"
	}
	e.refused[id] = true
	return "never_admitted"
}

// send streams an answer from a token on.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, position int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		st := s.from(position)
		for _, token := range st.tokens {
			text, err := json.Marshal(token)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}],\"usage\":{\"prefill_tokens\":%d}}\n\n", position, text, st.prefill)
			position++
		}
		if st.whole {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		}
		_ = flush.Flush()
		if st.finished || st.whole {
			return
		}
		select {
		case <-st.changed:
		case <-ticker.C:
			_, _ = fmt.Fprint(w, ": keep-alive\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// setSlowdown makes the engine slower by a factor without telling anybody.
func (e *Engine) setSlowdown(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "want a positive factor", http.StatusBadRequest)
		return
	}
	e.SetSlowdown(factor)
	w.WriteHeader(http.StatusNoContent)
}
