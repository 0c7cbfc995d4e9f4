// Package record counts the executions of a stand-in backend server, so that a test can compare
// them with the answers that callers got.
package record

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"briaryard/internal/httpserve"
)

// leavingGrace is how long after its announcement a leaving server may still get new requests.
const leavingGrace = 3 * time.Second

// Record counts executions by key or request id.
type Record struct {
	mu           sync.Mutex
	executed     map[string]int
	total        int
	leavingSince time.Time
	// afterLeaving counts the executions more than leavingGrace after leavingSince.
	afterLeaving int
}

// New returns an empty record.
func New() *Record { return &Record{executed: make(map[string]int)} }

// AddExecution counts one execution and returns how often the key or request id has been executed.
// An empty id counts in the total only.
func (r *Record) AddExecution(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if !r.leavingSince.IsZero() && time.Since(r.leavingSince) > leavingGrace {
		r.afterLeaving++
	}
	if id != "" {
		r.executed[id]++
	}
	return r.executed[id]
}

// SetLeaving marks the server as leaving from now on.
func (r *Record) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince.IsZero() {
		r.leavingSince = time.Now()
	}
}

// Leaving reports whether the server is leaving.
func (r *Record) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leavingSince.IsZero()
}

// Count returns how often a key or request id has been executed.
func (r *Record) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executed[id]
}

// Executed returns the number of executions by key or request id.
func (r *Record) Executed() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.executed)
}

// Total returns the number of executions with and without a key or request id.
func (r *Record) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Executions is the JSON form of a record.
type Executions struct {
	Executed     map[string]int `json:"executed"`
	Total        int            `json:"total"`
	AfterLeaving int            `json:"admitted_after_leaving"`
}

// Register adds the endpoints that tests use: one returns the record, the other marks the server
// as leaving.
func (r *Record) Register(routes *mux.Router) {
	routes.HandleFunc("/standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		e := Executions{Executed: maps.Clone(r.executed), Total: r.total, AfterLeaving: r.afterLeaving}
		r.mu.Unlock()
		httpserve.WriteJSON(w, http.StatusOK, e)
	}).Methods(http.MethodGet)
	routes.HandleFunc("/standin/leave", func(w http.ResponseWriter, _ *http.Request) {
		r.SetLeaving()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}
