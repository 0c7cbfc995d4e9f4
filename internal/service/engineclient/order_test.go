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

// startEngine starts a stand-in engine and returns it with its address.
func startEngine(t *testing.T, o engine.Options) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(o)
	server := httptest.NewUnstartedServer(e.Handler())
	server.Config.ConnContext = engine.ConnContext
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return e, strings.TrimPrefix(server.URL, "http://")
}

// loadOrder returns an order to load a model, under a lease that expires after left.
func loadOrder(address string, epoch model.Epoch, left time.Duration) port.OrderCall {
	return port.OrderCall{
		Order:   model.Order{ID: model.OrderID{Epoch: epoch, Seq: 1}, Kind: model.LoadModel, Model: "notes"},
		Address: address, Until: time.Now().Add(left),
	}
}

// slowDialClient returns a client that waits for d before it opens a connection.
func slowDialClient(d time.Duration) *client {
	return &client{dial: func(_ context.Context, network, address string) (net.Conn, error) {
		time.Sleep(d)
		return net.Dial(network, address)
	}}
}

// Guards against an order that is written after the lease has expired, or so long after its
// connection was opened that the next lease holder may already send orders.
func TestOrderIsNotWrittenLate(t *testing.T) {
	for name, c := range map[string]struct{ left, dial time.Duration }{
		"lease over":     {50 * time.Millisecond, 100 * time.Millisecond},
		"old connection": {time.Hour, port.OrderWriteLimit},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, address := startEngine(t, engine.Options{ID: "e"})
			outcome, err := slowDialClient(c.dial).order(context.Background(), loadOrder(address, 1, c.left))
			g.Expect(outcome).To(Equal(placement.NotSent))
			g.Expect(err).To(BeAssignableToTypeOf(&fault.OrderLate{}))
			g.Consistently(e.Orders, 300*time.Millisecond).Should(BeEmpty())
		})
	}
}

// Guards against an outcome that claims more than the engine stated: an order that is reported as
// refused may be sent again.
func TestOutcomeOfAnOrder(t *testing.T) {
	g := NewWithT(t)
	e, address := startEngine(t, engine.Options{ID: "e", ChecksFencing: true, LoadTime: time.Hour})
	send := func(address string, epoch model.Epoch) placement.Outcome {
		outcome, _ := slowDialClient(0).order(context.Background(), loadOrder(address, epoch, time.Hour))
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

// stoppingConn stops the process directly before a write, which is after the last check.
type stoppingConn struct{ net.Conn }

// Write sends the signal to its own thread. A signal to the process could be delivered to another
// thread, and this thread would write before it is stopped.
func (c stoppingConn) Write(data []byte) (int, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGSTOP); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// orderChildEnv holds the engine's address in the child process that sends the order.
const orderChildEnv = "BRIARYARD_ORDER_CHILD"

// Guards against an order that is executed although its sender was stopped between the last check
// and the write for longer than its lease. The engine ignores fencing tokens, so only its arrival
// limit for orders prevents this; the case without the limit shows that the order is accepted.
func TestOrderOfAProcessThatIsStoppedBeforeTheWrite(t *testing.T) {
	if address := os.Getenv(orderChildEnv); address != "" {
		c := &client{dial: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			return stoppingConn{conn}, err
		}}
		outcome, _ := c.order(context.Background(), loadOrder(address, 1, 400*time.Millisecond))
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
			e, address := startEngine(t, engine.Options{ID: "e", OrderArrival: c.arrival})
			child := exec.Command(os.Args[0], "-test.run=TestOrderOfAProcessThatIsStoppedBeforeTheWrite", "-test.v=false")
			child.Env = append(os.Environ(), orderChildEnv+"="+address)
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

// clockChildEnv is set in the child process that measures time.
const clockChildEnv = "BRIARYARD_CLOCK_CHILD"

// Guards against a clock that does not advance while the process is stopped: after any stop the
// holder would then still treat its lease as valid.
func TestClockCountsTheTimeOfAStop(t *testing.T) {
	if os.Getenv(clockChildEnv) != "" {
		began := time.Now()
		fmt.Println("started")
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		fmt.Println(time.Since(began).Milliseconds())
		return
	}
	g := NewWithT(t)
	child := exec.Command(os.Args[0], "-test.run=TestClockCountsTheTimeOfAStop", "-test.v=false")
	child.Env = append(os.Environ(), clockChildEnv+"=1")
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
