package frontcaller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// Request headers.
const (
	teamHeader     = "Briaryard-Team"
	callerHeader   = "Briaryard-Caller"
	tierHeader     = "Briaryard-Tier"
	deadlineHeader = "Briaryard-Deadline-Ms"
	keyHeader      = "Idempotency-Key"
	// requestHeader carries the request id in the response to a chat completion or service call.
	requestHeader = "Briaryard-Request"
)

const (
	maxKeyLength  = 255
	maxNameLength = 128
	maxDeadlineMS = 24 * 60 * 60 * 1000
	// eventRingCapacity bounds the events between the transfer duty and one caller's connection.
	// Data that does not fit is merged with later data, so a small ring only bounds the number of
	// writes.
	eventRingCapacity = 16
)

// newSubmission returns a submission with a new id and the values of the request headers.
func (s *Service) newSubmission(r *http.Request) (port.Submission, fault.Fault) {
	sub := port.Submission{
		ID:     s.entry.NewRequestID(),
		Team:   model.TeamID(r.Header.Get(teamHeader)),
		Caller: model.CallerID(r.Header.Get(callerHeader)),
		Key:    r.Header.Get(keyHeader),
		Events: ring.New[model.AnswerEvent]("answer", eventRingCapacity, ring.Refuse),
	}
	if sub.Caller == "" {
		sub.Caller = model.CallerID(hostOf(r.RemoteAddr))
	}
	if f := checkLengths(sub); f != nil {
		return sub, f
	}
	if text := r.Header.Get(tierHeader); text != "" {
		tier, err := model.ParseTier(text)
		if err != nil {
			return sub, &fault.InvalidHeader{Header: tierHeader, Reason: err.Error()}
		}
		sub.Tier = &tier
	}
	if text := r.Header.Get(deadlineHeader); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > maxDeadlineMS {
			return sub, &fault.InvalidHeader{Header: deadlineHeader, Reason: "want milliseconds from 1 to 86400000"}
		}
		sub.Timeout = time.Duration(ms) * time.Millisecond
	}
	return sub, nil
}

// checkLengths bounds the lengths of the team, the caller and the idempotency key.
func checkLengths(sub port.Submission) fault.Fault {
	switch {
	case len(sub.Team) > maxNameLength:
		return &fault.InvalidHeader{Header: teamHeader, Reason: "longer than 128 bytes"}
	case len(sub.Caller) > maxNameLength:
		return &fault.InvalidHeader{Header: callerHeader, Reason: "longer than 128 bytes"}
	case len(sub.Key) > maxKeyLength:
		return &fault.InvalidHeader{Header: keyHeader, Reason: "longer than 255 bytes"}
	}
	return nil
}

// readBody reads a body of at most Options.MaxBody bytes.
func (s *Service) readBody(r *http.Request) ([]byte, fault.Fault) {
	body, err := io.ReadAll(io.LimitReader(r.Body, s.options.MaxBody+1))
	if err != nil {
		return nil, &fault.InvalidRequest{Field: "body", Reason: err.Error()}
	}
	if int64(len(body)) > s.options.MaxBody {
		return nil, &fault.BodyTooLarge{Limit: int(s.options.MaxBody)}
	}
	return body, nil
}
