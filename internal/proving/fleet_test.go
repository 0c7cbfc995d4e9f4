package proving

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/load"
	"briaryard/internal/operator"
	"briaryard/internal/standin/relay"
)

func TestProving(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proving")
}

// fleetSpec describes the processes of a fleet and its configuration.
type fleetSpec struct {
	// net is the first two octets of the loopback addresses. Each spec and each run has its own,
	// so that a fleet never accepts a connection of another one.
	net                        string
	instances, voters, domains int
	engines, bookings          int
	slots                      int
	tokenTime                  time.Duration
	config                     string
	// engineFlags are appended to the flags of each engine.
	engineFlags []string
}

// fleet holds the processes of a fleet and the relays in front of each peer address and engine.
type fleet struct {
	fleetSpec
	folder       string
	instances    map[string]*process
	peerRelays   map[string]*relay.Relay
	engines      map[string]*process
	engineRelays map[string]*relay.Relay
	bookings     []*process
	// killed holds the caller addresses of instances that were killed; their connections may
	// break.
	killed map[string]bool
}

func (f *fleet) ip(i int) string              { return fmt.Sprintf("%s.0.%d", f.net, i) }
func (f *fleet) callerAddress(i int) string   { return f.ip(i) + ":8080" }
func (f *fleet) serverAddress(i int) string   { return f.ip(i) + ":8081" }
func (f *fleet) operatorAddress(i int) string { return f.ip(i) + ":8082" }
func (f *fleet) engineAddress(i int) string   { return fmt.Sprintf("%s.1.%d:9000", f.net, i) }
func (f *fleet) bookingAddress(i int) string  { return fmt.Sprintf("%s.2.%d:9000", f.net, i) }

// networksTried counts the networks that this run has tried to reserve.
var networksTried int

// reserveNetwork returns the first two octets of addresses that no other spec or run uses. A
// listener reserves them until the spec has ended; without it, two concurrent runs can pick the
// same ones.
func reserveNetwork() string {
	const first, count = 50, 200
	for range count {
		networksTried++
		prefix := fmt.Sprintf("127.%d", first+(os.Getpid()+networksTried)%count)
		if l, err := net.Listen("tcp", prefix+".255.1:7000"); err == nil {
			DeferCleanup(l.Close)
			return prefix
		}
	}
	Fail("no free loopback network")
	return ""
}

// instanceID returns the id of instance i. The ids sort like the numbers: of two connections
// between the same instances, the one that the smaller id dialed is kept.
func instanceID(i int) string { return fmt.Sprintf("i%02d", i) }

// newFleet starts the processes, applies the configuration and waits until every instance takes
// requests and knows all backend servers.
func newFleet(s fleetSpec) *fleet {
	f := &fleet{
		fleetSpec: s, folder: GinkgoT().TempDir(), instances: make(map[string]*process), peerRelays: make(map[string]*relay.Relay),
		engines: make(map[string]*process), engineRelays: make(map[string]*relay.Relay), killed: make(map[string]bool),
	}
	for i := 1; i <= s.instances; i++ {
		f.peerRelays[instanceID(i)] = newRelay(f.ip(i) + ":7000")
	}
	for i := 1; i <= s.instances; i++ {
		f.instances[instanceID(i)] = start(instanceID(i), f.serveArgs(i)...)
	}
	for i := 1; i <= s.engines; i++ {
		f.startEngine(i)
	}
	for i := 1; i <= s.bookings; i++ {
		f.bookings = append(f.bookings, start(fmt.Sprintf("booking-%d", i), "standin", "booking", "--id", fmt.Sprintf("booking-%d", i),
			"--address", f.bookingAddress(i), "--slots", "16", "--failure-domain", f.domain(i), "--instances", f.announceTargets(i)))
	}
	f.apply(s.config)
	f.awaitServers(s.engines + s.bookings)
	return f
}

// newRelay starts a relay that forwards to the target until the spec ends.
func newRelay(target string) *relay.Relay {
	r, err := relay.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

// domain returns the failure domain of process i; processes are assigned in turn.
func (f *fleet) domain(i int) string { return fmt.Sprintf("domain-%d", (i-1)%f.domains+1) }

// serveArgs returns the command line of instance i. Voters have a data folder.
func (f *fleet) serveArgs(i int) []string {
	var peers, voters []string
	for j := 1; j <= f.voters; j++ {
		peers = append(peers, f.peerRelays[instanceID(j)].Address())
		voters = append(voters, instanceID(j))
	}
	args := []string{
		"serve", "--id", instanceID(i), "--failure-domain", f.domain(i), "--fleet-token", "proving", "--address-ttl", "2s",
		"--caller-address", f.callerAddress(i), "--server-address", f.serverAddress(i), "--operator-address", f.operatorAddress(i),
		"--peer-address", f.ip(i) + ":7000", "--advertise-peer-address", f.peerRelays[instanceID(i)].Address(),
		"--peers", strings.Join(peers, ","), "--voters", strings.Join(voters, ","),
	}
	if i <= f.voters {
		args = append(args, "--data-folder", filepath.Join(f.folder, instanceID(i)))
	}
	return args
}

// announceTargets returns the server addresses that backend server i announces itself to, in order.
func (f *fleet) announceTargets(i int) string {
	var to []string
	for k := range 4 {
		to = append(to, f.serverAddress((i+k*5)%f.fleetSpec.instances+1))
	}
	return strings.Join(to, ",")
}

// startEngine starts a stand-in engine that announces the address of a relay in front of it.
func (f *fleet) startEngine(i int) {
	name := fmt.Sprintf("engine-%d", i)
	f.engineRelays[name] = newRelay(f.engineAddress(i))
	flags := []string{
		"standin", "engine", "--id", name, "--address", f.engineAddress(i),
		"--advertise", f.engineRelays[name].Address(), "--slots", fmt.Sprint(f.slots), "--token-time", f.tokenTime.String(),
		"--generation", fmt.Sprintf("g%d", (i-1)%3+1), "--failure-domain", f.domain(i), "--instances", f.announceTargets(i),
	}
	f.engines[name] = start(name, append(flags, f.engineFlags...)...)
}

// runCommand runs a command of the program and returns its output and error output.
func runCommand(args ...string) (string, error) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	return string(out), err
}

