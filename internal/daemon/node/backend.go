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

// Announcement is the message with which a backend server registers with its node and
// renews its lease.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Instance changes with each start of the backend server. It distinguishes a new
	// server at the same address from a server that renews its lease.
	Instance string `json:"instance,omitempty"`
	// Draining is set by a backend server that has been drained and still renews its lease. A node
	// that has restarted since does not know of the drain.
	Draining bool `json:"draining,omitempty"`
}

// backendRegistrar registers the backend server of a node and holds its lease.
type backendRegistrar struct {
	node *Node

	mu        sync.Mutex
	current   *Announcement // nil when no backend server is registered
	runner    *runner.Runner
	renewedAt time.Time
	draining  bool
}

func newBackendRegistrar(n *Node) *backendRegistrar {
	return &backendRegistrar{node: n}
}

// handler returns the HTTP API for the backend server:
//
//	PUT    /v1/backend        register, or renew the lease
//	POST   /v1/backend/drain  send no more new calls
//	DELETE /v1/backend        deregister
func (b *backendRegistrar) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/backend", b.handleAnnouncement)
	m.HandleFunc("POST /v1/backend/drain", func(w http.ResponseWriter, _ *http.Request) {
		b.drain()
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("DELETE /v1/backend", func(w http.ResponseWriter, _ *http.Request) {
		b.remove()
		w.WriteHeader(http.StatusNoContent)
	})
	return m
}

func (b *backendRegistrar) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	const maxBodyBytes = 4096
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

// problem describes what is invalid in an announcement. It is empty for a valid one.
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

// renew registers the backend server that an announcement describes, or renews its lease if
// it is registered already. An announcement that differs from the current one replaces it
// and ends a drain; an equal one does not, so that a draining backend server that renews
// its lease stays draining until it deregisters or its lease expires.
func (b *backendRegistrar) renew(a Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renewedAt = time.Now()
	if a.Draining {
		b.drainLocked()
		return
	}
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
	b.gossipState()
	b.node.logger.Info("backend server announced", zap.String("service", a.Service), zap.String("address", a.Address), zap.Int("slots", a.Slots))
}

// drain makes the target refuse queued and new calls, and gossips the new state.
func (b *backendRegistrar) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainLocked()
}

// drainLocked is drain for callers that hold b.mu.
func (b *backendRegistrar) drainLocked() {
	if b.current == nil || b.draining {
		return
	}
	b.draining = true
	b.node.target.Drain()
	b.gossipState()
	b.node.logger.Info("backend server is draining", zap.String("service", b.current.Service))
}

// remove removes the backend server, after it deregistered or crashed, or when its lease
// has expired. It gets calls again once it registers again.
func (b *backendRegistrar) remove() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return
	}
	b.node.logger.Info("backend server removed", zap.String("service", b.current.Service))
	b.current = nil
	b.draining = false
	b.node.target.Detach()
	b.gossipState()
}

// gossipState gossips the state of the backend server. Before the node is ready
// it does nothing, so that entry nodes do not try a target that has to refuse their
// calls. b.mu must be held.
func (b *backendRegistrar) gossipState() {
	if !b.node.ready() {
		return
	}
	if b.current == nil {
		b.node.gossip.SetBackend(cicadaseam.Backend{})
		return
	}
	b.node.gossip.SetBackend(b.node.target.Backend())
}

// gossipWhenReady gossips, once the node is ready, the state of a backend server that
// registered earlier.
func (b *backendRegistrar) gossipWhenReady(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.node.Ready():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.gossipState()
	}
}

// run removes the backend server when its lease expires, until the context ends.
func (b *backendRegistrar) run(ctx context.Context) {
	sub := b.node.timers.Subscribe(b.node.settings.BackendLease / 4)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sub.C:
			if b.leaseExpired(now) {
				b.remove()
			}
		}
	}
}

// leaseExpired reports whether a backend server is registered whose lease has expired.
func (b *backendRegistrar) leaseExpired(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current != nil && now.Sub(b.renewedAt) > b.node.settings.BackendLease
}
