// Package procs runs nodes as processes on loopback. The backend servers and the log run in this
// process.
//
// # Model
//
// Each node is a process of the built binary with settings of its own. Its log lines say when it
// decided each record and when the state of a member changed; convergence and failure detection
// are measured from them, without requests to the node. Processor time and memory come from the
// operating system. Close ends all processes.
//
// # Usage
//
//	f, err := procs.Start(ctx, procs.Config{
//		Binary: "bin/cicadaseam", SettingsDir: dir, Plan: plan.New(64), ReadersPerZone: 2, Fanout: 4,
//	})
//	defer f.Close()
package procs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/bench/plan"
	"github.com/cicadaseam/cicadaseam/internal/daemon/api"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logd"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// Config describes the fleet to start.
type Config struct {
	Binary         string // path of the cicadaseam command
	SettingsDir    string // folder for the settings of the nodes
	Plan           plan.Plan
	ReadersPerZone int
	Fanout         int           // push fan-out
	ServiceTime    time.Duration // of each request at a backend server
}

// Node is a node process and its backend server.
type Node struct {
	Host    plan.Host
	Backend *backend.Server
	CallURL string      // URL of the address where the node takes calls
	Client  *api.Client // client of the operator API

	fleet        *Fleet
	settingsFile string
	operatorURL  string
	backendURL   string // where the backend server announces itself
	cmd          *exec.Cmd
	logs         *logWatcher
	exited       chan struct{} // closed when the process has exited
}

// Fleet holds the nodes, their backend servers and the log.
type Fleet struct {
	Nodes []*Node
	Log   *logstore.Store

	cfg    Config
	server *http.Server
	logURL string
	http   *http.Client
}

const (
	// maxParallelStarts bounds the processes that StartAll starts concurrently.
	maxParallelStarts = 16
	// stopTimeout bounds the wait for the processes to exit before they are killed.
	stopTimeout = 5 * time.Second
)

// Start starts the log, the backend servers and the nodes.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Log: logstore.New(), http: &http.Client{Timeout: 5 * time.Second}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the log")
	}
	f.server = &http.Server{Handler: logd.New(f.Log)}
	f.logURL = "http://" + l.Addr().String()
	go func() { _ = f.server.Serve(l) }() // ends when Close is called
	for _, h := range cfg.Plan.Hosts {
		n, err := f.prepareNode(h)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Nodes = append(f.Nodes, n)
	}
	if err := f.StartAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepareNode writes the settings of a node and starts its backend server.
func (f *Fleet) prepareNode(h plan.Host) (*Node, error) {
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	n := &Node{Host: h, fleet: f, CallURL: "http://" + addrs[0], operatorURL: "http://" + addrs[3], backendURL: "http://" + addrs[2]}
	n.Client = api.New(n.operatorURL, "")
	n.settingsFile = filepath.Join(f.cfg.SettingsDir, h.Name+".ini")
	text := fmt.Sprintf("[node]\nname = %s\nregion = %s\ndeployment = %s\nzone = %s\n"+
		"[listen]\ncalls = %s\nlinks = %s\nbackend = %s\noperator = %s\n[log]\nurl = %s\n"+
		"[spread]\nreaders = %d\nfanout = %d\n",
		h.Name, h.Locality.Region, h.Locality.Deployment, h.Locality.Zone, addrs[0], addrs[1], addrs[2], addrs[3],
		f.logURL, f.cfg.ReadersPerZone, f.cfg.Fanout)
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a backend server")
	}
	n.Backend = backend.New(h.Service, backend.WithName(h.Name), backend.WithSlots(plan.SlotsPerBackend), backend.WithServiceTime(f.cfg.ServiceTime))
	n.Backend.Start(l, n.backendURL)
	return n, nil
}

// Ports for the nodes are below the range of ephemeral ports, so that no outgoing connection can
// take one between the check that it is free and its use.
const (
	firstPort = 20000
	endPort   = 32000 // the first port after the range
)

// triedPort is the last port that freeAddrs tried. Its start depends on the process id, so
// that concurrent experiments begin at different ports.
var triedPort = firstPort + os.Getpid()%8000

// freeAddrs returns loopback addresses whose ports are free at the moment.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for attempts := 0; len(out) < n; attempts++ {
		if attempts > endPort-firstPort {
			return nil, errors.New("no free port")
		}
		triedPort++
		if triedPort >= endPort {
			triedPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", triedPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close() // opened only to check that the port is free
		out = append(out, addr)
	}
	return out, nil
}

// StartAll starts all nodes that are not running, maxParallelStarts at a time.
func (f *Fleet) StartAll(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(f.Nodes))
	semaphore := make(chan struct{}, maxParallelStarts)
	for _, n := range f.Nodes {
		if n.running() || ctx.Err() != nil {
			continue
		}
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			errs <- n.Start()
		}()
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// running reports whether the process of the node was started and has not exited.
func (n *Node) running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Start starts the process of a node.
func (n *Node) Start() error {
	n.logs = newLogWatcher()
	n.cmd = exec.Command(n.fleet.cfg.Binary, "node", n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = n.logs, n.logs
	if err := n.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", n.Host.Name)
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait() // a killed process exits with an error
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process of a node.
func (n *Node) Signal(s syscall.Signal) error {
	return n.cmd.Process.Signal(s)
}

// Kill ends the process of a node at once.
func (n *Node) Kill() {
	if !n.running() {
		return
	}
	_ = n.cmd.Process.Kill() // it may have exited in the meantime
	<-n.exited
}

// Close terminates all node processes, kills those that do not exit within stopTimeout, and stops
// the backend servers and the log.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		if n.running() {
			_ = n.Signal(syscall.SIGCONT)
			_ = n.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(stopTimeout)
	for _, n := range f.Nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-deadline:
			deadline = expired
			n.Kill()
		}
	}
	for _, n := range f.Nodes {
		n.Backend.Kill()
	}
	_ = f.server.Close() // no process uses the log any more
}

// expired is a closed channel: a deadline that has passed.
var expired = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// WaitReady waits until every node has a configuration and sees all other nodes alive.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for {
			if !n.running() {
				return errors.Newf("%s exited: %s", n.Host.Name, n.logs.last())
			}
			metrics, err := n.metrics(ctx)
			if err == nil && metrics["member.alive"] == float64(len(f.Nodes)-1) && metrics["config.version"] > 0 {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Newf("%s is not ready: it sees %v other nodes alive; last error: %v", n.Host.Name, metrics["member.alive"], err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
