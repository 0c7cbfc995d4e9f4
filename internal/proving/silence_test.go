package proving

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/operator"
)

// removalEvents returns the state events of an output that mark a member as gone.
func removalEvents(text string) []string {
	var found []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, `.state"`) && strings.Contains(line, `"gone"`) {
			found = append(found, line)
		}
	}
	return found
}

// getStock sends GET /stock of a plain service to an instance. It returns the status of the answer,
// or zero without an answer, and the duration of the call.
func (f *fleet) getStock(instance int, service string) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callerAddress(instance)+"/v1/services/"+service+"/stock", nil)
	Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, time.Since(began)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, time.Since(began)
}

// serverSeenBy returns the status of a backend server as the observer sees it; it is empty if the
// observer does not know the server.
func (f *fleet) serverSeenBy(observer int, server string) operator.Server {
	s, err := f.status(observer)
	Expect(err).NotTo(HaveOccurred())
	for _, b := range s.Servers {
		if b.ID == server {
			return b
		}
	}
	return operator.Server{}
}

var _ = Describe("an instance that is paused for longer than the removal limit", func() {
	// Guards against an instance that removes live instances and backend servers because it was
	// paused itself, and against a live backend server that no instance routes to after its home
	// instance has become silent.
	It("removes nothing that is alive, and its backend server is kept, adopted and used", func() {
		const paused, server = 5, "repairs-1"
		s := smallSpec()
		s.instances = 6
		s.config += "  repairs: {kind: plain, default_deadline: 8s, routes: [{method: GET, path: /stock, idempotent: true}]}\n"
		f := newFleet(s)
		start(server, "standin", "booking", "--id", server, "--service", "repairs", "--address", f.bookingAddress(9), "--slots", "16",
			"--failure-domain", f.domain(1), "--instances", f.serverAddress(paused)+","+f.serverAddress(4)+","+f.serverAddress(6))
		f.awaitServers(3)
		Expect(f.serverSeenBy(1, server).Home).To(Equal(instanceID(paused)))

		before := make(map[int]int)
		for i := 1; i <= s.instances; i++ {
			before[i] = len(f.instances[instanceID(i)].out.String())
		}
		f.instances[instanceID(paused)].signal(syscall.SIGSTOP)
		stopped := time.Now()
		var callers sync.WaitGroup
		for i := 1; i <= s.instances; i++ {
			if i == paused {
				continue
			}
			callers.Go(func() {
				defer GinkgoRecover()
				longest := time.Duration(0)
				for time.Since(stopped) < 6*time.Second {
					status, took := f.getStock(i, "repairs")
					longest = max(longest, took)
					Expect(status).To(Equal(http.StatusOK), "answer of %s to a call %s after the pause began", instanceID(i), time.Since(stopped))
					time.Sleep(50 * time.Millisecond)
				}
				GinkgoWriter.Printf("%s: longest call while the home instance of %s is paused: %s\n", instanceID(i), server, longest)
			})
		}
		callers.Wait()
		for i := 1; i <= s.instances; i++ {
			if i != paused {
				Expect(f.serverSeenBy(i, server).State).To(Equal("alive"))
				Expect(f.serverSeenBy(i, server).Home).NotTo(Equal(instanceID(paused)))
			}
		}

		f.instances[instanceID(paused)].signal(syscall.SIGCONT)
		// Expiry is held for 3 s after a pause; a wrong removal would follow after that.
		time.Sleep(4 * time.Second)
		for i := 1; i <= s.instances; i++ {
			for _, line := range removalEvents(f.instances[instanceID(i)].out.String()[before[i]:]) {
				Expect(i).NotTo(Equal(paused), "the paused instance removed a member that is alive: %s", line)
				Expect(line).To(ContainSubstring(`"instance":"`+instanceID(paused)+`"`), "%s removed a member that is alive", instanceID(i))
			}
			Expect(f.serverSeenBy(i, server).State).To(Equal("alive"), "as %s sees it", instanceID(i))
			status, err := f.status(i)
			Expect(err).NotTo(HaveOccurred())
			for _, instance := range status.Instances {
				Expect(instance.State).To(Equal("alive"), "%s as %s sees it", instance.ID, instanceID(i))
			}
		}
		code, _ := f.getStock(paused, "repairs")
		Expect(code).To(Equal(http.StatusOK))
	})
})
