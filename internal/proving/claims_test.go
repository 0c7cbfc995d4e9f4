package proving

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/standin/record"
)

// small is a fleet with 3 voters and one backend server of each kind.
func small() shape {
	s := today(network())
	s.instances, s.voters, s.engines, s.bookings = 5, 3, 1, 1
	return s
}

// executed asks the booking stand-in how often each key ran.
func (f *fleet) executed() map[string]int {
	response, err := http.Get("http://" + f.bookingAddress(1) + "/standin/executions")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var e record.Executions
	Expect(json.NewDecoder(response.Body).Decode(&e)).To(Succeed())
	return e.Executed
}

// book sends one attempt with a key and returns the status and the body, or zero if the
// connection broke.
func (f *fleet) book(instance int, key string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers(instance)+"/v1/services/booking/book", strings.NewReader(key))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

var _ = Describe("one idempotency key", func() {
	// Guards against a booking that runs twice, two different answers for one key, and a
	// not_run for a key that ran, while owners and control leaders are killed.
	It("runs at most once while 200 callers retry it at every instance", func() {
		const callers, rounds = 200, 4
		f := newFleet(small())
		for round := range rounds {
			key := fmt.Sprintf("round-%d", round)
			var open sync.WaitGroup
			var whole sync.Map
			var answered atomic.Int64
			for c := range callers {
				open.Go(func() {
					defer GinkgoRecover()
					for n := range 20 {
						status, body := f.book((c+n)%f.shape.instances+1, key)
						switch {
						case status == http.StatusOK:
							whole.Store(body, true)
							answered.Add(1)
							return
						case strings.Contains(body, `"may_have_run"`) && strings.Contains(body, "outcome-unknown"):
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			time.Sleep(time.Duration(round*15) * time.Millisecond)
			victim := id(4 + round%2)
			if round%2 == 1 {
				victim = f.leader(4)
			}
			f.crash(victim, 2*time.Second)
			open.Wait()
			answers := 0
			whole.Range(func(any, any) bool { answers++; return true })
			GinkgoWriter.Printf("%s: executed %d, %d callers got %d different answers\n", key, f.executed()[key], answered.Load(), answers)
			Expect(f.executed()[key]).To(BeNumerically("<=", 1))
			Expect(answers).To(BeNumerically("<=", 1))
			if answers > 0 {
				Expect(f.executed()[key]).To(Equal(1))
			}
		}
	})
})

var _ = Describe("an instance that was down", func() {
	// Guards against a restart that brings old settings back: a voter and an instance
	// without a disk miss 300 changes and must serve only under the last one.
	It("serves only under the last of 300 changes", func() {
		const changes = 300
		f := newFleet(small())
		f.instances[id(3)].kill()
		f.instances[id(5)].kill()
		file := filepath.Join(f.folder, "config.yaml")
		for n := range changes {
			changed := strings.Replace(config, "max_tokens: 512", fmt.Sprintf("max_tokens: %d", 600+n), 1)
			Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
			out, err := run("config", "apply", "--address", f.operators(1)+","+f.operators(2), "--operator", "proving", "--base", fmt.Sprint(n+1), file)
			Expect(err).NotTo(HaveOccurred(), out)
		}
		for _, i := range []int{3, 5} {
			f.instances[id(i)].run()
			Eventually(func() error { return f.ready(i) }, startTimeout).Should(Succeed())
			s, err := f.status(i)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Revision).To(Equal(uint64(changes + 1)))
			Expect(strings.Count(f.instances[id(i)].out.String(), `"config.in_force"`)).To(Equal(2), "one revision before the kill and one after")
		}
	})
})
