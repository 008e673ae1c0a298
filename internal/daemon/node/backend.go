package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
)

// Announcement is what a backend server tells its node, and renews.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Instance is new with each start of the backend server. It tells a server
	// that was replaced at the same address from one that renews.
	Instance string `json:"instance,omitempty"`
}

// backendKeeper keeps the lease of the backend server of a node.
type backendKeeper struct {
	node *Node

	mu       sync.Mutex
	current  *Announcement
	runner   *runner.Runner
	renewed  time.Time
	draining bool
}

func newBackendKeeper(n *Node) *backendKeeper {
	return &backendKeeper{node: n}
}

// handler serves the backend server:
//
//	PUT    /v1/backend        announce or renew
//	POST   /v1/backend/drain  take no more new work
//	DELETE /v1/backend        gone
func (b *backendKeeper) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/backend", b.announce)
	m.HandleFunc("POST /v1/backend/drain", func(w http.ResponseWriter, _ *http.Request) {
		b.drain()
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("DELETE /v1/backend", func(w http.ResponseWriter, _ *http.Request) {
		b.lost()
		w.WriteHeader(http.StatusNoContent)
	})
	return m
}

func (b *backendKeeper) announce(w http.ResponseWriter, r *http.Request) {
	const maxBody = 4096
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.problem(); problem != "" {
		http.Error(w, "announcement: "+problem, http.StatusBadRequest)
		return
	}
	b.renew(a)
	w.WriteHeader(http.StatusNoContent)
}

func (a Announcement) problem() string {
	const maxSlots, maxConnections = 10000, 100000
	switch {
	case a.Service == "":
		return "service is empty"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots is outside 1 to 10000"
	case a.Connections < 1 || a.Connections > maxConnections:
		return "connections is outside 1 to 100000"
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return "address is not host:port"
	}
	return ""
}

// renew takes an announcement. A backend server that asked to drain stays
// draining until it says goodbye or its lease ends.
func (b *backendKeeper) renew(a Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renewed = time.Now()
	if b.current != nil && *b.current == a {
		return
	}
	b.current = &a
	b.draining = false
	opts := []runner.Option{runner.WithMaxConnections(a.Connections)}
	if b.node.dialer != nil {
		opts = append(opts, runner.WithDialer(b.node.dialer))
	}
	b.runner = runner.New(a.Address, opts...)
	backend := cicadaseam.Backend{Service: a.Service, Slots: a.Slots, Connections: a.Connections, State: cicadaseam.BackendReady}
	b.node.target.Attach(b.runner, backend)
	b.tell()
	b.node.logger.Info("backend server announced", zap.String("service", a.Service), zap.String("address", a.Address), zap.Int("slots", a.Slots))
}

func (b *backendKeeper) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil || b.draining {
		return
	}
	b.draining = true
	b.node.target.Drain()
	b.tell()
	b.node.logger.Info("backend server drains", zap.String("service", b.current.Service))
}

// lost forgets the backend server: it said goodbye, crashed, or its lease
// ended. It takes work again when it announces itself anew.
func (b *backendKeeper) lost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return
	}
	b.node.logger.Info("backend server gone", zap.String("service", b.current.Service))
	b.current = nil
	b.draining = false
	b.node.target.Detach()
	b.tell()
}

// tell lets the fleet know the backend server. Before the node is ready it
// tells of none, so that entry nodes do not try a target that must refuse. The
// lock is held.
func (b *backendKeeper) tell() {
	if !b.node.ready() {
		return
	}
	if b.current == nil {
		b.node.gossip.SetBackend(cicadaseam.Backend{})
		return
	}
	b.node.gossip.SetBackend(b.node.target.Backend())
}

// tellWhenReady tells of a backend server that announced itself early.
func (b *backendKeeper) tellWhenReady(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.node.Ready():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.tell()
	}
}

// run ends the lease of a backend server that does not renew.
func (b *backendKeeper) run(ctx context.Context) {
	sub := b.node.timers.Subscribe(b.node.settings.BackendLease / 4)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sub.C:
			if b.expired(now) {
				b.lost()
			}
		}
	}
}

func (b *backendKeeper) expired(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil && now.Sub(b.renewed) > b.node.settings.BackendLease
}
