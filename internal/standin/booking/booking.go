package booking

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"briaryard/internal/httpserve"
	"briaryard/internal/service/frontannounce"
)

// Options describe a booking service.
type Options struct {
	ID      string
	Service string
	Domain  string
	Slots   int
	// Delay is the time that one call takes.
	Delay time.Duration
}

// Service is a running stand-in.
type Service struct {
	options     Options
	incarnation uint64

	mu       sync.Mutex
	executed map[string]int
	total    int
	leaving  bool
}

// New returns a booking service.
func New(options Options) *Service {
	options.Slots = max(options.Slots, 1)
	return &Service{options: options, incarnation: uint64(time.Now().UnixNano()), executed: make(map[string]int)}
}

// SetLeaving makes the service announce that it leaves.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Executed returns how often each key was executed.
func (s *Service) Executed() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executed))
	for key, n := range s.executed {
		out[key] = n
	}
	return out
}

// Total returns the number of executions with and without a key.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Announcement returns the current announcement for an address.
func (s *Service) Announcement(address string) frontannounce.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return frontannounce.Announcement{
		ID: s.options.ID, Incarnation: s.incarnation, Address: address, FailureDomain: s.options.Domain,
		Kind: "plain", Service: s.options.Service, Slots: s.options.Slots, Leaving: s.leaving,
	}
}

// Handler serves the booking calls and, at /executions, the counts.
func (s *Service) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/executions", s.executions).Methods(http.MethodGet)
	routes.PathPrefix("/").HandlerFunc(s.execute)
	return routes
}

func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, s.Executed())
}

// result is the answer to a call.
type result struct {
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution"`
	Echo      string `json:"echo,omitempty"`
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, fmt.Sprintf("cannot read body: %v", err), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.total++
	if key != "" {
		s.executed[key]++
	}
	n := s.executed[key]
	s.mu.Unlock()
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	<-timer.C
	httpserve.WriteJSON(w, http.StatusOK, result{Path: r.URL.Path, Key: key, Execution: n, Echo: string(body)})
}
