// Package backend is a stand-in backend server.
//
// # Model
//
// A Server answers each request after its service time with a JSON Echo of the
// request. It announces itself to its node and renews; it takes no more
// requests at once than it has slots and sheds the rest with 503. Faults make
// it slow, failing, or crash: a crash closes the listener and all connections
// at once, as a process that dies. It counts each run by Idempotency-Key and
// by the caller's own token in the X-Token header, which is how tests find
// out what really ran.
//
// # Usage
//
//	b := backend.New("status-portal", backend.WithSlots(20))
//	err := b.Start(listen, "http://127.0.0.1:8081")
//	defer b.Stop()
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/wait"
)

// HeaderToken carries a caller's own mark of a request.
const HeaderToken = "X-Token"

// CrashPath is the path part that crashes a server when it may.
const CrashPath = "/crash"

// Echo is the answer to each request.
type Echo struct {
	Service   string `json:"service"`
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Token     string `json:"token"`
	BodyBytes int    `json:"bodyBytes"`
	Run       int64  `json:"run"`
}

// Faults are what is wrong with a server at the moment.
type Faults struct {
	// Slow multiplies the service time when over 0.
	ServiceTimeFactor float64
	// Fail is the share of requests answered with 500.
	FailureRate float64
	// CrashOnPath lets a request with CrashPath in its path crash the server.
	CrashOnPath bool
}

// Server is one stand-in backend server.
type Server struct {
	service     string
	name        string
	slots       int
	connections int
	serviceTime time.Duration
	next        DownstreamFunc
	client      *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	runs     map[string]int64
	conns    map[net.Conn]bool
	listener net.Listener
	server   *http.Server
	nodeURL  string
	instance string
	crashed  bool
	stop     context.CancelFunc
	wg       sync.WaitGroup

	running atomic.Int64
	peak    atomic.Int64
	count   atomic.Int64
	shed    atomic.Int64
}

// Next lets a server call another service before it answers.
type DownstreamFunc func(ctx context.Context, r *http.Request) error

// Option changes a new Server.
type Option func(*Server)

// WithName sets the name of the server.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithSlots sets how many requests run at once.
func WithSlots(n int) Option { return func(s *Server) { s.slots = n } }

// WithConnections sets the connections that are announced.
func WithConnections(n int) Option { return func(s *Server) { s.connections = n } }

// WithServiceTime sets how long a request takes.
func WithServiceTime(d time.Duration) Option { return func(s *Server) { s.serviceTime = d } }

// WithClient replaces the HTTP client for announcements, for tests.
func WithClient(c *http.Client) Option { return func(s *Server) { s.client = c } }

const (
	renewPeriod     = time.Second
	announceTimeout = 500 * time.Millisecond
)

// New returns a server that does not yet listen.
func New(service string, opts ...Option) *Server {
	s := &Server{
		service:     service,
		name:        service,
		slots:       20,
		connections: 120,
		serviceTime: 2 * time.Millisecond,
		client:      &http.Client{Timeout: announceTimeout},
		rng:         rand.New(rand.NewPCG(rand.Uint64(), 0)),
		runs:        map[string]int64{},
		conns:       map[net.Conn]bool{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Start serves on a listener and announces the server to its node.
func (s *Server) Start(l net.Listener, nodeURL string) {
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{Handler: s, ConnState: s.track}
	s.mu.Lock()
	s.listener, s.server, s.stop, s.crashed = l, server, stop, false
	s.nodeURL = nodeURL
	s.instance = fmt.Sprintf("%016x", s.rng.Uint64())
	s.mu.Unlock()
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		_ = server.Serve(l) // ends when the listener is closed
	}()
	go func() {
		defer s.wg.Done()
		s.renew(ctx)
	}()
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *Server) renew(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		s.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_ = s.announce(ctx) // the next renewal tries again
}

func (s *Server) announce(ctx context.Context) error {
	addr := s.Addr()
	s.mu.Lock()
	instance := s.instance
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": addr, "slots": s.slots, "connections": s.connections, "instance": instance,
	})
	if err != nil {
		return err
	}
	return s.tell(ctx, http.MethodPut, "/v1/backend", body)
}

