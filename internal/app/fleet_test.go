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
	// firstPort and lastPort are below the ephemeral ports, which outgoing connections use.
	firstPort, lastPort = 12_000, 32_000
	// blockPorts is the number of ports reserved by one call of freeAddresses.
	blockPorts = 16
)

// nextBlock counts the port blocks that this process has tried.
var nextBlock int

// freeAddresses returns n loopback addresses that nothing else uses. A restarting instance closes its
// port and listens on it again, and an outgoing connection could use an ephemeral port in between. So
// each call reserves a block of ports below the ephemeral range: a listener holds its first port until
// the spec has ended.
func freeAddresses(n int) []string {
	const count = (lastPort - firstPort) / blockPorts
	for range count {
		nextBlock++
		block := firstPort + (os.Getpid()*7+nextBlock)%count*blockPorts
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

// startFleet starts n instances i1, i2, ... and gives all leases to i1, so that it runs the
// dispatchers.
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

// announceTo serves a stand-in over HTTP and announces it to the instances at homes until the spec
// ends.
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
	It("serves requests at each instance through the dispatcher of another one, and takes over the backend servers of a stopped instance", func() {
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
