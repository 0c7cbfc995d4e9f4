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

// removals returns the events of an output that remove a member.
func removals(text string) []string {
	var found []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, `.state"`) && strings.Contains(line, `"gone"`) {
			found = append(found, line)
		}
	}
	return found
}

// stock asks an instance for the stock of a plain service and returns the status of the answer.
func (f *fleet) stock(instance int, service string) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callers(instance)+"/v1/services/"+service+"/stock", nil)
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

// seen returns a backend server as an instance sees it.
func (f *fleet) seen(instance int, server string) operator.Server {
	s, err := f.status(instance)
	Expect(err).NotTo(HaveOccurred())
	for _, b := range s.Servers {
		if b.ID == server {
			return b
		}
	}
	return operator.Server{}
}

var _ = Describe("an instance that is paused for longer than the removal limit", func() {
	// Guards against an observer that removes live instances and backend servers because it
	// was paused itself, and against a live backend server that no instance routes to after
	// its home has gone silent.
	It("removes nothing that is alive, and its backend server is kept, adopted and used", func() {
		const paused, server = 5, "repairs-1"
		s := small()
		s.instances = 6
		s.config += "  repairs: {kind: plain, default_deadline: 8s, routes: [{method: GET, path: /stock, idempotent: true}]}\n"
		f := newFleet(s)
		start(server, "standin", "booking", "--id", server, "--service", "repairs", "--address", f.bookingAddress(9), "--slots", "16",
			"--failure-domain", f.domain(1), "--instances", f.servers(paused)+","+f.servers(4)+","+f.servers(6))
		f.awaitServers(3)
		Expect(f.seen(1, server).Home).To(Equal(id(paused)))

		before := make(map[int]int)
		for i := 1; i <= s.instances; i++ {
			before[i] = len(f.instances[id(i)].out.String())
		}
		f.instances[id(paused)].signal(syscall.SIGSTOP)
		stopped := time.Now()
		var asked sync.WaitGroup
		for i := 1; i <= s.instances; i++ {
			if i == paused {
				continue
			}
			asked.Go(func() {
				defer GinkgoRecover()
				longest := time.Duration(0)
				for time.Since(stopped) < 6*time.Second {
					status, took := f.stock(i, "repairs")
					longest = max(longest, took)
					Expect(status).To(Equal(http.StatusOK), "answer of %s to a call %s after the pause began", id(i), time.Since(stopped))
					time.Sleep(50 * time.Millisecond)
				}
				GinkgoWriter.Printf("%s: longest call while the home of %s is silent: %s\n", id(i), server, longest)
			})
		}
		asked.Wait()
		for i := 1; i <= s.instances; i++ {
			if i != paused {
				Expect(f.seen(i, server).State).To(Equal("alive"))
				Expect(f.seen(i, server).Home).NotTo(Equal(id(paused)))
			}
		}

		f.instances[id(paused)].signal(syscall.SIGCONT)
		// The hold after a pause takes 3 s; a wrong removal would follow it.
		time.Sleep(4 * time.Second)
		for i := 1; i <= s.instances; i++ {
			for _, line := range removals(f.instances[id(i)].out.String()[before[i]:]) {
				Expect(i).NotTo(Equal(paused), "the paused instance removed a member that is alive: %s", line)
				Expect(line).To(ContainSubstring(`"instance":"`+id(paused)+`"`), "%s removed a member that is alive", id(i))
			}
			Expect(f.seen(i, server).State).To(Equal("alive"), "as %s sees it", id(i))
			status, err := f.status(i)
			Expect(err).NotTo(HaveOccurred())
			for _, instance := range status.Instances {
				Expect(instance.State).To(Equal("alive"), "%s as %s sees it", instance.ID, id(i))
			}
		}
		code, _ := f.stock(paused, "repairs")
		Expect(code).To(Equal(http.StatusOK))
	})
})
