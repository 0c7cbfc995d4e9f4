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
	// keepAliveInterval is the interval of keep-alive comments on a stream.
	keepAliveInterval = time.Second
	// retention is how long a stream can be resumed after its end.
	retention = 60 * time.Second
)

// Handler serves the protocol of the engine and the endpoints that tests use.
func (e *Engine) Handler() http.Handler {
	routes := mux.NewRouter().UseEncodedPath()
	routes.HandleFunc("/v1/chat/completions", e.createCompletion).Methods(http.MethodPost)
	routes.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	routes.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	routes.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	routes.HandleFunc("/standin/orders", e.listOrders).Methods(http.MethodGet)
	routes.HandleFunc("/standin/slowdown", e.setSlowdown).Methods(http.MethodPost)
	e.record.Register(routes)
	return routes
}

// completionRequest is the body of a completion call.
type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// createCompletion admits or refuses a call and streams its answer. Generation goes on when the
// caller disconnects, so that the stream can be resumed.
func (e *Engine) createCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
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
	e.record.AddExecution(id)
	e.streams[id] = s
	e.mu.Unlock()
	go func() {
		e.run(ctx, s)
		cancel()
		time.AfterFunc(retention, func() { e.deleteStream(id, s) })
	}()
	e.sendStream(w, r, s, 0)
}

// refusal returns the reason why a call is not admitted, or an empty string.
func (e *Engine) refusal(id, model string) string {
	switch {
	case e.refused[id]:
		return "the call was refused before it arrived"
	case model != "" && !slices.Contains(e.models, model):
		return "the model is not loaded"
	}
	return ""
}

// deleteStream removes a stream unless a later call with the same id has replaced it.
func (e *Engine) deleteStream(id string, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
	}
}

// findStream returns the stream that the path names, or nil.
func (e *Engine) findStream(r *http.Request) *stream {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// resume streams the answer of an admitted call from a given token on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if s == nil || err != nil || from < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.sendStream(w, r, s, from)
}

// cancel answers with the state that cancelCall returns.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, "malformed id", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"state":%q}`, e.cancelCall(id))
}

// cancelCall cancels a call and returns whether it was ever admitted. A call that has not
// arrived is refused when it does.
func (e *Engine) cancelCall(id string) string {
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

// sendStream sends an answer as server-sent events, starting with the token at a position.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, s *stream, position int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		st := s.snapshotFrom(position)
		for _, token := range st.tokens {
			text, err := json.Marshal(token)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}],\"usage\":{\"prefill_tokens\":%d}}\n\n", position, text, st.prefill)
			position++
		}
		if st.completed {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		}
		_ = controller.Flush()
		if st.finished || st.completed {
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

// setSlowdown sets the slowdown factor. The announcement does not show it.
func (e *Engine) setSlowdown(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "want a positive factor", http.StatusBadRequest)
		return
	}
	e.SetSlowdown(factor)
	w.WriteHeader(http.StatusNoContent)
}
