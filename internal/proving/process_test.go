package proving

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startTimeout is generous, because a busy machine starts processes slowly.
const startTimeout = 30 * time.Second

// binary is the path of the built program.
var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "briaryard")
	build := exec.Command("go", "build", "-o", binary, "briaryard/cmd/briaryard")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is a running program with its output.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	out  *output
}

// output keeps what a process has written.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// start runs the program; the test's cleanup kills it if it still runs.
func start(name string, args ...string) *process {
	p := &process{name: name, args: args, out: &output{}}
	p.run()
	DeferCleanup(func() {
		p.kill()
		if CurrentSpecReport().Failed() {
			AddReportEntry(name, tail(p.out.String()))
			AddReportEntry(name+" panics", panics(p.out.String()))
		}
	})
	return p
}

// tail returns the end of a process's output.
func tail(text string) string {
	const keep = 6000
	return text[max(0, len(text)-keep):]
}

// panics returns the events of duties that panicked, with their stacks.
func panics(text string) string {
	var found []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, `"duty.panicked"`) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

func (p *process) run() {
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	Expect(p.cmd.Start()).To(Succeed())
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// kill ends the process at once, as a crash of its machine would.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s os.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// exitCode waits for the process to end by itself.
func (p *process) exitCode(within time.Duration) int {
	Eventually(p.done, within).Should(BeClosed(), fmt.Sprintf("%s did not stop", p.name))
	return p.cmd.ProcessState.ExitCode()
}
