//go:build review2

package standins

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// binary is the program of the deploy file, relative to the root of the repository.
const binary = "target/briaryard"

const (
	roleCore  = "core"
	roleEntry = "entry"
)

// fleet is a small deployment: machines with a loopback address each.
type fleet struct {
	record   *record
	folder   string
	prefix   string
	machines []*machine
	memoryMB int
	reserved net.Listener
}

// machine is one machine with its processes.
type machine struct {
	fleet     *fleet
	name      string
	ip        string
	zone      string
	disk      bool
	founded   bool
	mu        sync.Mutex
	processes map[string]*process
}

// process is a started process of the project.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// options of a fleet.
type options struct {
	machines, disks, memoryMB int
}

// newFleet reserves a loopback network and prepares the machines.
func newFleet(r *record, o options) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, memoryMB: o.memoryMB}
	for n := 0; n < 150 && f.reserved == nil; n++ {
		prefix := fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+n)%150, 1+n%200)
		if l, err := net.Listen("tcp", prefix+".250:7000"); err == nil {
			f.reserved, f.prefix = l, prefix
		}
	}
	if f.reserved == nil {
		return nil, fmt.Errorf("no loopback network is free")
	}
	for n := 1; n <= o.machines; n++ {
		m := &machine{
			fleet: f, name: fmt.Sprint("m", n), ip: fmt.Sprintf("%s.%d", f.prefix, n), zone: fmt.Sprint("z", (n-1)%3+1), disk: n <= o.disks,
			processes: make(map[string]*process),
		}
		if err := os.MkdirAll(filepath.Join(folder, m.name, "data"), 0o700); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (m *machine) callers() string   { return m.ip + ":8221" }
func (m *machine) ready() string     { return m.ip + ":8224" }
func (m *machine) control() string   { return m.ip + ":8229" }
func (m *machine) addresses() string { return m.ip + ":8220" }

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		for _, role := range []string{roleCore, roleEntry} {
			m.signal(role, syscall.SIGKILL)
		}
	}
	for _, m := range f.machines {
		for _, role := range []string{roleCore, roleEntry} {
			m.wait(role)
		}
	}
	_ = f.reserved.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// settings writes the settings file of a machine, with the bounds of the site cpdfo-briaryard.
func (m *machine) settings(role string) (string, error) {
	var seeds []string
	zones := make(map[string]string)
	for _, o := range m.fleet.machines {
		zones[o.zone] = "r"
		if o.disk && len(seeds) < 3 {
			seeds = append(seeds, o.control())
		}
	}
	data := ""
	if role == roleCore {
		data = filepath.Join(m.fleet.folder, m.name, "data")
	}
	content, err := json.MarshalIndent(map[string]any{
		"node_name": m.name, "role": role, "machine_class": "front", "ip": m.ip, "zone": m.zone, "region": "r", "zones": zones,
		"listen":         map[string]string{"front": m.callers(), "ready": m.ready(), "control": m.control(), "directory": m.addresses()},
		"internal_ports": []int{7600, 7615}, "seeds": seeds, "bootstrap": !m.founded, "loss_counts": m.disk,
		"limits":   map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": m.fleet.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": data, "discovery": "registration", "entry": "directory", "heartbeat_ms": 1200, "config_mode": "highest",
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 64, "quota_window_s": 8, "quota_overage": 0.1,
			"quota_slack": 72000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 6, "ttl_max_s": 5,
		},
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.fleet.folder, m.name, role+".yaml")
	return path, os.WriteFile(path, content, 0o600)
}

// start starts the process of a role, as the deploy file says.
func (m *machine) start(role string) error {
	path, err := m.settings(role)
	if err != nil {
		return err
	}
	log := filepath.Join(m.fleet.folder, m.name, role+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BRIARYARD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	m.mu.Lock()
	m.processes[role] = p
	m.mu.Unlock()
	m.fleet.record.line("platform", "%s %s started", m.name, role)
	return nil
}

func (m *machine) process(role string) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[role]
}

// signal sends a signal to the process of a role.
func (m *machine) signal(role string, s syscall.Signal) {
	if p := m.process(role); p != nil {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(s)
		}
	}
}

// wait waits until the process of a role has ended.
func (m *machine) wait(role string) {
	if p := m.process(role); p != nil {
		<-p.done
	}
}

// ended reports whether the process of a role has ended.
func (m *machine) ended(role string) bool {
	p := m.process(role)
	if p == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// resident returns the resident memory of the process of a role in bytes.
func (m *machine) resident(role string) int64 {
	p := m.process(role)
	if p == nil {
		return 0
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// startAll starts all processes of the fleet.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if m.disk {
			if err := m.start(roleCore); err != nil {
				return err
			}
		}
		if err := m.start(roleEntry); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the core machine that the logs show as the latest leader.
func (f *fleet) leader() *machine {
	var best *machine
	highest := uint64(0)
	for _, m := range f.machines {
		p := m.process(roleCore)
		if p == nil {
			continue
		}
		text, _ := os.ReadFile(p.log)
		for _, line := range strings.Split(string(text), "\n") {
			var e struct {
				Msg  string `json:"msg"`
				Term uint64 `json:"term"`
			}
			if strings.Contains(line, "control.leads") && json.Unmarshal([]byte(line), &e) == nil && e.Term > highest {
				best, highest = m, e.Term
			}
		}
	}
	return best
}

// eventually waits until a condition holds.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}