// apply applies a configuration and waits until it is in force at every instance.
func (f *fleet) apply(config string) {
	file := filepath.Join(f.folder, "config.yaml")
	Expect(os.WriteFile(file, []byte(config), 0o600)).To(Succeed())
	Eventually(func() (string, error) {
		return runCommand("config", "apply", "--address", f.operatorAddress(1)+","+f.operatorAddress(2), "--operator", "proving", "--wait", file)
	}, startTimeout).Should(ContainSubstring("accepted"))
}

// status returns the status of the fleet as instance i sees it.
func (f *fleet) status(i int) (operator.Status, error) {
	var s operator.Status
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.operatorAddress(i)+operator.PathStatus, nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// awaitServers waits until every instance knows n backend servers and takes requests.
func (f *fleet) awaitServers(n int) {
	for i := 1; i <= f.fleetSpec.instances; i++ {
		Eventually(func() (int, error) {
			s, err := f.status(i)
			return len(s.Servers), err
		}, startTimeout).Should(Equal(n))
		Eventually(func() error { return f.ready(i) }, startTimeout).Should(Succeed())
	}
}

// ready returns nil once instance i answers a call to the booking service.
func (f *fleet) ready(i int) error {
	return load.WaitReady(context.Background(), "http://"+f.callerAddress(i)+"/v1/services/booking/stock")
}

// postStandin sends a POST to a control path of a stand-in, which changes its behaviour.
func postStandin(address, path string) {
	response, err := http.Post("http://"+address+path, "text/plain", nil)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}

// instanceNumber returns the number in an instance id.
func instanceNumber(id string) int {
	var n int
	_, err := fmt.Sscanf(id, "i%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// killAndRestart kills an instance and starts it again after restartAfter with the same data
// folder; zero does not start it again.
func (f *fleet) killAndRestart(id string, restartAfter time.Duration) {
	GinkgoWriter.Printf("%s kill %s\n", time.Now().Format(time.TimeOnly), id)
	f.killed[f.callerAddress(instanceNumber(id))] = true
	f.instances[id].kill()
	if restartAfter > 0 {
		time.Sleep(restartAfter)
		GinkgoWriter.Printf("%s start %s\n", time.Now().Format(time.TimeOnly), id)
		f.instances[id].start()
	}
}

// isolate stops all traffic between an instance and the others without closing connections.
func (f *fleet) isolate(name string) {
	GinkgoWriter.Printf("%s isolate %s\n", time.Now().Format(time.TimeOnly), name)
	f.peerRelays[name].Block(relay.Both)
	for other, r := range f.peerRelays {
		if other != name {
			r.Isolate(f.ip(instanceNumber(name)))
		}
	}
}

// runLoad runs a mix against the fleet and returns the report of the checks.
func (f *fleet) runLoad(mix string, rate float64, d time.Duration, seed uint64) *load.Report {
	m, err := load.MixByName(mix)
	Expect(err).NotTo(HaveOccurred())
	o := load.Options{Mix: m, Rate: rate, Duration: d, Seed: seed, FailureDomain: "domain-1"}
	for i := 1; i <= f.fleetSpec.instances; i++ {
		o.Addresses = append(o.Addresses, f.callerAddress(i))
	}
	for i := 1; i <= f.fleetSpec.engines; i++ {
		o.StandinAddresses = append(o.StandinAddresses, f.engineAddress(i))
	}
	for i := 1; i <= f.fleetSpec.bookings; i++ {
		o.StandinAddresses = append(o.StandinAddresses, f.bookingAddress(i))
	}
	report, err := load.Run(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	report.Print(GinkgoWriter)
	return report
}

// violationLog returns the violated guarantees of a report and the log lines of all processes that
// contain their request id or key. The lines are grouped by process, in the order of its output.
func (f *fleet) violationLog(r *load.Report) string {
	const maxLines = 200
	var lines []string
	for _, e := range r.ViolationExamples {
		lines = append(lines, fmt.Sprintf("%s: %s %s", e.Guarantee, e.ID, e.Detail))
	}
	for _, p := range f.processes() {
		for line := range strings.Lines(p.out.String()) {
			if len(lines) < maxLines && slices.ContainsFunc(r.ViolationExamples, func(e load.Violation) bool { return e.ID != "" && strings.Contains(line, e.ID) }) {
				lines = append(lines, p.name+" "+strings.TrimSpace(line))
			}
		}
	}
	return strings.Join(lines, "\n")
}

// processes returns all processes of the fleet, sorted by name.
func (f *fleet) processes() []*process {
	all := slices.Concat(slices.Collect(maps.Values(f.instances)), slices.Collect(maps.Values(f.engines)), f.bookings)
	slices.SortFunc(all, func(a, b *process) int { return strings.Compare(a.name, b.name) })
	return all
}
