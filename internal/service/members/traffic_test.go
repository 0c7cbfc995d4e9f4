package members_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/members"
	"briaryard/internal/service/peers"
)

// countingListener counts the bytes of all connections that it accepts, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// testInstance is an instance with only the peers and members services.
type testInstance struct {
	service *members.Service
	view    atomic.Pointer[model.View]
}

// startFleet starts n instances that know the address of the first one. It returns them and the
// counter of the bytes on their accepted connections.
func startFleet(t testing.TB, n int) ([]*testInstance, *atomic.Int64) {
	t.Helper()
	bytes := new(atomic.Int64)
	log := event.New(slog.New(slog.DiscardHandler))
	var all []*testInstance
	var first string
	for k := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if k == 0 {
			first = l.Addr().String()
		}
		self := model.Instance{ID: model.InstanceID(fmt.Sprintf("instance-%d", k)), Incarnation: 1, PeerAddress: l.Addr().String()}
		m := &testInstance{service: members.New(log, self)}
		m.service.Subscribe(func(v *model.View) { m.view.Store(v) })
		kern := kernel.New(func(err error) { t.Error(err) })
		p := peers.New(log, peers.Options{Self: self, Listener: countingListener{l, bytes}, Peers: []string{first}, Token: "t"})
		for _, s := range []kernel.Service{p, m.service} {
			if err := kern.Register(s); err != nil {
				t.Fatal(err)
			}
		}
		if err := kern.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = kern.Stop(context.Background()) })
		all = append(all, m)
	}
	return all, bytes
}

// complete reports whether a view contains all instances and servers as alive.
func complete(v *model.View, instances, servers int) bool {
	if v == nil || !v.Settled || len(v.Instances) != instances || len(v.Servers) != servers {
		return false
	}
	for _, i := range v.Instances {
		if i.State != model.Alive {
			return false
		}
	}
	for _, s := range v.Servers {
		if s.State != model.Alive {
			return false
		}
	}
	return true
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("did not happen: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against instances that do not learn of all other instances and backend servers, and
// against control traffic above the limit for the design size. It logs the traffic.
func TestFleetLearnsEverythingWithLittleTraffic(t *testing.T) {
	const servers, measured = 15, 4 * time.Second
	for _, n := range []int{4, 8, 12} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all, bytes := startFleet(t, n)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				announceServers(ctx, all, servers)
			}()
			defer func() { cancel(); <-done }()
			eventually(t, "complete views", func() bool {
				for _, m := range all {
					if !complete(m.view.Load(), n, servers) {
						return false
					}
				}
				return true
			})
			time.Sleep(time.Second)
			before := bytes.Load()
			time.Sleep(measured)
			rate := float64(bytes.Load()-before) / measured.Seconds() / float64(n)
			t.Logf("%d instances, %d backend servers: %.0f bytes/s sent per instance", n, servers, rate)
			if rate > 23_000 {
				t.Errorf("%.0f bytes/s per instance exceed the limit", rate)
			}
		})
	}
}

// announceServers announces the servers to their home instances every 500 ms.
func announceServers(ctx context.Context, all []*testInstance, servers int) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		for k := range servers {
			s := model.BackendServer{
				ID: model.BackendServerID(fmt.Sprintf("server-%d", k)), Incarnation: 1,
				Address: "127.0.0.1:1", Pools: []model.PoolID{"notes"}, Slots: 4,
			}
			_ = all[k%len(all)].service.Announce(port.Announcement{Server: s})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
