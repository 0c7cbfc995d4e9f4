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

// smallSpec describes a fleet of 5 instances, 3 of them voters, and one backend server of each
// kind.
func smallSpec() fleetSpec {
	s := deploymentSpec(reserveNetwork())
	s.instances, s.voters, s.engines, s.bookings = 5, 3, 1, 1
	return s
}

// executions returns how often the booking stand-in executed each key.
func (f *fleet) executions() map[string]int {
	response, err := http.Get("http://" + f.bookingAddress(1) + "/standin/executions")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var e record.Executions
	Expect(json.NewDecoder(response.Body).Decode(&e)).To(Succeed())
	return e.Executed
}

// sendBooking sends one attempt with a key to an instance and returns the status and the body of
// the answer. The status is zero if the connection broke.
func (f *fleet) sendBooking(instance int, key string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callerAddress(instance)+"/v1/services/booking/book", strings.NewReader(key))
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
	// Guards against a booking that runs twice, different answers for one key, and an answer
	// without an execution, while an instance that may own the claim of the key or the leader of
	// the control group is killed.
	It("runs at most once while 200 callers retry it at every instance", func() {
		const callers, rounds = 200, 4
		f := newFleet(smallSpec())
		for round := range rounds {
			key := fmt.Sprintf("round-%d", round)
			var open sync.WaitGroup
			var distinctAnswers sync.Map
			var answered atomic.Int64
			for c := range callers {
				open.Go(func() {
					defer GinkgoRecover()
					for n := range 20 {
						status, body := f.sendBooking((c+n)%f.fleetSpec.instances+1, key)
						switch {
						case status == http.StatusOK:
							distinctAnswers.Store(body, true)
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
			victim := instanceID(4 + round%2)
			if round%2 == 1 {
				victim = f.controlLeader(4)
			}
			f.killAndRestart(victim, 2*time.Second)
			open.Wait()
			answers := 0
			distinctAnswers.Range(func(any, any) bool { answers++; return true })
			GinkgoWriter.Printf("%s: executed %d, %d callers got %d different answers\n", key, f.executions()[key], answered.Load(), answers)
			Expect(f.executions()[key]).To(BeNumerically("<=", 1))
			Expect(answers).To(BeNumerically("<=", 1))
			if answers > 0 {
				Expect(f.executions()[key]).To(Equal(1))
			}
		}
	})
})

var _ = Describe("an instance that was down", func() {
	// Guards against an instance that serves under an old configuration after a restart: a voter
	// and an instance without a data folder miss 300 changes and must serve only under the last
	// one.
	It("serves only under the last of 300 changes", func() {
		const changes = 300
		f := newFleet(smallSpec())
		f.instances[instanceID(3)].kill()
		f.instances[instanceID(5)].kill()
		file := filepath.Join(f.folder, "config.yaml")
		for n := range changes {
			changed := strings.Replace(config, "max_tokens: 512", fmt.Sprintf("max_tokens: %d", 600+n), 1)
			Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
			out, err := runCommand("config", "apply", "--address", f.operatorAddress(1)+","+f.operatorAddress(2), "--operator", "proving", "--base", fmt.Sprint(n+1), file)
			Expect(err).NotTo(HaveOccurred(), out)
		}
		for _, i := range []int{3, 5} {
			f.instances[instanceID(i)].start()
			Eventually(func() error { return f.ready(i) }, startTimeout).Should(Succeed())
			s, err := f.status(i)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Revision).To(Equal(uint64(changes + 1)))
			Expect(strings.Count(f.instances[instanceID(i)].out.String(), `"config.in_force"`)).To(Equal(2), "one revision before the kill and one after")
		}
	})
})
