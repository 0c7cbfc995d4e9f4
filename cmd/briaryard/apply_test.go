package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/operator"
)

// operatorServer is an operator endpoint that answers the first change with control-unavailable
// and accepts the ones after it. It records the change ids that it receives.
type operatorServer struct {
	mu     sync.Mutex
	status operator.Status
	ids    []string
}

func (e *operatorServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.URL.Path == operator.PathStatus:
		httpserve.WriteJSON(w, http.StatusOK, e.status)
	case r.Method == http.MethodGet:
		httpserve.WriteJSON(w, http.StatusOK, operator.Config{Revision: 4, Content: fleetConfig})
	default:
		var a operator.Apply
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.ids = append(e.ids, a.ChangeID)
		if len(e.ids) == 1 {
			httpserve.WriteProblem(w, &fault.ControlUnavailable{Operation: "the change"}, "")
			return
		}
		httpserve.WriteJSON(w, http.StatusOK, operator.Applied{Revision: a.Number, ChangeID: a.ChangeID})
	}
}

func instance(id, state string, withdrawn bool) operator.Instance {
	return operator.Instance{ID: id, State: state, Withdrawn: withdrawn}
}

var _ = Describe("apply with --wait", func() {
	var e *operatorServer
	apply := func(timeout string) (string, int) {
		server := httptest.NewServer(e)
		defer server.Close()
		path := writeFile("new.yaml", strings.Replace(fleetConfig, "512", "600", 1))
		_, errors, code := runCommand("config", "apply", path, "--operator", "o", "--wait", "--timeout", timeout,
			"--address", strings.TrimPrefix(server.URL, "http://"))
		return errors, code
	}

	// Guards against a resent change with a new id, which would conflict with the first one.
	It("resends with the same id and does not wait for instances that take no new requests", func() {
		e = &operatorServer{status: operator.Status{
			Members: operator.Members{Instances: []operator.Instance{
				instance("done", "alive", false), instance("withdrawn", "alive", true), instance("leaving", "leaving", false),
				instance("stopping", "alive", false), instance("gone", "gone", false),
			}},
			Confirmed: []operator.Confirmation{{Instance: "done", Revision: 5}, {Instance: "stopping", Revision: 4, Stopping: true}},
		}}
		errors, code := apply("20s")
		Expect(code).To(Equal(0), errors)
		Expect(e.ids).To(HaveLen(2))
		Expect(e.ids[0]).To(Equal(e.ids[1]))
		Expect(errors).To(ContainSubstring("revision 5: 4 of 4 instances confirmed"))
	})

	// Guards against success before all instances have confirmed: the operator would rely on
	// limits that are not in force yet.
	It("fails with the list of instances that have not confirmed", func() {
		e = &operatorServer{status: operator.Status{
			Members:   operator.Members{Instances: []operator.Instance{instance("old", "alive", false), instance("silent", "suspect", false)}},
			Confirmed: []operator.Confirmation{{Instance: "old", Revision: 4}},
		}}
		errors, code := apply("1ms")
		Expect(code).To(Equal(fault.ExitUnavailable))
		Expect(errors).To(ContainSubstring("revision 5 is accepted but not yet confirmed by old, silent"))
	})
})
