package booking

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"briaryard/internal/httpserve"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/record"
)

// Options configures a booking service.
type Options struct {
	ID      string
	Service string
	Domain  string
	Slots   int
	// Delay is the duration of one call.
	Delay time.Duration
}

// Service is a running stand-in for a booking service.
type Service struct {
	options     Options
	incarnation uint64

	record *record.Record
}

// New returns a booking service whose incarnation is the current time.
func New(options Options) *Service {
	options.Slots = max(options.Slots, 1)
	return &Service{options: options, incarnation: uint64(time.Now().UnixNano()), record: record.New()}
}

// SetLeaving makes the service announce from now on that it is leaving.
func (s *Service) SetLeaving() { s.record.SetLeaving() }

// Executed returns how often each key was executed.
func (s *Service) Executed() map[string]int { return s.record.Executed() }

// Total returns the number of executions with and without a key.
func (s *Service) Total() int { return s.record.Total() }

// Announcement returns the current announcement with the given address.
func (s *Service) Announcement(address string) frontannounce.Announcement {
	return frontannounce.Announcement{
		ID: s.options.ID, Incarnation: s.incarnation, Address: address, FailureDomain: s.options.Domain,
		Kind: "plain", Service: s.options.Service, Slots: s.options.Slots, Leaving: s.record.Leaving(),
	}
}

// Handler serves the booking calls and the endpoints of the execution record.
func (s *Service) Handler() http.Handler {
	routes := mux.NewRouter()
	s.record.Register(routes)
	routes.PathPrefix("/").HandlerFunc(s.execute)
	return routes
}

// result is the JSON response to a call.
type result struct {
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution"`
	Echo      string `json:"echo,omitempty"`
}

// execute counts a call to any path and answers it after the delay.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, fmt.Sprintf("cannot read body: %v", err), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	execution := s.record.AddExecution(key)
	timer := time.NewTimer(s.options.Delay)
	defer timer.Stop()
	<-timer.C
	httpserve.WriteJSON(w, http.StatusOK, result{Path: r.URL.Path, Key: key, Execution: execution, Echo: string(body)})
}
