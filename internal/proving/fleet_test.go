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

// shape describes a fleet.
type shape struct {
	// net is the first two parts of the loopback addresses. Each spec and each run has its
	// own, so that no connection of another one is taken for one of this fleet.
	net                        string
	instances, voters, domains int
	engines, bookings          int
	slots                      int
	tokenTime                  time.Duration
	config                     string
	// engineFlags are added to the flags of each engine.
	engineFlags []string
}

// fleet is a set of processes with a relay before each peer address and each engine.
type fleet struct {
	shape
	folder    string
	instances map[string]*process
	peers     map[string]*relay.Relay
	engines   map[string]*process
	toEngine  map[string]*relay.Relay
	bookings  []*process
	// crashed holds the caller addresses of instances that were killed.
	crashed map[string]bool
}

func (f *fleet) ip(i int) string             { return fmt.Sprintf("%s.0.%d", f.net, i) }
func (f *fleet) callers(i int) string        { return f.ip(i) + ":8080" }
func (f *fleet) servers(i int) string        { return f.ip(i) + ":8081" }
func (f *fleet) operators(i int) string      { return f.ip(i) + ":8082" }
func (f *fleet) engineAddress(i int) string  { return fmt.Sprintf("%s.1.%d:9000", f.net, i) }
func (f *fleet) bookingAddress(i int) string { return fmt.Sprintf("%s.2.%d:9000", f.net, i) }

// specs counts the networks of this run.
var specs int

// network returns the first two parts of addresses that no other spec or run uses: a listener
// reserves them until the spec has ended. Two runs at the same time once took the same ones.
func network() string {
	const first, count = 50, 200
	for range count {
		specs++
		prefix := fmt.Sprintf("127.%d", first+(os.Getpid()+specs)%count)
		if l, err := net.Listen("tcp", prefix+".255.1:7000"); err == nil {
			DeferCleanup(l.Close)
			return prefix
		}
	}
	Fail("no network is free")
	return ""
}

// id returns names that sort like numbers: the smaller id keeps a doubled connection.
func id(i int) string { return fmt.Sprintf("i%02d", i) }

// newFleet starts the processes and waits until every instance has the configuration.
func newFleet(s shape) *fleet {
	f := &fleet{
		shape: s, folder: GinkgoT().TempDir(), instances: make(map[string]*process), peers: make(map[string]*relay.Relay),
		engines: make(map[string]*process), toEngine: make(map[string]*relay.Relay), crashed: make(map[string]bool),
	}
	for i := 1; i <= s.instances; i++ {
		f.peers[id(i)] = newRelay(f.ip(i) + ":7000")
	}
	for i := 1; i <= s.instances; i++ {
		f.instances[id(i)] = start(id(i), f.serveArgs(i)...)
	}
	for i := 1; i <= s.engines; i++ {
		f.startEngine(i)
	}
	for i := 1; i <= s.bookings; i++ {
		f.bookings = append(f.bookings, start(fmt.Sprintf("booking-%d", i), "standin", "booking", "--id", fmt.Sprintf("booking-%d", i),
			"--address", f.bookingAddress(i), "--slots", "16", "--failure-domain", f.domain(i), "--instances", f.announceTo(i)))
	}
	f.apply(s.config)
	f.awaitServers(s.engines + s.bookings)
	return f
}

func newRelay(target string) *relay.Relay {
	r, err := relay.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

func (f *fleet) domain(i int) string { return fmt.Sprintf("domain-%d", (i-1)%f.domains+1) }

func (f *fleet) serveArgs(i int) []string {
	var peers, voters []string
	for j := 1; j <= f.voters; j++ {
		peers = append(peers, f.peers[id(j)].Address())
		voters = append(voters, id(j))
	}
	args := []string{
		"serve", "--id", id(i), "--failure-domain", f.domain(i), "--fleet-token", "proving", "--address-ttl", "2s",
		"--caller-address", f.callers(i), "--server-address", f.servers(i), "--operator-address", f.operators(i),
		"--peer-address", f.ip(i) + ":7000", "--advertise-peer-address", f.peers[id(i)].Address(),
		"--peers", strings.Join(peers, ","), "--voters", strings.Join(voters, ","),
	}
	if i <= f.voters {
		args = append(args, "--data-folder", filepath.Join(f.folder, id(i)))
	}
	return args
}

// announceTo returns the instances that a backend server announces itself to, in order.
func (f *fleet) announceTo(i int) string {
	var to []string
	for k := range 4 {
		to = append(to, f.servers((i+k*5)%f.shape.instances+1))
	}
	return strings.Join(to, ",")
}

func (f *fleet) startEngine(i int) {
	name := fmt.Sprintf("engine-%d", i)
	f.toEngine[name] = newRelay(f.engineAddress(i))
	flags := []string{
		"standin", "engine", "--id", name, "--address", f.engineAddress(i),
		"--advertise", f.toEngine[name].Address(), "--slots", fmt.Sprint(f.slots), "--token-time", f.tokenTime.String(),
		"--generation", fmt.Sprintf("g%d", (i-1)%3+1), "--failure-domain", f.domain(i), "--instances", f.announceTo(i),
	}
	f.engines[name] = start(name, append(flags, f.engineFlags...)...)
}

// run runs a command of the program and returns its output.
func run(args ...string) (string, error) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	return string(out), err
}

