package httpserve

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"briaryard/internal/fault"
)

// ProblemTypePrefix precedes the code in a problem type.
const ProblemTypePrefix = "urn:briaryard:problem:"

// Problem is a problem document (RFC 9457) with the run state of the request.
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	RunState string `json:"run_state"`
	Request  string `json:"request,omitempty"`
}

// ProblemOf returns the problem document of a failure.
func ProblemOf(f fault.Fault, request string) Problem {
	m := fault.MappingOf(f)
	return Problem{
		Type: ProblemTypePrefix + string(m.Code), Title: m.Title, Status: m.Status,
		Detail: f.Error(), RunState: m.RunState.String(), Request: request,
	}
}

// WriteProblem answers with the problem document of a failure.
func WriteProblem(w http.ResponseWriter, f fault.Fault, request string) {
	p := ProblemOf(f, request)
	if after := fault.RetryAfterOf(f); after > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
