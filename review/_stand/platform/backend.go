package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that reached a backend server.
type arrival struct {
	id   string
	at   time.Time
	ran  bool
	node string // the machine of the backend server
	key  bool   // whether the request still had the client's key
}

// backend is a backend server: it runs a request of work time, echoes its ID, and answers 421 to a
// request for another instance.
type backend struct {
	machine *machine
	id      string
	slots   int
	work    time.Duration
	server  *http.Server
	// listener is that of the server.
	listener net.Listener

	mu       sync.Mutex
	sequence int
	beating  bool
	state    string
	born     int64 // 0 where the backend servers do not tell it
	arrivals []arrival
	down     bool
}

// startBackend starts a backend server at the address of the machine.
func (m *machine) startBackend(id string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	b := &backend{machine: m, id: id, slots: slots, work: work, beating: true, state: "ready"}
	b.serve(l)
	go b.keepBeating()
	m.world.logf("%s: backend server %s of %s started", m.name, id, m.service)
	return b, nil
}

// serve serves the connections of a listener.
func (b *backend) serve(l net.Listener) {
	server := &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	b.listener, b.server = l, server
	go func() { _ = server.Serve(l) }()
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Cicadaseam-Instance-Id", b.id)
		return
	}
	if r.URL.Path == poisonPath {
		b.crash(r)
	}
	id := r.Header.Get("X-Cicadaseam-Attempt-Id")
	a := arrival{id: id, at: time.Now(), node: b.machine.name}
	expected := r.Header.Get("X-Cicadaseam-Expected-Instance")
	a.key = r.Header.Get("Authorization") != ""
	a.ran = expected == "" || expected == b.id
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	w.Header().Set("X-Cicadaseam-Attempt-Id", id)
	w.Header().Set("X-Cicadaseam-Instance-Id", b.id)
	if !a.ran {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	hash := fnv.New64a()
	size, _ := io.Copy(hash, r.Body)
	time.Sleep(b.work)
	b.machine.world.logf("%s: %s ran %s %s, body of %d bytes", b.machine.name, b.id, id, r.URL.Path, size)
	w.Header().Set("X-Cicadaseam-Response-Seal", fmt.Sprintf("%s.%x", b.id, hash.Sum64()))
	_, _ = io.WriteString(w, "done "+id)
}

func (b *backend) beat(state string) beat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return beat{Service: b.machine.service, Address: b.machine.addr(portApp), Zone: b.machine.zone, Version: "v1", Slots: b.slots, State: state, Sequence: b.sequence, Born: b.born}
}

func (b *backend) keepBeating() {
	for {
		b.mu.Lock()
		beating, state, id, down := b.beating, b.state, b.id, b.down
		b.mu.Unlock()
		if !beating {
			return
		}
		if !down {
			b.machine.call(http.MethodPut, id, b.beat(state))
		}
		time.Sleep(beatPeriod)
	}
}

func (b *backend) stopBeating() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beating = false
}

// leaving makes the next heartbeats say that the server is draining.
func (b *backend) leaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
}

func (b *backend) stop() { _ = b.server.Close() }

func (b *backend) all() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
