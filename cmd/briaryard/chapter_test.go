package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// scriptTimeout bounds the run of the page's script, which takes about a minute on an idle machine.
const scriptTimeout = 4 * time.Minute

// TestOperatorsChapter guards against a procedure on the operators' page that does not work
// as written: it runs all sh blocks of the page in one shell. The loopback network depends on the
// process id, so that two runs on one machine do not use the same addresses.
func TestOperatorsChapter(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 12 instances for a minute")
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	if err != nil {
		t.Fatal(err)
	}
	var script strings.Builder
	for _, block := range regexp.MustCompile("(?ms)^```sh\n(.*?)^```$").FindAllStringSubmatch(string(page), -1) {
		script.WriteString(block[1])
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	shell := exec.CommandContext(ctx, "bash", "-euo", "pipefail", "-c", script.String())
	shell.Dir = filepath.Join("..", "..")
	// With TMPDIR, mktemp creates the fleet's folder in the test's temporary folder.
	shell.Env = append(os.Environ(), "TMPDIR="+t.TempDir(), fmt.Sprintf("NET=127.40.%d", 1+os.Getpid()%250))
	// The shell and its processes form one process group, which is killed as a whole at the end.
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	shell.WaitDelay = 10 * time.Second
	out, err := shell.CombinedOutput()
	_ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"12 of 12 instances confirmed", "reason", "lost 0, cut 0", "8 of 8 instances confirmed"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output does not contain %q:\n%s", want, out)
		}
	}
	t.Logf("%s", out)
}