// apply makes a configuration the one in force at every instance.
func (f *fleet) apply(config string) {
	file := filepath.Join(f.folder, "config.yaml")
	Expect(os.WriteFile(file, []byte(config), 0o600)).To(Succeed())
	Eventually(func() (string, error) {
		return run("config", "apply", "--address", f.operators(1)+","+f.operators(2), "--operator", "proving", "--wait", file)
	}, startTimeout).Should(ContainSubstring("accepted"))
}

// status asks an instance for its picture of the fleet.
func (f *fleet) status(i int) (operator.Status, error) {
	var s operator.Status
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.operators(i)+operator.PathStatus, nil)
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

// awaitServers waits until every instance takes requests and knows all backend servers.
func (f *fleet) awaitServers(n int) {
	for i := 1; i <= f.shape.instances; i++ {
		Eventually(func() (int, error) {
			s, err := f.status(i)
			return len(s.Servers), err
		}, startTimeout).Should(Equal(n))
		Eventually(func() error { return f.ready(i) }, startTimeout).Should(Succeed())
	}
}

// ready returns nil if an instance answers a call.
func (f *fleet) ready(i int) error {
	return load.Ready(context.Background(), "http://"+f.callers(i)+"/v1/services/booking/stock")
}

// post asks a stand-in to change its behaviour.
func post(address, path string) {
	response, err := http.Post("http://"+address+path, "text/plain", nil)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}

// number returns the number of an instance id.
func number(id string) int {
	var n int
	_, err := fmt.Sscanf(id, "i%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// crash kills an instance and starts it again after a while with the same data folder.
func (f *fleet) crash(id string, restartAfter time.Duration) {
	GinkgoWriter.Printf("%s kill %s\n", time.Now().Format(time.TimeOnly), id)
	f.crashed[f.callers(number(id))] = true
	f.instances[id].kill()
	if restartAfter > 0 {
		time.Sleep(restartAfter)
		GinkgoWriter.Printf("%s start %s\n", time.Now().Format(time.TimeOnly), id)
		f.instances[id].run()
	}
}

// isolate cuts an instance off from all others, in silence.
func (f *fleet) isolate(name string) {
	GinkgoWriter.Printf("%s isolate %s\n", time.Now().Format(time.TimeOnly), name)
	f.peers[name].Block(relay.Both)
	for other, r := range f.peers {
		if other != name {
			r.Isolate(f.ip(number(name)))
		}
	}
}

// load drives the fleet for a time and returns the judgement.
func (f *fleet) load(mix string, rate float64, d time.Duration, seed uint64) *load.Report {
	m, err := load.MixByName(mix)
	Expect(err).NotTo(HaveOccurred())
	o := load.Options{Mix: m, Rate: rate, Duration: d, Seed: seed, Domain: "domain-1"}
	for i := 1; i <= f.shape.instances; i++ {
		o.Addresses = append(o.Addresses, f.callers(i))
	}
	for i := 1; i <= f.shape.engines; i++ {
		o.Executions = append(o.Executions, f.engineAddress(i))
	}
	for i := 1; i <= f.shape.bookings; i++ {
		o.Executions = append(o.Executions, f.bookingAddress(i))
	}
	report, err := load.Run(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	report.Print(GinkgoWriter)
	return report
}

// trace returns the log lines of all processes that name the request or key of a broken
// promise, in the order of each process.
func (f *fleet) trace(r *load.Report) string {
	const maxLines = 200
	var lines []string
	for _, e := range r.Examples {
		lines = append(lines, fmt.Sprintf("%s: %s %s", e.Promise, e.ID, e.Detail))
	}
	for _, p := range f.processes() {
		for line := range strings.Lines(p.out.String()) {
			if len(lines) < maxLines && slices.ContainsFunc(r.Examples, func(e load.Example) bool { return e.ID != "" && strings.Contains(line, e.ID) }) {
				lines = append(lines, p.name+" "+strings.TrimSpace(line))
			}
		}
	}
	return strings.Join(lines, "\n")
}

func (f *fleet) processes() []*process {
	all := slices.Concat(slices.Collect(maps.Values(f.instances)), slices.Collect(maps.Values(f.engines)), f.bookings)
	slices.SortFunc(all, func(a, b *process) int { return strings.Compare(a.name, b.name) })
	return all
}
