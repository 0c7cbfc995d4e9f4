package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/standin/engine"
)

func post(t *testing.T, e *engine.Engine, fence int, kind, rest string) int {
	t.Helper()
	body := fmt.Sprintf(`{"id": "%d/1", "fence": %d, "kind": %q%s}`, fence, fence, kind, rest)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(body)))
	return w.Code
}

// Guards against a stand-in that refuses old fencing tokens in the variant that ignores them, or
// accepts them in the variant that checks them: tests of fencing would then prove nothing.
func TestOnlyTheCheckingVariantRefusesOldTokens(t *testing.T) {
	for checks, want := range map[bool]int{true: http.StatusConflict, false: http.StatusAccepted} {
		g := NewWithT(t)
		e := engine.New(engine.Options{ID: "e", Model: "notes", ChecksFencing: checks})
		g.Expect(post(t, e, 5, "change_role", `, "role": "prefill"`)).To(Equal(http.StatusAccepted))
		g.Eventually(e.Role).Should(Equal("prefill"))
		g.Eventually(func() string { return e.Announcement("a").Order.State }).Should(Equal("done"))
		g.Expect(post(t, e, 4, "unload_model", `, "model": "notes"`)).To(Equal(want))
		g.Expect(e.Orders()).To(HaveLen(2), "refused orders are recorded too")
	}
}

// Guards against a model that is announced before its load time has passed, two orders that run
// at the same time, and calls that are admitted for a model that is not loaded.
func TestOrdersChangeTheAnnouncement(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{ID: "e", Model: "notes", LoadTime: 50 * time.Millisecond})
	state := func() string { return e.Announcement("a").Order.State }
	g.Expect(post(t, e, 1, "load_model", `, "model": "chat"`)).To(Equal(http.StatusAccepted))
	g.Expect(state()).To(Equal("running"))
	g.Expect(post(t, e, 1, "load_adapter", `, "adapter": "x"`)).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(state).Should(Equal("done"))
	g.Expect(e.Announcement("a").Models).To(ConsistOf("notes", "chat"))
	g.Expect(post(t, e, 1, "load_adapter", `, "adapter": "x"`)).To(Equal(http.StatusAccepted))
	g.Eventually(state).Should(Equal("done"))
	g.Expect(e.Announcement("a").Adapters).To(ConsistOf("x"))
	g.Expect(post(t, e, 1, "unload_adapter", `, "adapter": "x"`)).To(Equal(http.StatusAccepted))
	g.Eventually(state).Should(Equal("done"))
	g.Expect(post(t, e, 1, "unload_model", `, "model": "notes"`)).To(Equal(http.StatusAccepted))
	g.Eventually(func() []string { return e.Announcement("a").Models }).Should(ConsistOf("chat"))
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model": "notes", "max_tokens": 1}`)))
	g.Expect(w.Header().Get("Briaryard-Not-Admitted")).To(Equal("true"))
}
