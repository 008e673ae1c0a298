// Package procs runs nodes as plain processes on loopback, beside backend
// servers and a log in this process.
//
// # Model
//
// Each node is a process of the built binary with settings of its own. Its log
// lines tell when it took each record and when members changed, which is how
// convergence and detection are measured without asking the node. Processor
// time and memory come from the operating system. Whatever is started is ended
// by Close.
//
// # Usage
//
//	f, err := procs.Start(ctx, procs.Config{Binary: "bin/cicadaseam", Plan: plan.New(64)})
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

// Config is what to start.
type Config struct {
	Binary         string
	SettingsDir    string
	Plan           plan.Plan
	ReadersPerZone int
	Fanout         int
	ServiceTime    time.Duration
}

// Node is one node process.
type Node struct {
	Host    plan.Host
	Backend *backend.Server
	CallURL string
	Client  *api.Client

	fleet    *Fleet
	settings string
	operator string
	announce string
	cmd      *exec.Cmd
	lines    *lines
	exited   chan struct{}
}

// Fleet is all that was started.
type Fleet struct {
	Nodes []*Node
	Log   *logstore.Store

	cfg    Config
	server *http.Server
	logURL string
	http   *http.Client
}

const (
	startParallel = 16
	stopWait      = 5 * time.Second
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
	go func() { _ = f.server.Serve(l) }() // ends with Close
	for _, h := range cfg.Plan.Hosts {
		n, err := f.prepare(h)
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

// prepare writes the settings of a node and starts its backend server.
func (f *Fleet) prepare(h plan.Host) (*Node, error) {
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	n := &Node{Host: h, fleet: f, CallURL: "http://" + addrs[0], operator: "http://" + addrs[3], announce: "http://" + addrs[2]}
	n.Client = api.New(n.operator, "")
	n.settings = filepath.Join(f.cfg.SettingsDir, h.Name+".ini")
	text := fmt.Sprintf("[node]\nname = %s\nregion = %s\ndeployment = %s\nzone = %s\n"+
		"[listen]\ncalls = %s\nlinks = %s\nbackend = %s\noperator = %s\n[log]\nurl = %s\n"+
		"[spread]\nreaders = %d\nfanout = %d\n",
		h.Name, h.Locality.Region, h.Locality.Deployment, h.Locality.Zone, addrs[0], addrs[1], addrs[2], addrs[3],
		f.logURL, f.cfg.ReadersPerZone, f.cfg.Fanout)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a backend server")
	}
	n.Backend = backend.New(h.Service, backend.WithName(h.Name), backend.WithSlots(plan.SlotsPerBackend), backend.WithServiceTime(f.cfg.ServiceTime))
	n.Backend.Start(l, n.announce)
	return n, nil
}

// Ports below the range that the system hands out to connections, so that none
// of those can take a port between the look and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the next port to look at.
var nextPort = firstPort + os.Getpid()%8000

// freeAddrs returns loopback addresses that are free now.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free port")
		}
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close() // it was opened only to see whether it opens
		out = append(out, addr)
	}
	return out, nil
}

// StartAll starts every node that does not run, all at once.
func (f *Fleet) StartAll(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(f.Nodes))
	slots := make(chan struct{}, startParallel)
	for _, n := range f.Nodes {
		if n.running() || ctx.Err() != nil {
			continue
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
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
	n.lines = newLines()
	n.cmd = exec.Command(n.fleet.cfg.Binary, "node", n.settings)
	n.cmd.Stderr = n.lines
	if err := n.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", n.Host.Name)
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait() // a killed process is meant to fail
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
	_ = n.cmd.Process.Kill() // it may just have exited
	<-n.exited
}

// Close ends every process that was started.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		if n.running() {
			_ = n.Signal(syscall.SIGCONT)
			_ = n.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(stopWait)
	for _, n := range f.Nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-deadline:
			deadline = closedTime
			n.Kill()
		}
	}
	for _, n := range f.Nodes {
		n.Backend.Kill()
	}
	_ = f.server.Close() // nothing uses the log any more
}

// closedTime is a deadline that is over.
var closedTime = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// WaitReady waits until every node takes calls and knows every backend server.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for {
			if !n.running() {
				return errors.Newf("%s ended: %s", n.Host.Name, n.lines.last())
			}
			fleet, err := n.metrics(ctx)
			if err == nil && fleet["member.alive"] == float64(len(f.Nodes)-1) && fleet["config.version"] > 0 {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Newf("%s is not ready: %v %v", n.Host.Name, fleet["member.alive"], err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
