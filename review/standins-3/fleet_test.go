package standins

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is one process of the system.
type process struct {
	role string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// machine holds the processes of one address.
type machine struct {
	name, ip, zone, folder string
	disk, first            bool
	processes              map[string]*process
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	network  string
	machines []*machine
	workers  []*worker
	version  int
	memoryMB int
	mu       sync.Mutex
}

// newFleet finds a free loopback network for machines with a disk and without one.
func newFleet(r *record, disks, others int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, memoryMB: 134}
	for n := 40 + os.Getpid()%150; f.network == ""; n++ {
		network := fmt.Sprintf("127.83.%d", n%250+1)
		l, err := net.Listen("tcp", network+".1:7600")
		if err != nil {
			continue
		}
		l.Close()
		f.network = network
	}
	for i := range disks + others {
		m := &machine{
			name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", f.network, i+1), zone: "z" + string(rune('a'+i%3)),
			disk: i < disks, first: true, processes: make(map[string]*process),
		}
		m.folder = filepath.Join(folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o755); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (f *fleet) seeds() string {
	var out []string
	for _, m := range f.machines {
		if m.disk {
			out = append(out, fmt.Sprintf("%q", m.ip+":8229"))
		}
	}
	return strings.Join(out[:min(3, len(out))], ", ")
}

func (f *fleet) writeSettings(m *machine, role string) (string, error) {
	dir := ""
	if m.disk && role == "core" {
		dir = filepath.Join(m.folder, "data")
	}
	text := fmt.Sprintf(`node_name: %q
role: %q
machine_class: "front"
ip: %q
zone: %q
region: "r"
zones: {za: "r", zb: "r", zc: "r"}
listen: {front: "%[3]s:8221", ready: "%[3]s:8224", control: "%[3]s:8229", directory: "%[3]s:8220"}
internal_ports: [7600, 7615]
seeds: [%[5]s]
bootstrap: %[6]v
loss_counts: %[7]v
limits: {cpu_share: 0.72, cores: 1, memory_mb: %[8]d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 64}
data_dir: %[9]q
discovery: "registration"
entry: "directory"
heartbeat_ms: 1200
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200,
  config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, revoke_strict: true, revoke_ms: 5000, retry_budget_ratio: 0.2,
  retry_window_s: 10, retry_slack: 64, quota_window_s: 8, quota_overage: 0.1, quota_slack: 72000, recovery_s: 12, pass_ms: 120,
  reuse_window_s: 6, ttl_max_s: 5}
config_mode: "highest"
`, m.name, role, m.ip, m.zone, f.seeds(), m.first, m.disk, f.memoryMB, dir)
	path := filepath.Join(m.folder, role+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// start starts one role of a machine with the command of the deploy file.
func (f *fleet) start(m *machine, role string) error {
	path, err := f.writeSettings(m, role)
	if err != nil {
		return err
	}
	log := filepath.Join(m.folder, role+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/briaryard", "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRIARYARD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{role: role, cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		f.record.logf("process %s of %s ended: %v", role, m.name, cmd.ProcessState)
		close(p.done)
	}()
	m.processes[role] = p
	f.record.logf("started %s of %s", role, m.name)
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if m.disk {
			if err := f.start(m, "core"); err != nil {
				return err
			}
		}
		if err := f.start(m, "entry"); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// residentKB returns the highest resident memory of a process in KB.
func (p *process) residentKB() (now, peak int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		fmt.Sscanf(line, "VmHWM: %d", &peak)
		fmt.Sscanf(line, "VmRSS: %d", &now)
	}
	return now, peak
}

// stopAll ends all processes that this run started.
func (f *fleet) stopAll() {
	for _, w := range f.workers {
		w.close()
	}
	for _, m := range f.machines {
		for _, p := range m.processes {
			if p.alive() {
				p.signal(syscall.SIGCONT)
				p.signal(syscall.SIGKILL)
				<-p.done
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

var operator = &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// call makes a control call to the cores in turn until one answers with 2xx or a final refusal.
func (f *fleet) call(method, path string, body any, within time.Duration) (int, []byte) {
	data, _ := json.Marshal(body)
	until := time.Now().Add(within)
	status, answer := 0, []byte(nil)
	for i := 0; time.Now().Before(until); i++ {
		m := f.machines[i%len(f.machines)]
		if !m.disk {
			continue
		}
		status, answer = f.callAt(m, method, path, data)
		if status >= 200 && status < 300 || status == 400 {
			return status, answer
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, answer
}

func (f *fleet) callAt(m *machine, method, path string, data []byte) (int, []byte) {
	req, _ := http.NewRequest(method, "http://"+m.ip+":8229"+path, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := operator.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// putConfig sends a config under the next version until it is acknowledged.
func (f *fleet) putConfig(c map[string]any) error {
	f.version++
	c["version"] = f.version
	status, answer := f.call("PUT", "/v1/config", c, 20*time.Second)
	f.record.logf("config %d: %d", f.version, status)
	if status != 200 {
		return fmt.Errorf("config %d: %d %s", f.version, status, answer)
	}
	return nil
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, m := range f.machines {
		for {
			resp, err := operator.Get("http://" + m.ip + ":8224/v1/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.logf("all machines are ready")
	return nil
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request on a new channel and reads the answer.
func send(address, method, target, host string, header [][2]string, body string, within time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), method, target, host, header, body, within)
}

func exchange(conn net.Conn, r *bufio.Reader, method, target, host string, header [][2]string, body string, within time.Duration) answer {
	_ = conn.SetDeadline(time.Now().Add(within))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for _, h := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}
