package app_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/model"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/announce"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
)

const (
	// firstPort and lastPort lie below the range that outgoing connections take their ports from.
	firstPort, lastPort = 12_000, 32_000
	// blockPorts is the number of ports of one call.
	blockPorts = 16
)

// blocks counts the blocks of ports of this process.
var blocks int

// freeAddresses returns loopback addresses that nothing else uses. An instance gives its address back
// and takes it again when it restarts, and an outgoing connection could take a port of the ephemeral
// range in between; so each call has a block of ports below that range, whose first one a listener
// reserves until the spec has ended.
func freeAddresses(n int) []string {
	const count = (lastPort - firstPort) / blockPorts
	for range count {
		blocks++
		block := firstPort + (os.Getpid()*7+blocks)%count*blockPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", block))
		if err != nil {
			continue
		}
		DeferCleanup(l.Close)
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("127.0.0.1:%d", block+1+i))
		}
		return out
	}
	Fail("no block of ports is free")
	return nil
}

// startFleet starts instances i1, i2, ... whose dispatchers run on i1.
func startFleet(n int) []*app.Instance {
	addresses := freeAddresses(n)
	var fleet []*app.Instance
	for k, address := range addresses {
		settings := app.Settings{
			ID: fmt.Sprintf("i%d", k+1), FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
			OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
			PeerAddress: address, Peers: addresses[:1], FleetToken: "fleet",
		}
		Expect(settings.Check()).To(BeEmpty())
		i := app.New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), []byte(testConfig),
			app.WithLeaseHolder(model.InstanceID("i1")))
		Expect(i.Start(context.Background())).To(Succeed())
		fleet = append(fleet, i)
	}
	return fleet
}

func announceTo(homes []string, h http.Handler, current func(string) frontannounce.Announcement) {
	server := httptest.NewServer(h)
	ctx, cancel := context.WithCancel(context.Background())
	address := strings.TrimPrefix(server.URL, "http://")
	go announce.Run(ctx, homes, func() frontannounce.Announcement { return current(address) })
	DeferCleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
}

var _ = Describe("a fleet of three instances", func() {
	It("serves on each instance through the dispatcher on another, and adopts the servers of a stopped home", func() {
		fleet := startFleet(3)
		stop := func(i *app.Instance) { Expect(i.Stop(context.Background())).To(Succeed()) }
		DeferCleanup(func() { stop(fleet[0]); stop(fleet[1]) })
		homes := []string{fleet[2].ServerAddress(), fleet[1].ServerAddress()}
		e := engine.New(engine.Options{ID: "e1", Model: "notes", Domain: "d1", Slots: 4, TokenTime: time.Millisecond})
		b := booking.New(booking.Options{ID: "b1", Service: "booking", Domain: "d1", Slots: 4})
		announceTo(homes, e.Handler(), e.Announcement)
		announceTo(homes[1:], b.Handler(), b.Announcement)
		ask := func(i *app.Instance) func() string {
			f := &fixture{instance: i}
			return func() string {
				_, answer := f.do("POST", "/v1/chat/completions", chat, "Briaryard-Deadline-Ms", "2000")
				return answer
			}
		}
		for _, i := range fleet {
			Eventually(ask(i), 30).Should(HaveSuffix("data: [DONE]\n\n"))
		}
		f := &fixture{instance: fleet[2]}
		Eventually(func() int {
			status, _ := f.do("GET", "/v1/services/booking/stock", "", "Briaryard-Deadline-Ms", "2000")
			return status
		}, 30).Should(Equal(200))
		stop(fleet[2])
		Eventually(ask(fleet[1]), 30).Should(HaveSuffix("data: [DONE]\n\n"))
		Consistently(ask(fleet[1]), 5, 0.2).Should(HaveSuffix("data: [DONE]\n\n"))
	})
})
