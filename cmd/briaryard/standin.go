package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/announce"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
	"briaryard/internal/trust"
)

// standinCommand runs one stand-in backend server as a process of its own, for tests.
type standinCommand struct {
	Engine  engineStandin  `cmd:"" help:"Run a stand-in model engine."`
	Booking bookingStandin `cmd:"" help:"Run a stand-in booking service."`
}

// standinSettings holds the flags that all stand-ins have.
type standinSettings struct {
	ID            string   `help:"Name of the backend server." required:""`
	Address       string   `help:"Address (host:port) to listen on; loopback only." default:"127.0.0.1:0"`
	Advertise     string   `help:"Address that is announced to instances; the listener's by default."`
	FailureDomain string   `help:"Failure domain of the backend server." default:"domain-1"`
	Slots         int      `help:"Requests that run at the same time." default:"8"`
	Instances     []string `help:"Server addresses (host:port) of the instances that are sent the announcements." required:""`
	TLSCert       string   `name:"tls-cert" help:"Certificate file (PEM) of the listener; without it the listener does not use TLS." and:"tls"`
	TLSKey        string   `name:"tls-key" help:"Key file (PEM) of the certificate." and:"tls"`
	AcceptTokens  string   `help:"File with the accepted tokens (backend-server TOKEN); each call must carry one of them."`
	InstanceCA    string   `name:"instance-ca" help:"Certificate file (PEM) of the authority of the instances; with it announcements use TLS."`
	TokenFile     string   `help:"File with the token of announcements."`
}

type engineStandin struct {
	standinSettings
	Model            string        `help:"Model that the engine serves; - for a spare engine without one." default:"notes"`
	TokenTime        time.Duration `help:"Time between tokens in an empty batch." default:"10ms"`
	PrefillPerSecond int           `help:"Prompt tokens processed per second." default:"20000"`
	LoadLag          time.Duration `help:"Age of load reports." default:"1s"`
	Generation       string        `help:"Hardware generation." default:"g1"`
	ChecksFencing    bool          `help:"Refuse orders with an old fencing token instead of ignoring tokens."`
	LoadTime         time.Duration `help:"Time to load a model or adapter." default:"1s"`
	OrderArrival     time.Duration `help:"Longest time from opening a connection to receiving a complete order on it; 0 sets no bound." default:"500ms"`
}

type bookingStandin struct {
	standinSettings
	Service string        `help:"Name of the plain service." default:"booking"`
	Delay   time.Duration `help:"Time that one call takes." default:"20ms"`
}

// Run implements the command.
func (c *engineStandin) Run() error {
	if c.Model == "-" {
		c.Model = ""
	}
	e := engine.New(engine.Options{
		ChecksFencing: c.ChecksFencing, LoadTime: c.LoadTime, OrderArrival: c.OrderArrival,
		ID: c.ID, Model: c.Model, Domain: c.FailureDomain, Slots: c.Slots, TokenTime: c.TokenTime,
		PrefillPerSecond: c.PrefillPerSecond, LoadLag: c.LoadLag, CacheEventGap: 10, Generation: c.Generation,
	})
	return c.serve(e.Handler(), e.Announcement)
}

// Run implements the command.
func (c *bookingStandin) Run() error {
	b := booking.New(booking.Options{ID: c.ID, Service: c.Service, Domain: c.FailureDomain, Slots: c.Slots, Delay: c.Delay})
	return c.serve(b.Handler(), b.Announcement)
}

// serve prints the address of the listener, then runs the stand-in until SIGTERM or SIGINT.
func (c *standinSettings) serve(h http.Handler, current func(string) frontannounce.Announcement) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return &fault.ListenFailed{Address: c.Address, Err: err}
	}
	advertised := c.Advertise
	if advertised == "" {
		advertised = l.Addr().String()
	}
	acceptedTokens, err := trust.LoadTokens(c.AcceptTokens, "", nil)
	if err != nil {
		return err
	}
	outgoing, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: c.InstanceCA, TokenFile: c.TokenFile})
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: acceptedTokens.Guard(trust.RoleServer)(h), ReadHeaderTimeout: readHeaderTimeout, ConnContext: engine.ConnContext,
	}
	go announce.RunSecured(ctx, outgoing, c.Instances, func() frontannounce.Announcement { return current(advertised) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Println(l.Addr().String())
	if c.TLSCert != "" {
		err = server.ServeTLS(l, c.TLSCert, c.TLSKey)
	} else {
		err = server.Serve(l)
	}
	if err != http.ErrServerClosed {
		return err
	}
	return nil
}
