package app_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/model"
	"briaryard/internal/operator"
)

var _ = Describe("the rotation of the fleet token", func() {
	// Guards against a rotation that requires the whole fleet to stop. After each step of the procedure in
	// docs/operators.md another instance restarts and opens new connections, while the others have been
	// running since before the step.
	It("keeps all instances connected, and ends with the old token being rejected", func() {
		addresses, dir := freeAddresses(3), GinkgoT().TempDir()
		writeTokens := func(k int, text string) {
			Expect(os.WriteFile(filepath.Join(dir, fmt.Sprintf("i%d", k+1)), []byte(text), 0o600)).To(Succeed())
		}
		run := func(k int, address string) *app.Instance {
			s := app.Settings{
				ID: fmt.Sprintf("i%d", k+1), FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
				OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
				PeerAddress: address, Peers: addresses[:2], FleetFile: filepath.Join(dir, fmt.Sprintf("i%d", k+1)),
			}
			Expect(s.Check()).To(BeEmpty())
			i := app.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), []byte(testConfig), app.WithLeaseHolder(model.InstanceID("i1")))
			Expect(i.Start(context.Background())).To(Succeed())
			return i
		}
		alive := func(i *app.Instance) func() int {
			return func() int {
				var m operator.Members
				if operator.NewClient([]string{i.OperatorAddress()}).Get(context.Background(), operator.PathMembers, &m) != nil {
					return 0
				}
				n := 0
				for _, other := range m.Instances {
					if other.State == "alive" {
						n++
					}
				}
				return n
			}
		}
		fleet := make([]*app.Instance, 3)
		for k := range fleet {
			writeTokens(k, "old\n")
			fleet[k] = run(k, addresses[k])
		}
		DeferCleanup(func() {
			for _, i := range fleet {
				Expect(i.Stop(context.Background())).To(Succeed())
			}
		})
		for step, text := range []string{"old\nnew\n", "new\nold\n", "new\n"} {
			for k := range fleet {
				writeTokens(k, text)
			}
			// The other instances keep running and must reload their files.
			Expect(fleet[step].Stop(context.Background())).To(Succeed())
			fleet[step] = run(step, addresses[step])
			for _, i := range fleet {
				Eventually(alive(i), 30).Should(Equal(3), "after %q", text)
			}
		}
		writeTokens(3, "old\n")
		outsider := run(3, freeAddresses(1)[0])
		defer func() { Expect(outsider.Stop(context.Background())).To(Succeed()) }()
		Consistently(alive(fleet[0]), 2).Should(Equal(3))
		Expect(alive(outsider)()).To(Equal(1))
	})
})
