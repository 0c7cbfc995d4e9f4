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

// startTimeout bounds waits for processes and the fleet. It is long because a busy machine starts
// processes slowly.
const startTimeout = 30 * time.Second

// binary is the path of the program, which is built before the suite.
var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "briaryard")
	build := exec.Command("go", "build", "-o", binary, "briaryard/cmd/briaryard")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is one process of the program and its output over all its runs; done is closed when the
// current run has ended.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	out  *output
}

// output is a buffer of a process's output that is safe for concurrent use.
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

// start starts the program. The cleanup of the spec kills it, and adds its output to the report of
// a failed spec.
func start(name string, args ...string) *process {
	p := &process{name: name, args: args, out: &output{}}
	p.start()
	DeferCleanup(func() {
		p.kill()
		if CurrentSpecReport().Failed() {
			AddReportEntry(name, tail(p.out.String()))
			AddReportEntry(name+" panics", panicEvents(p.out.String()))
		}
	})
	return p
}

// tail returns the last 6000 bytes of an output.
func tail(text string) string {
	const keep = 6000
	return text[max(0, len(text)-keep):]
}

// panicEvents returns the duty.panicked events of an output, which hold the stacks.
func panicEvents(text string) string {
	var found []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, `"duty.panicked"`) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// start starts the process, again after an earlier run, and appends to its output.
func (p *process) start() {
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

// kill ends the process with SIGKILL, as a crash of its machine would, and waits for its end. A
// paused process is resumed first.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s os.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// exitCode waits until the process ends by itself and returns its exit code.
func (p *process) exitCode(within time.Duration) int {
	Eventually(p.done, within).Should(BeClosed(), fmt.Sprintf("%s did not end", p.name))
	return p.cmd.ProcessState.ExitCode()
}
