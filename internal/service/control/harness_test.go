package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/service/control"
	"briaryard/internal/storage"
)

const clientID = model.InstanceID("client")

// waitLimit is long because tests wait for conditions and not for this duration.
const waitLimit = 30 * time.Second

// hub connects the peers services of one process. Messages pass through the receiver's codec.
type hub struct {
	mu       sync.Mutex
	peers    map[model.InstanceID]*peers
	isolated map[model.InstanceID]bool
	// intercept, if set, is called with each message before its delivery. It returns the message to
	// deliver, or nil to drop it.
	intercept func(from, to model.InstanceID, body any) any
}

type handler struct {
	codec port.Codec
	sink  func(port.PeerMessage) error
}

type peers struct {
	hub      *hub
	self     model.InstanceID
	handlers map[string]handler
}

func newHub() *hub {
	return &hub{peers: map[model.InstanceID]*peers{}, isolated: map[model.InstanceID]bool{}}
}

func (h *hub) join(id model.InstanceID) *peers {
	p := &peers{hub: h, self: id, handlers: map[string]handler{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[id] = p
	return p
}

func (h *hub) setIsolated(id model.InstanceID, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated[id] = isolated
}

func (h *hub) setIntercept(intercept func(from, to model.InstanceID, body any) any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.intercept = intercept
}

// leave ends all traffic of an instance until it joins again.
func (h *hub) leave(id model.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, id)
}

func isVoter(id model.InstanceID) bool { return id[0] == 'v' }

func (p *peers) Name() string                                { return port.PeersName }
func (p *peers) Needs() []string                             { return nil }
func (p *peers) Provision(kernel.Resolver) error             { return nil }
func (p *peers) Start(*kernel.Host) error                    { return nil }
func (p *peers) Stop(context.Context) error                  { return nil }
func (p *peers) Self() (model.InstanceID, model.Incarnation) { return p.self, 1 }

func (p *peers) Handle(service string, codec port.Codec, sink func(port.PeerMessage) error) {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	p.handlers[service] = handler{codec, sink}
}

func (p *peers) Send(to model.InstanceID, service string, body any) error {
	p.hub.mu.Lock()
	target, ok := p.hub.peers[to]
	// An isolated voter is cut off from the other voters only and still reaches the clients.
	blocked := (p.hub.isolated[p.self] || p.hub.isolated[to]) && isVoter(p.self) && isVoter(to) || p.hub.peers[p.self] != p
	intercept := p.hub.intercept
	var h handler
	if ok {
		h, ok = target.handlers[service]
	}
	p.hub.mu.Unlock()
	if ok && !blocked && intercept != nil {
		body = intercept(p.self, to, body)
	}
	if !ok || blocked || body == nil {
		return nil
	}
	if h.codec != nil {
		data, err := h.codec.Encode(body)
		if err != nil {
			return err
		}
		if body, err = h.codec.Decode(data); err != nil {
			return err
		}
	}
	return h.sink(port.PeerMessage{From: p.self, Incarnation: 1, Body: body})
}

type noSessions struct{}

func (noSessions) Begin(time.Time) {}
func (noSessions) Heartbeat(_ time.Time, h port.Heartbeat, _ *state.Machine, voters []model.InstanceID) (port.HeartbeatReply, bool) {
	return port.HeartbeatReply{Seq: h.Seq, Voters: voters}, true
}
func (noSessions) Tick(time.Time, *state.Machine) []state.Command { return nil }

// voter is one instance with its own kernel.
type voter struct {
	id      model.InstanceID
	folder  string
	kernel  *kernel.Kernel
	service *control.Service
}

// group runs the voters of a control group and the clients that use it.
type group struct {
	t       testing.TB
	hub     *hub
	dir     string
	files   map[model.InstanceID]storage.FS
	initial []model.InstanceID
	voters  map[model.InstanceID]*voter
	gates   map[model.InstanceID]*gate
	// unattended is the setting of voters that are started after it is set.
	unattended *control.Unattended
	// sessions creates the handling of heartbeats of voters that are started after it is set.
	sessions func() control.Sessions
}

func newGroup(t testing.TB, size int) *group {
	g := &group{
		t: t, hub: newHub(), dir: t.TempDir(), files: map[model.InstanceID]storage.FS{}, voters: map[model.InstanceID]*voter{},
		gates: map[model.InstanceID]*gate{}, sessions: func() control.Sessions { return noSessions{} },
	}
	for i := range size {
		g.initial = append(g.initial, model.InstanceID(fmt.Sprintf("v%d", i)))
	}
	t.Cleanup(func() {
		for id, v := range g.voters {
			g.gates[id].resume()
			_ = v.kernel.Stop(context.Background())
		}
	})
	return g
}

func (g *group) start(id model.InstanceID) error {
	v := &voter{id: id, folder: filepath.Join(g.dir, string(id))}
	v.kernel = kernel.New(func(err error) { g.t.Error(err) })
	g.gates[id] = &gate{}
	v.service = control.New(control.Settings{
		Self: id, Folder: v.folder, Initial: g.initial, Limits: state.DefaultLimits(), Files: g.files[id],
		Unattended: g.unattended,
	}, gatedCodecs{gate: g.gates[id]}, g.sessions(), g.log())
	for _, s := range []kernel.Service{g.hub.join(id), v.service} {
		if err := v.kernel.Register(s); err != nil {
			return err
		}
	}
	if err := v.kernel.Start(context.Background()); err != nil {
		return err
	}
	g.voters[id] = v
	return nil
}

func (g *group) log() *event.Log { return event.New(slog.New(slog.NewTextHandler(g.t.Output(), nil))) }

func (g *group) startAll() {
	g.t.Helper()
	for _, id := range g.initial {
		if err := g.start(id); err != nil {
			g.t.Fatal(err)
		}
	}
}

func (g *group) stop(id model.InstanceID) {
	g.t.Helper()
	v := g.voters[id]
	delete(g.voters, id)
	if err := v.kernel.Stop(context.Background()); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) eventually(what string, done func() bool) {
	g.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	for _, v := range g.voters {
		g.t.Logf("%s: %+v", v.id, v.service.Status())
	}
	g.t.Fatalf("not reached: %s", what)
}

// client sends commands as a control client does, from an instance of its own.
type client struct {
	g        *group
	peers    *peers
	id       atomic.Uint64
	attempts atomic.Uint64
	// targets lists the voters to ask when no leader is known.
	targets []model.InstanceID
	target  atomic.Pointer[model.InstanceID]
	mu      sync.Mutex
	waiting map[uint64]*ring.Ring[port.CommandReply]
}

func (g *group) client() *client {
	c := &client{g: g, peers: g.hub.join(clientID), targets: g.initial, waiting: map[uint64]*ring.Ring[port.CommandReply]{}}
	c.target.Store(&g.initial[0])
	c.peers.Handle(port.ControlClientName, nil, func(m port.PeerMessage) error {
		if r, ok := m.Body.(port.CommandReply); ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			if w := c.waiting[r.ID]; w != nil {
				return w.Offer(r)
			}
		}
		return nil
	})
	return c
}

// do resends a command until a leader answers it.
func (c *client) do(command state.Command) state.Result {
	id := c.id.Add(1)
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if r, ok := c.send(id, command); ok {
			return r
		}
	}
	c.g.t.Errorf("%T was not answered", command)
	return state.Result{}
}

func (c *client) try(command state.Command) (state.Result, bool) { return c.send(c.id.Add(1), command) }

// send sends a command once and reports false unless a leader answers within a second. A resent
// command keeps its id.
func (c *client) send(id uint64, command state.Command) (state.Result, bool) {
	replies := ring.New[port.CommandReply]("replies", 4, ring.Refuse)
	c.mu.Lock()
	c.waiting[id] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	target := *c.target.Load()
	err := c.peers.Send(target, port.ControlName, port.CommandRequest{ID: id, Command: command})
	var r port.CommandReply
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, err = replies.Get(ctx)
	}
	if err == nil && !r.NotLeader {
		return r.Result, true
	}
	next := r.Leader
	if next == "" {
		next = c.targets[int(c.attempts.Add(1))%len(c.targets)]
		time.Sleep(10 * time.Millisecond)
	}
	c.target.Store(&next)
	return state.Result{}, false
}
