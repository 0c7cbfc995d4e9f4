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

const fleetConfig = "teams: {studio: {highest_tier: urgent}}\npools: {notes: {max_tokens: 512}}\n"

// startInstance starts an instance that runs until the spec ends or it is drained; code receives
// its exit code.
func startInstance() (address string, code <-chan int) {
	GinkgoHelper()
	settings := app.Settings{
		ID: "i1", FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
		OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20,
	}
	i := app.New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), []byte(fleetConfig))
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
		out, _, _ := runCommand("status", "--address", address)
		return out
	}, 10).Should(ContainSubstring("revision 1 in force here, 1 accepted"))
	return address, exited
}

// runCommand runs a command line and returns its output, its error output and its exit code.
func runCommand(args ...string) (out, errors string, code int) {
	var o, e bytes.Buffer
	exitCode = fault.ExitOK
	code = run(args, printer{out: &o, err: &e})
	return o.String(), e.String(), code
}

// writeFile creates a file in a temporary folder and returns its path.
func writeFile(name, content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the configuration commands", func() {
	// Guards against errors without file and line, for which operators would have to search.
	It("validates files without an instance", func() {
		out, _, code := runCommand("config", "validate", filepath.Join("..", "..", "examples", "office"))
		Expect([]any{out, code}).To(Equal([]any{"valid: 5 teams, 4 pools, 3 exceptions\n", 0}))
		path := writeFile("bad.yaml", "teams:\n  a: {weight: 0}\n  b: {speed: 1}\n")
		_, errors, code := runCommand("config", "validate", path)
		Expect(code).To(Equal(fault.ExitInvalid))
		Expect(errors).To(And(ContainSubstring(path+":2: field teams.a.weight"), ContainSubstring(path+":3: field teams.b.speed")))
	})

	// Guards against a resent change that counts as a second one and conflicts with the first.
	It("applies a change, waits for it, and treats a resend as the same change", func() {
		address, _ := startInstance()
		path := writeFile("new.yaml", strings.Replace(fleetConfig, "512", "600", 1))
		out, errors, code := runCommand("config", "apply", path, "--operator", "o", "--address", address, "--wait")
		Expect(code).To(Equal(0), errors)
		Expect(out).To(And(ContainSubstring("~ pools.notes.max_tokens: 512 -> 600"), ContainSubstring("accepted as revision 2")))
		Expect(errors).To(ContainSubstring("revision 2: 1 of 1 instances confirmed"))

		var first, again operator.Applied
		change := operator.Apply{ChangeID: "c3", Base: 2, Operator: "o", Content: fleetConfig}
		client := operator.NewClient([]string{address})
		Expect(client.Post(context.Background(), operator.PathConfig, change, &first)).To(Succeed())
		Expect(client.Post(context.Background(), operator.PathConfig, change, &again)).To(Succeed())
		Expect(again).To(Equal(first))
		out, _, _ = runCommand("config", "history", "--address", address)
		Expect(strings.Count(out, "\n")).To(Equal(4))
	})

	// Guards against lost updates: without the conflict, the later of two operators would undo
	// the change of the earlier one.
	It("refuses a change based on an older revision and names the change in force", func() {
		address, _ := startInstance()
		path := writeFile("new.yaml", strings.Replace(fleetConfig, "512", "600", 1))
		_, _, code := runCommand("config", "apply", path, "--operator", "first", "--change-id", "won", "--address", address)
		Expect(code).To(Equal(0))
		other := writeFile("other.yaml", strings.Replace(fleetConfig, "512", "700", 1))
		_, errors, code := runCommand("--output", "json", "config", "apply", other, "--operator", "second", "--base", "1", "--address", address)
		Expect(code).To(Equal(fault.ExitConflict))
		Expect(errors).To(And(ContainSubstring("urn:briaryard:problem:config-conflict"), ContainSubstring(`\"won\"`)))
	})

	// Guards against an endpoint that relies on the command line to validate the document.
	It("refuses an invalid document at the endpoint", func() {
		address, _ := startInstance()
		err := operator.NewClient([]string{address}).Post(context.Background(), operator.PathConfig,
			operator.Apply{ChangeID: "c", Base: 1, Operator: "o", Content: "teams: {a: {weight: 0}}"}, &operator.Applied{})
		Expect(fault.Of(err).Code()).To(Equal(fault.CodeInvalidConfig))
	})
})

var _ = Describe("the operating commands", func() {
	It("writes each result as text and as JSON", func() {
		address, _ := startInstance()
		for _, question := range []string{"status", "config get", "config history", "voters list", "metrics"} {
			args := append(strings.Fields(question), "--address", address)
			out, errors, code := runCommand(args...)
			Expect(code).To(Equal(0), question+errors)
			Expect(out).NotTo(BeEmpty(), question)
			out, _, _ = runCommand(append(args, "--output", "json")...)
			Expect(json.Valid([]byte(out))).To(BeTrue(), question)
		}
	})

	It("exits with unavailable, not success, if an operation is not available or no address can be reached", func() {
		address, _ := startInstance()
		_, errors, code := runCommand("voters", "add", "i2", "--address", address)
		Expect([]any{code, errors}).To(Equal([]any{fault.ExitUnavailable,
			"briaryard: Operation not available: a change of the voters is not available at this instance\n"}))
		_, _, code = runCommand("status", "--address", "127.0.0.1:1")
		Expect(code).To(Equal(fault.ExitUnavailable))
		out, _, code := runCommand("status", "--address", "127.0.0.1:1,"+address)
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("instance i1"))
	})

	It("succeeds for a request id without events", func() {
		address, _ := startInstance()
		_, errors, code := runCommand("explain", "i1/1/1", "--address", address)
		Expect(code).To(Equal(0), errors)
	})

	// Guards against cross-site requests: a page of another origin can send a form but not JSON.
	It("drains an instance on a JSON request only, and the process exits with code 0", func() {
		address, exited := startInstance()
		response, err := http.Post("http://"+address+operator.PathDrain, "application/x-www-form-urlencoded", nil)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		_, _, code := runCommand("drain", "--address", address)
		Expect(code).To(Equal(0))
		Eventually(exited, 30).Should(Receive(Equal(fault.ExitOK)))
	})

	It("shows the same state in the text exposition and on the status page", func() {
		address, _ := startInstance()
		text, _, _ := runCommand("metrics", "--exposition", "--address", address)
		Expect(text).To(And(
			ContainSubstring("# HELP briaryard_config_revision "), ContainSubstring("# TYPE briaryard_config_revision gauge\nbriaryard_config_revision 1\n"),
			ContainSubstring(`briaryard_ring_depth{ring="entry"}`), ContainSubstring(`briaryard_lease_held{lease="dispatcher/notes"} 1`)))
		page, err := operator.NewClient([]string{address}).Text(context.Background(), "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(And(ContainSubstring("dispatcher/notes"), ContainSubstring("Revision 1 is in force here"), HaveSuffix("</html>\n")))
	})
})
