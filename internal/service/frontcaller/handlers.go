package frontcaller

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// chatRequest is the part of a chat completion request that briaryard reads.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	// Adapter names an adapter of the model.
	Adapter string `json:"adapter"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat answers a chat completion request, as a stream if the caller asks for one.
func (s *Service) chat(w http.ResponseWriter, r *http.Request) {
	sub, f := s.newSubmission(r)
	w.Header().Set(requestHeader, sub.ID.String())
	if f != nil {
		httpserve.WriteProblem(w, f, sub.ID.String())
		return
	}
	request, f := s.readChat(r, &sub)
	if f != nil {
		httpserve.WriteProblem(w, f, sub.ID.String())
		return
	}
	if request.Stream {
		s.serve(r, sub, &streamWriter{w: w, model: request.Model, id: sub.ID.String()})
		return
	}
	s.serve(r, sub, &completionWriter{w: w, model: request.Model, id: sub.ID.String()})
}

// readChat reads the body of a chat completion request into the submission.
func (s *Service) readChat(r *http.Request, sub *port.Submission) (chatRequest, fault.Fault) {
	var request chatRequest
	body, f := s.readBody(r)
	if f != nil {
		return request, f
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, &fault.InvalidRequest{Field: "body", Reason: err.Error()}
	}
	prompt, f := canonicalMessages(request.Messages)
	if f != nil {
		return request, f
	}
	if request.MaxTokens < 0 {
		return request, &fault.InvalidRequest{Field: "max_tokens", Reason: "must not be negative"}
	}
	sub.Pool = model.PoolID(request.Model)
	sub.Kind = model.EngineServer
	sub.Call = model.Call{Model: sub.Pool, Prompt: prompt, MaxTokens: request.MaxTokens, Adapter: request.Adapter}
	return request, nil
}

// canonicalMessages validates the messages and returns them in a canonical encoding, so that
// equal prefixes of two prompts have equal bytes.
func canonicalMessages(raw json.RawMessage) ([]byte, fault.Fault) {
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return nil, &fault.InvalidRequest{Field: "messages", Reason: err.Error()}
	}
	if len(messages) == 0 {
		return nil, &fault.InvalidRequest{Field: "messages", Reason: "must not be empty"}
	}
	prompt, err := json.Marshal(messages)
	if err != nil {
		return nil, &fault.InvalidRequest{Field: "messages", Reason: err.Error()}
	}
	return prompt, nil
}

// plainService answers a call to a plain service.
func (s *Service) plainService(w http.ResponseWriter, r *http.Request) {
	sub, f := s.newSubmission(r)
	w.Header().Set(requestHeader, sub.ID.String())
	if f == nil {
		f = s.readPlain(r, &sub)
	}
	if f != nil {
		httpserve.WriteProblem(w, f, sub.ID.String())
		return
	}
	s.serve(r, sub, &plainWriter{w: w, id: sub.ID.String()})
}

// readPlain reads a call to a plain service into the submission. The path below
// /v1/services/{service} is the path at the service.
func (s *Service) readPlain(r *http.Request, sub *port.Submission) fault.Fault {
	body, f := s.readBody(r)
	if f != nil {
		return f
	}
	service := mux.Vars(r)["service"]
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/"+service)
	if path == "" {
		path = "/"
	}
	sub.Pool = model.PoolID(service)
	sub.Kind = model.PlainServer
	sub.Call = model.Call{
		Method: r.Method, Path: path, Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body, Key: sub.Key,
	}
	return nil
}

// addressList is the JSON list of the instances that callers may use.
type addressList struct {
	TTLSeconds int            `json:"ttl_seconds"`
	Addresses  []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address       string              `json:"address"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
}

// addresses lists the instances that take requests. Those in the caller's failure domain come
// first, or those in the domain of this instance if the caller names none.
func (s *Service) addresses(w http.ResponseWriter, r *http.Request) {
	domain := model.FailureDomain(r.URL.Query().Get("failure_domain"))
	if domain == "" {
		domain = s.options.Domain
	}
	list := addressList{TTLSeconds: s.options.AddressTTL, Addresses: []addressEntry{}}
	for _, i := range usableByDomain(s.membership.Load().Instances, domain) {
		list.Addresses = append(list.Addresses, addressEntry{Address: i.CallerAddress, FailureDomain: i.Domain})
	}
	httpserve.WriteJSON(w, http.StatusOK, list)
}

// usableByDomain returns the instances that are alive and not withdrawn, those of the domain first.
func usableByDomain(instances []model.Instance, domain model.FailureDomain) []model.Instance {
	var sameDomain, otherDomains []model.Instance
	for _, i := range instances {
		switch {
		case i.State != model.Alive || i.Withdrawn:
		case i.Domain == domain:
			sameDomain = append(sameDomain, i)
		default:
			otherDomains = append(otherDomains, i)
		}
	}
	return append(sameDomain, otherDomains...)
}

// hostOf returns the host of a host:port address, or the address itself if it has another form.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
