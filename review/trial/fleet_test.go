package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

// Values of the settings, those of the site cpdfo-briaryard.
const (
	memoryMB   = 134
	maxFDs     = 4100
	graceLimit = 8 * time.Second
	// contact is a little more than contact_ms.
	contact = 3500 * time.Millisecond
	zone    = "pnw-a"
	host    = "ficu95.example"
	apiKey  = "i9n73hh2b9wu3fexd9dn"
	tenant  = "hule930"
)

// machine is one machine of the deployment: a loopback address with a core instance, an entry instance or
// both.
type machine struct {
	fleet *fleet
	name  string
	ip    string
	disk  string
	boot  bool

	mu        sync.Mutex
	processes map[string]*process
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) callers() string { return m.ip + ":8221" }
func (m *machine) ready() string   { return m.ip + ":8224" }
func (m *machine) control() string { return m.ip + ":8229" }

// fleet is a deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	net      string
	seeds    []string
	machines []*machine
	workers  []*worker
}

// newFleet creates the machines: cores with a disk and a core instance each, and entries. Each machine runs
// an entry instance; see start.
func newFleet(r *record, cores, others int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, net: freeNet()}
	for i := range cores + others {
		m := &machine{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", f.net, i+1), boot: true, processes: make(map[string]*process)}
		if i < cores {
			m.disk = filepath.Join(folder, fmt.Sprintf("disk-%d", i+1))
			f.seeds = append(f.seeds, m.control())
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// freeNet returns the first three numbers of loopback addresses on which the ports of a machine are free.
func freeNet() string {
	for {
		n := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{7600, 8220, 8221, 8224, 8229, 9464, 9465} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return n
		}
	}
}

// writeSettings writes the settings file of a role and returns its path.
func (m *machine) writeSettings(role string) (string, error) {
	folder := ""
	if role == "core" && m.disk != "" {
		folder = m.disk
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return "", err
		}
	}
	settings := map[string]any{
		"node_name": m.name, "role": role, "machine_class": "front", "ip": m.ip, "zone": zone, "region": "pnw",
		"zones": map[string]string{"pnw-a": "pnw"},
		"listen": map[string]string{
			"front": m.callers(), "ready": m.ready(), "control": m.control(), "directory": m.ip + ":8220",
		},
		"internal_ports": []int{7600, 7615}, "seeds": m.fleet.seeds, "bootstrap": m.boot, "loss_counts": m.disk != "",
		"limits":   map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFDs, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": folder, "discovery": "registration", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"revoke_strict": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 64,
			"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 72000, "recovery_s": 12, "pass_ms": 120,
			"reuse_window_s": 6, "ttl_max_s": 5,
		},
		"config_mode": "highest",
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.fleet.folder, m.name+"-"+role+".yaml")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the instance of a role with the command of the deploy file.
func (m *machine) start(role string) error {
	settings, err := m.writeSettings(role)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	root, err := repository()
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(root, "target", "briaryard"), "platform", role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRIARYARD_BOOT=" + settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	m.mu.Lock()
	m.processes[role] = p
	m.mu.Unlock()
	return nil
}

// startAgain starts a role whose process has ended, and waits until it is ready and has been calm for contact_ms.
func (m *machine) startAgain(role string) error {
	<-m.process(role).done
	m.boot = false
	if err := m.start(role); err != nil {
		return err
	}
	m.fleet.record.add("platform: %s of %s starts again", role, m.name)
	if !waitFor(20*time.Second, func() bool { return status(http.MethodGet, "http://"+m.ready()+"/v1/readiness", nil) == 200 }) {
		return fmt.Errorf("%s does not become ready again", m.name)
	}
	time.Sleep(contact)
	return nil
}

// process returns the process of a role, or nil.
func (m *machine) process(role string) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[role]
}

// signal sends a signal to the process of a role.
func (m *machine) signal(role string, s syscall.Signal) {
	if p := m.process(role); p != nil {
		_ = p.cmd.Process.Signal(s)
		m.fleet.record.add("platform: signal %d (%v) to the %s process of %s", int(s), s, role, m.name)
	}
}

// repository returns the root of the repository: the folder above review.
func repository() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for d := dir; d != "/"; d = filepath.Dir(d) {
		if _, err := os.Stat(filepath.Join(d, "deploy", "system.toml")); err == nil {
			return d, nil
		}
	}
	return "", fmt.Errorf("no repository above the working folder")
}

// startAll starts a core instance on each machine with a disk and an entry instance on the machines that
// entry selects, and waits until a configuration is acknowledged and the entries are ready.
func (f *fleet) startAll(entry func(int) bool, config map[string]any) error {
	for i, m := range f.machines {
		if m.disk != "" {
			if err := m.start("core"); err != nil {
				return err
			}
		}
		if entry(i) {
			if err := m.start("entry"); err != nil {
				return err
			}
		}
	}
	if !f.putConfig(config, 20*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	for i, m := range f.machines {
		if entry(i) && !waitFor(20*time.Second, func() bool { return status(http.MethodGet, "http://"+m.ready()+"/v1/readiness", nil) == 200 }) {
			return fmt.Errorf("%s does not become ready", m.name)
		}
	}
	return nil
}

// startWithWorkers starts the machines, an entry instance on the last one only, and the workers of a service.
func (f *fleet) startWithWorkers(all *runs, service string, count, slots int, handle func(*exchange) bool, config map[string]any) error {
	for i := range count {
		w, err := newWorker(f, all, service, i, slots, handle)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startAll(func(i int) bool { return i == len(f.machines)-1 }, config); err != nil {
		return err
	}
	for _, w := range f.workers {
		if !w.announceUntilAcknowledged() {
			return fmt.Errorf("the announcement of %s was not acknowledged", w.id)
		}
	}
	// The fleet is calm for contact_ms before the case begins.
	time.Sleep(contact)
	return nil
}

// stopAll ends every process and removes the folder.
func (f *fleet) stopAll() {
	for _, w := range f.workers {
		w.close()
	}
	for _, m := range f.machines {
		for _, role := range []string{"core", "entry"} {
			if p := m.process(role); p != nil {
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
	}
	_ = os.RemoveAll(f.folder)
}

// putConfig sends a configuration to the core instances in turn until one acknowledges it.
func (f *fleet) putConfig(config map[string]any, limit time.Duration) bool {
	body, err := json.Marshal(config)
	if err != nil {
		return false
	}
	n := 0
	ok := waitFor(limit, func() bool {
		n++
		return status(http.MethodPut, "http://"+f.seeds[n%len(f.seeds)]+"/v1/config", body) == 200
	})
	f.record.add("operator: config %v acknowledged: %v", config["version"], ok)
	return ok
}

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status makes a call and returns the status of the answer, or 0.
func status(method, url string, body []byte) int {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := plainClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// waitFor tries until it succeeds or the limit is over.
func waitFor(limit time.Duration, try func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if try() {
			return true
		}
	}
	return false
}

// route returns a route of a configuration.
func route(name, kind, service string, timeout, objective time.Duration, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"slo_ms": objective.Milliseconds(), "priority": 0, "service": service, "max_attempts": 1, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns a configuration with the limits and the tenant of all cases.
func config(version int, services []string, routes ...map[string]any) map[string]any {
	list := make([]map[string]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 520, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// record is what was sent, answered and run, in order of time.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines strings.Builder
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.lines, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(&r.lines, format, args...)
	r.lines.WriteByte('\n')
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(r.lines.String()), 0o644)
}
