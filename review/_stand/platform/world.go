// Command stand plays the cases of the review that are scripts: it starts the project's program as
// separate processes on loopback addresses, with stand-ins for the platform, its store, the backend
// servers and their clients.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadaseam/cicadaseam/platform/storetest"
)

// Bounds of the small deployments.
const (
	livenessTime = 3 * time.Second
	drainTime    = 2 * time.Second
	beatPeriod   = 870 * time.Millisecond
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
)

// Ports are the same on all machines.
const (
	portApp, portReady, portCalls, portControl, portLinks, portMetrics, portStore = 8301, 8302, 8304, 8306, 7620, 9100, 8309
)

// world is one small deployment.
type world struct {
	start    time.Time
	dir      string
	subnet   string // the first three numbers of all addresses
	store    *storetest.Store
	recordMu sync.Mutex
	record   io.Writer
	machines []*machine
	lastID   atomic.Int64
	trouble  bool

	strictKeys bool // whether strict_revoke is among the bounds
	// keepIDs is set if backend servers start again under the IDs that they had.
	keepIDs   bool
	crashMu   sync.Mutex
	crashList []crashed
}

func newWorld(record io.Writer, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, store: storetest.New(), record: record, trouble: trouble}
	for n := range 200 {
		w.subnet = fmt.Sprintf("127.%d.%d", 10+(os.Getpid()+n)%200, 1+os.Getpid()/200%250)
		l, err := net.Listen("tcp", w.addr(200, portStore))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, w.store) }()
		return w, nil
	}
	return nil, fmt.Errorf("no free address")
}

func (w *world) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.subnet, host, port) }

// logf writes a line to the record, with the seconds since the start.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) nextID(prefix string) string {
	return fmt.Sprintf("%s%08x", prefix, w.lastID.Add(1))
}

// close ends all processes.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	if os.Getenv("KEEP") != "" {
		w.logf("logs in %s", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// putConfig writes the operator's configuration, of a deployment without tenants.
func (w *world) putConfig(version int, routes []route) { w.putTenants(version, routes, nil) }

type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// putTenants writes the operator's configuration. It has no field tenants if the list is nil.
func (w *world) putTenants(version int, routes []route, tenants []tenant) {
	config := map[string]any{
		"version": version, "routes": routes, "services": []any{}, "base_version": version - 1,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	data, _ := json.Marshal(config)
	w.store.Write("keyed.op", "config", data)
	w.logf("the store acknowledged configuration %d", version)
}

type route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"path_prefix"`
	Type    string `json:"route_type"`
	Timeout int    `json:"timeout_ms"`
	Aim     int    `json:"target_latency_ms"`
	Prio    int    `json:"priority"`
	Service string `json:"service"`
	Max     int    `json:"max_attempts"`
}

// machine is one machine with its process.
type machine struct {
	world   *world
	number  int
	name    string
	zone    string
	service string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	status string
	// touchAt is when the machine is in touch again after the end and the start of a process.
	touchAt time.Time
}

func (w *world) addMachine(zone, service string) *machine {
	n := len(w.machines) + 1
	m := &machine{world: w, number: n, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service}
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) addr(port int) string { return m.world.addr(m.number, port) }

// settings is the text of platform/node.ini.tmpl for the machine.
func (m *machine) settings() string {
	keys, quota := "", ""
	if m.world.strictKeys {
		quota = "window = 5s\novershoot = 0.1\nslack = 20\n"
		keys = "strict = true\nrevoke = 5000ms\n"
	}
	return fmt.Sprintf(`[node]
name = %s
zone = %s
service = %s

[listen]
calls = %s
ready = %s
backend = %s
links = %s
metrics = %s

[store]
address = %s

[backend]
address = %s

[retry]
ratio = 0.2
slack = 58
window = 10s

[quota]
%s
[shutdown]
grace = 6s

[keys]
%s
[rollout]
`, m.name, m.zone, m.service, m.addr(portCalls), m.addr(portReady), m.addr(portControl), m.addr(portLinks), m.addr(portMetrics), m.world.addr(200, portStore), m.addr(portApp), quota, keys)
}

// run starts the process of the machine.
func (m *machine) run() error {
	file := filepath.Join(m.world.dir, m.name+".ini")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cicadasidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADASEAM_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.status = cmd, done, ""
	m.touchAt = time.Now().Add(livenessTime)
	m.mu.Unlock()
	m.world.logf("%s: process started", m.name)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		m.status = "exit status 0"
		if err != nil {
			m.status = err.Error()
		}
		m.world.logf("%s: process ended: %s", m.name, m.status)
		m.mu.Unlock()
		_ = logFile.Close()
		close(done)
	}()
	return nil
}

// inTouch reports whether the process has run for livenessTime without a signal.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status == "" && time.Now().After(m.touchAt)
}

// restart ends the process with SIGTERM, as the platform does, and starts the next one.
func (m *machine) restart() {
	m.mu.Lock()
	done := m.done
	m.touchAt = time.Now().Add(time.Hour)
	m.mu.Unlock()
	m.world.logf("%s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	<-done
	time.Sleep(restartDelay)
	_ = m.run()
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-done
}

// ended returns how the current process ended, or "" while it runs.
func (m *machine) ended() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// ready asks the node whether it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.ready() {
			m.world.logf("%s: ready", m.name)
			return true
		}
	}
	m.world.logf("%s: not ready after %v", m.name, limit)
	return false
}

// startAll starts a backend server and the process of each machine, and waits until all are ready.
func (w *world) startAll() bool {
	for _, m := range w.machines {
		if _, err := m.startBackend(w.nextID("i-"), 9, 100*time.Millisecond); err != nil || m.run() != nil {
			return false
		}
	}
	for _, m := range w.machines {
		if !m.awaitReady(5 * time.Second) {
			return false
		}
	}
	return true
}

// memory returns the anonymous memory of the process in MB.
func (m *machine) memory() float64 {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// beat is what a backend server says of itself.
type beat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMS   int    `json:"cold_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born,omitempty"`
}

// call makes a call to the control address of the machine. It returns the status, or 0.
func (m *machine) call(method, id string, body any) int {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+m.addr(portControl)+"/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
