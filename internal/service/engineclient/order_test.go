package engineclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/placement"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/standin/engine"
	"briaryard/internal/standin/relay"
)

// orders starts a stand-in engine and returns its address.
func orders(t *testing.T, o engine.Options) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(o)
	server := httptest.NewUnstartedServer(e.Handler())
	server.Config.ConnContext = engine.ConnContext
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return e, strings.TrimPrefix(server.URL, "http://")
}

// load is an order that loads a model under a lease with some time left.
func load(address string, epoch model.Epoch, left time.Duration) port.OrderCall {
	return port.OrderCall{
		Order:   model.Order{ID: model.OrderID{Epoch: epoch, Seq: 1}, Kind: model.LoadModel, Model: "notes"},
		Address: address, Until: time.Now().Add(left),
	}
}

// slow returns a client whose connections take a while to open.
func slow(d time.Duration) *client {
	return &client{dial: func(_ context.Context, network, address string) (net.Conn, error) {
		time.Sleep(d)
		return net.Dial(network, address)
	}}
}

// Guards against an order that is written after the lease has run out, or so long after its
// connection was opened that the next holder may already give orders.
func TestOrderIsNotWrittenLate(t *testing.T) {
	for name, c := range map[string]struct{ left, dial time.Duration }{
		"lease over":     {50 * time.Millisecond, 100 * time.Millisecond},
		"old connection": {time.Hour, port.OrderWriteLimit},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, address := orders(t, engine.Options{ID: "e"})
			outcome, err := slow(c.dial).order(context.Background(), load(address, 1, c.left))
			g.Expect(outcome).To(Equal(placement.NotSent))
			g.Expect(err).To(BeAssignableToTypeOf(&fault.OrderLate{}))
			g.Consistently(e.Orders, 300*time.Millisecond).Should(BeEmpty())
		})
	}
}

// Guards against an outcome that claims more than the engine has said: an order that counts
// as refused may be sent again.
func TestOutcomeOfAnOrder(t *testing.T) {
	g := NewWithT(t)
	e, address := orders(t, engine.Options{ID: "e", ChecksFencing: true, LoadTime: time.Hour})
	send := func(address string, epoch model.Epoch) placement.Outcome {
		outcome, _ := slow(0).order(context.Background(), load(address, epoch, time.Hour))
		return outcome
	}
	g.Expect(send(address, 2)).To(Equal(placement.Accepted))
	g.Expect(send(address, 2)).To(Equal(placement.Refused), "the engine has an order")
	g.Expect(send(address, 1)).To(Equal(placement.RefusedFence))
	r, err := relay.New(address)
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	r.Block(relay.FromTarget)
	g.Expect(send(r.Address(), 3)).To(Equal(placement.Unknown), "the answer is lost")
	g.Expect(e.Orders()).To(HaveLen(4))
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dead.Close()).To(Succeed())
	g.Expect(send(dead.Addr().String(), 3)).To(Equal(placement.NotSent))
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	defer broken.Close()
	g.Expect(send(strings.TrimPrefix(broken.URL, "http://"), 3)).To(Equal(placement.Unknown))
}

// stoppingConn stops the process just before a write, which is after the last check.
type stoppingConn struct{ net.Conn }

// Write sends the signal to its own thread. One to the process could be taken by another
// thread, and this one would write before it is stopped.
func (c stoppingConn) Write(data []byte) (int, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGSTOP); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

const orderChild = "BRIARYARD_ORDER_CHILD"

// Guards against an order that is carried out although its sender was stopped exactly between
// the last check and the write for longer than its lease. The engine ignores fencing tokens;
// that it drops late orders is what stops it, as the run without that shows.
func TestOrderOfAProcessThatIsStoppedBeforeTheWrite(t *testing.T) {
	if address := os.Getenv(orderChild); address != "" {
		c := &client{dial: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			return stoppingConn{conn}, err
		}}
		outcome, _ := c.order(context.Background(), load(address, 1, 400*time.Millisecond))
		fmt.Println(outcome)
		return
	}
	for name, c := range map[string]struct {
		arrival time.Duration
		want    string
	}{
		"engine drops late orders": {port.OrderArrivalLimit, engine.OrderLate},
		"engine takes late orders": {0, engine.OrderAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, address := orders(t, engine.Options{ID: "e", OrderArrival: c.arrival})
			child := exec.Command(os.Args[0], "-test.run=TestOrderOfAProcessThatIsStoppedBeforeTheWrite", "-test.v=false")
			child.Env = append(os.Environ(), orderChild+"="+address)
			g.Expect(child.Start()).To(Succeed())
			defer func() { _ = child.Process.Kill(); _ = child.Wait() }()
			stopped := func() bool {
				stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", child.Process.Pid))
				return err == nil && strings.Contains(string(stat), ") T ")
			}
			g.Eventually(stopped, 30*time.Second).Should(BeTrue())
			g.Consistently(e.Orders, 2*port.OrderArrivalLimit).Should(BeEmpty())
			g.Expect(child.Process.Signal(syscall.SIGCONT)).To(Succeed())
			g.Eventually(func() string {
				if o := e.Orders(); len(o) == 1 {
					return o[0].Outcome
				}
				return ""
			}, 30*time.Second).Should(Equal(c.want))
		})
	}
}

const clockChild = "BRIARYARD_CLOCK_CHILD"

// Guards against a clock that stands still while the process is stopped: a holder would then
// believe in its lease after any stop.
func TestClockCountsTheTimeOfAStop(t *testing.T) {
	if os.Getenv(clockChild) != "" {
		began := time.Now()
		fmt.Println("started")
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		fmt.Println(time.Since(began).Milliseconds())
		return
	}
	g := NewWithT(t)
	child := exec.Command(os.Args[0], "-test.run=TestClockCountsTheTimeOfAStop", "-test.v=false")
	child.Env = append(os.Environ(), clockChild+"=1")
	in, err := child.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	out, err := child.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(child.Start()).To(Succeed())
	defer func() { _ = child.Process.Kill(); _ = child.Wait() }()
	lines := bufio.NewReader(out)
	_, err = lines.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(child.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	time.Sleep(700 * time.Millisecond)
	g.Expect(child.Process.Signal(syscall.SIGCONT)).To(Succeed())
	_, err = in.Write([]byte("\n"))
	g.Expect(err).NotTo(HaveOccurred())
	line, err := lines.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	var elapsed int
	_, err = fmt.Sscan(line, &elapsed)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("the child counted %d ms over a stop of 700 ms", elapsed)
	g.Expect(elapsed).To(BeNumerically(">=", 700))
}
