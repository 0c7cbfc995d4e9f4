package app_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/operator"
)

// groupSettings returns the settings of three voters i1 to i3 and of an instance i4 without a data
// folder.
func groupSettings() []app.Settings {
	addresses := freeAddresses(4)
	var all []app.Settings
	for k, address := range addresses {
		s := app.Settings{
			ID: fmt.Sprintf("i%d", k+1), FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
			OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
			PeerAddress: address, Peers: addresses[:1], FleetToken: "fleet", Voters: []string{"i1", "i2", "i3"},
		}
		if k < 3 {
			s.DataFolder = filepath.Join(GinkgoT().TempDir(), s.ID)
		}
		all = append(all, s)
	}
	return all
}

func startInstance(s app.Settings) *app.Instance {
	Expect(s.Check()).To(BeEmpty())
	i := app.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	Expect(i.Start(context.Background())).To(Succeed())
	return i
}

var _ = Describe("the history of the configuration", func() {
	// Guards against a configuration history that depends on when the instance was started.
	It("is the same at a voter and at an instance without a data folder, also after a restart", func() {
		settings := groupSettings()
		var fleet []*app.Instance
		for _, s := range settings {
			fleet = append(fleet, startInstance(s))
		}
		DeferCleanup(func() {
			for _, i := range fleet {
				Expect(i.Stop(context.Background())).To(Succeed())
			}
		})
		history := func(i *app.Instance) operator.History {
			var h operator.History
			if err := operator.NewClient([]string{i.OperatorAddress()}).Get(context.Background(), operator.PathHistory, &h); err != nil {
				return operator.History{}
			}
			return h
		}
		const changes = 5
		voter := operator.NewClient([]string{fleet[0].OperatorAddress()})
		for r := range uint64(changes) {
			Eventually(func() error {
				return voter.Post(context.Background(), operator.PathConfig, operator.Apply{
					ChangeID: fmt.Sprintf("c%d", r), Base: r, Operator: "ana", Content: testConfig}, &operator.Applied{})
			}, 30).Should(Succeed())
		}
		want := history(fleet[0])
		Expect(want.Complete).To(BeTrue())
		Expect(want.Changes).To(HaveLen(changes))
		Eventually(func() operator.History { return history(fleet[3]) }, 30).Should(Equal(want))
		Expect(fleet[3].Stop(context.Background())).To(Succeed())
		fleet[3] = startInstance(settings[3])
		Eventually(func() operator.History { return history(fleet[3]) }, 30).Should(Equal(want))
	})
})