func (s *Server) tell(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, s.nodeURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("node answered %d: %s", resp.StatusCode, text)
	}
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetNext sets a call to another service that each request makes.
func (s *Server) SetDownstream(n DownstreamFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = n
}

// Drain asks the node for no more new work.
func (s *Server) Drain(ctx context.Context) error {
	return s.tell(ctx, http.MethodPost, "/v1/backend/drain", nil)
}

// Return announces the server anew after a drain.
func (s *Server) Reannounce(ctx context.Context) error {
	s.mu.Lock()
	s.instance = fmt.Sprintf("%016x", s.rng.Uint64())
	s.mu.Unlock()
	return s.announce(ctx)
}

// Stop says goodbye and stops, letting requests in flight finish.
func (s *Server) Stop() {
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_ = s.tell(ctx, http.MethodDelete, "/v1/backend", nil) // the lease ends anyway
	s.Kill()
}

// Kill stops the server at once without a word.
func (s *Server) Kill() {
	s.stop()
	s.crash()
	s.wg.Wait()
}

// crash closes the listener and all connections.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	s.stop()
	_ = s.listener.Close() // a dead process has no listener
	for c := range s.conns {
		_ = c.Close() // nor connections
	}
}

// Crashed reports whether the server has crashed.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Runs returns how often requests with a key or token were run.
func (s *Server) Runs(token string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[token]
}

// AllRuns returns the runs of every key and token.
func (s *Server) AllRuns() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Stats are the counts of a server.
type Stats struct {
	Runs         int64
	Shed         int64
	PeakInFlight int64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{Runs: s.count.Load(), Shed: s.shed.Load(), PeakInFlight: s.peak.Load()}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.peak.Load(); n > peak && !s.peak.CompareAndSwap(peak, n); peak = s.peak.Load() {
	}
	if n > int64(s.slots) {
		s.shed.Add(1)
		http.Error(w, "over capacity", http.StatusServiceUnavailable)
		return
	}
	run := s.note(r)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	faults := s.currentFaults()
	if faults.CrashOnPath && strings.Contains(r.URL.Path, CrashPath) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if !s.work(r.Context(), faults) {
		return
	}
	s.answer(w, r, faults, Echo{
		Service: s.service, Server: s.name, Method: r.Method, Path: r.URL.Path,
		Token: r.Header.Get(HeaderToken), BodyBytes: int(body), Run: run,
	})
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, faults Faults, e Echo) {
	if s.roll() < faults.FailureRate {
		http.Error(w, "failed on purpose", http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	next := s.next
	s.mu.Unlock()
	if next != nil {
		if err := next(r.Context(), r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e) // the node may be gone
}

// note counts a run. Only the start of a run counts, whatever comes of it.
func (s *Server) note(r *http.Request) int64 {
	run := s.count.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, token := range []string{r.Header.Get("Idempotency-Key"), r.Header.Get(HeaderToken)} {
		if token != "" {
			s.runs[token]++
		}
	}
	return run
}

// work takes the service time. It returns false when the request was canceled.
func (s *Server) work(ctx context.Context, f Faults) bool {
	d := s.serviceTime
	if f.ServiceTimeFactor > 0 {
		d = time.Duration(float64(d) * f.ServiceTimeFactor)
	}
	return wait.Sleep(ctx, d)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) roll() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// String names the server.
func (s *Server) String() string { return fmt.Sprintf("%s (%s)", s.name, s.service) }

// WaitIdle returns when no request runs or the context ends.
func (s *Server) WaitIdle(ctx context.Context) {
	const look = 5 * time.Millisecond
	for s.running.Load() > 0 && ctx.Err() == nil {
		time.Sleep(look)
	}
}

// Adopt takes over the counts of the server that this one replaces, so that
// runs are counted over restarts.
func (s *Server) InheritRuns(old *Server) {
	runs := old.AllRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	for token, n := range runs {
		s.runs[token] += n
	}
}
