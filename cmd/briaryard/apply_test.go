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

// endpoint answers like an instance whose control group loses the first answer.
type endpoint struct {
	mu     sync.Mutex
	status operator.Status
	ids    []string
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.URL.Path == operator.PathStatus:
		httpserve.WriteJSON(w, http.StatusOK, e.status)
	case r.Method == http.MethodGet:
		httpserve.WriteJSON(w, http.StatusOK, operator.Config{Revision: 4, Content: fleet})
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
	var e *endpoint
	apply := func(timeout string) (string, int) {
		server := httptest.NewServer(e)
		defer server.Close()
		path := write("new.yaml", strings.Replace(fleet, "512", "600", 1))
		_, errors, code := command("config", "apply", path, "--operator", "o", "--wait", "--timeout", timeout,
			"--address", strings.TrimPrefix(server.URL, "http://"))
		return errors, code
	}

	// A second id would make the resent change conflict with itself.
	It("asks again with the same id and does not wait for instances that take no new work", func() {
		e = &endpoint{status: operator.Status{
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

	// An operator who takes acceptance for confirmation acts on limits that do not hold yet.
	It("ends with a typed failure that names the instances which have not confirmed", func() {
		e = &endpoint{status: operator.Status{
			Members:   operator.Members{Instances: []operator.Instance{instance("old", "alive", false), instance("silent", "suspect", false)}},
			Confirmed: []operator.Confirmation{{Instance: "old", Revision: 4}},
		}}
		errors, code := apply("1ms")
		Expect(code).To(Equal(fault.ExitUnavailable))
		Expect(errors).To(ContainSubstring("revision 5 is accepted but not yet confirmed by old, silent"))
	})
})
