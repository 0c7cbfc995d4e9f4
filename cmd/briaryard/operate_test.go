package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/fault"
	"briaryard/internal/operator"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

const fleet = "teams: {studio: {highest_tier: urgent}}\npools: {notes: {max_tokens: 512}}\n"

// start runs an instance until the spec ends or it is drained; code receives its exit code.
func start() (address string, code <-chan int) {
	GinkgoHelper()
	settings := app.Settings{
		ID: "i1", FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
		OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20,
	}
	i := app.New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), []byte(fleet))
	ctx, cancel := context.WithCancel(context.Background())
	exited, started := make(chan int, 1), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		c, err := i.Run(ctx, func() { close(started) })
		Expect(err).NotTo(HaveOccurred())
		exited <- c
		close(exited)
	}()
	Eventually(started, 10).Should(BeClosed())
	DeferCleanup(func() {
		cancel()
		Eventually(exited, 30).Should(BeClosed())
	})
	address = i.OperatorAddress()
	Eventually(func() string {
		out, _, _ := command("status", "--address", address)
		return out
	}, 10).Should(ContainSubstring("revision 1 in force here, 1 accepted"))
	return address, exited
}

// command runs a command line and returns what it wrote and its exit code.
func command(args ...string) (out, errors string, code int) {
	var o, e bytes.Buffer
	exitCode = fault.ExitOK
	code = run(args, printer{out: &o, err: &e})
	return o.String(), e.String(), code
}

func write(name, content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the configuration commands", func() {
	// An operator who does not see the place of a fault has to search the files.
	It("validates files without an instance", func() {
		out, _, code := command("config", "validate", filepath.Join("..", "..", "examples", "office"))
		Expect([]any{out, code}).To(Equal([]any{"valid: 5 teams, 4 pools, 3 exceptions\n", 0}))
		path := write("bad.yaml", "teams:\n  a: {weight: 0}\n  b: {speed: 1}\n")
		_, errors, code := command("config", "validate", path)
		Expect(code).To(Equal(fault.ExitInvalid))
		Expect(errors).To(And(ContainSubstring(path+":2: field teams.a.weight"), ContainSubstring(path+":3: field teams.b.speed")))
	})

	// A resent change that counts as a second one would conflict with itself.
	It("applies a change, waits for it, and takes a resend for the same change", func() {
		address, _ := start()
		path := write("new.yaml", strings.Replace(fleet, "512", "600", 1))
		out, errors, code := command("config", "apply", path, "--operator", "o", "--address", address, "--wait")
		Expect(code).To(Equal(0), errors)
		Expect(out).To(And(ContainSubstring("~ pools.notes.max_tokens: 512 -> 600"), ContainSubstring("accepted as revision 2")))
		Expect(errors).To(ContainSubstring("revision 2: 1 of 1 instances confirmed"))

		var first, again operator.Applied
		change := operator.Apply{ChangeID: "c3", Base: 2, Operator: "o", Content: fleet}
		client := operator.NewClient([]string{address})
		Expect(client.Post(context.Background(), operator.PathConfig, change, &first)).To(Succeed())
		Expect(client.Post(context.Background(), operator.PathConfig, change, &again)).To(Succeed())
		Expect(again).To(Equal(first))
		out, _, _ = command("config", "history", "--address", address)
		Expect(strings.Count(out, "\n")).To(Equal(4))
	})

	// Without the conflict the later of two operators undoes the earlier one's change.
	It("refuses a change that was made for an older revision and names the winner", func() {
		address, _ := start()
		path := write("new.yaml", strings.Replace(fleet, "512", "600", 1))
		_, _, code := command("config", "apply", path, "--operator", "first", "--change-id", "won", "--address", address)
		Expect(code).To(Equal(0))
		other := write("other.yaml", strings.Replace(fleet, "512", "700", 1))
		_, errors, code := command("--output", "json", "config", "apply", other, "--operator", "second", "--base", "1", "--address", address)
		Expect(code).To(Equal(fault.ExitConflict))
		Expect(errors).To(And(ContainSubstring("urn:briaryard:problem:config-conflict"), ContainSubstring(`\"won\"`)))
	})

	// The endpoint must not rely on the command line for the check.
	It("refuses an invalid document at the endpoint", func() {
		address, _ := start()
		err := operator.NewClient([]string{address}).Post(context.Background(), operator.PathConfig,
			operator.Apply{ChangeID: "c", Base: 1, Operator: "o", Content: "teams: {a: {weight: 0}}"}, &operator.Applied{})
		Expect(fault.Of(err).Code()).To(Equal(fault.CodeInvalidConfig))
	})
})

var _ = Describe("the operating commands", func() {
	It("answers each question for people and for programs", func() {
		address, _ := start()
		for _, question := range []string{"status", "config get", "config history", "voters list", "metrics"} {
			args := append(strings.Fields(question), "--address", address)
			out, errors, code := command(args...)
			Expect(code).To(Equal(0), question+errors)
			Expect(out).NotTo(BeEmpty(), question)
			out, _, _ = command(append(args, "--output", "json")...)
			Expect(json.Valid([]byte(out))).To(BeTrue(), question)
		}
	})

	It("answers unavailable, not success, for what is not built or not reachable", func() {
		address, _ := start()
		_, errors, code := command("voters", "add", "i2", "--address", address)
		Expect([]any{code, errors}).To(Equal([]any{fault.ExitUnavailable,
			"briaryard: Operation not available: a change of the voters is not available at this instance\n"}))
		_, _, code = command("status", "--address", "127.0.0.1:1")
		Expect(code).To(Equal(fault.ExitUnavailable))
		out, _, code := command("status", "--address", "127.0.0.1:1,"+address)
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("instance i1"))
	})

	It("explains a request that was refused", func() {
		address, _ := start()
		_, errors, code := command("explain", "i1/1/1", "--address", address)
		Expect(code).To(Equal(0), errors)
	})

	// A page of another origin can send a form but not JSON.
	It("drains an instance on a JSON request only, and the process exits with code 0", func() {
		address, exited := start()
		response, err := http.Post("http://"+address+operator.PathDrain, "application/x-www-form-urlencoded", nil)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		_, _, code := command("drain", "--address", address)
		Expect(code).To(Equal(0))
		Eventually(exited, 30).Should(Receive(Equal(fault.ExitOK)))
	})

	It("shows the same picture in the text exposition and on the page", func() {
		address, _ := start()
		text, _, _ := command("metrics", "--exposition", "--address", address)
		Expect(text).To(And(
			ContainSubstring("# HELP briaryard_config_revision "), ContainSubstring("# TYPE briaryard_config_revision gauge\nbriaryard_config_revision 1\n"),
			ContainSubstring(`briaryard_ring_depth{ring="entry"}`), ContainSubstring(`briaryard_lease_held{lease="dispatcher/notes"} 1`)))
		page, err := operator.NewClient([]string{address}).Text(context.Background(), "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(And(ContainSubstring("dispatcher/notes"), ContainSubstring("Revision 1 is in force here"), HaveSuffix("</html>\n")))
	})
})
