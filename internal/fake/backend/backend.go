// Package backend is a simulated backend server for tests, measurements and the demo.
//
// # Model
//
// A Server answers each request after its service time with a JSON Echo of the request. It
// announces itself to its node and renews the announcement periodically. It runs at most as many
// requests at once as it has slots and rejects the others with 503. Faults make it slow, make
// requests fail, or let it crash: a crash closes the listener and all connections at once, as
// when a process dies. The server counts the runs of requests by Idempotency-Key and by the token
// of the caller in the X-Token header, so that tests can check which requests really ran.
//
// # Usage
//
//	b := backend.New("status-portal", backend.WithSlots(20))
//	b.Start(listener, "http://127.0.0.1:8081")
//	defer b.Stop()
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// HeaderToken is the header field with a token by which the caller identifies a request.
const HeaderToken = "X-Token"

// CrashPath is the part of a path by which a request crashes a server with Faults.CrashOnPath.
const CrashPath = "/crash"

// Echo is the body of the answer to a request.
type Echo struct {
	Service   string `json:"service"`
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Token     string `json:"token"`
	BodyBytes int    `json:"bodyBytes"`
	Run       int64  `json:"run"` // number of requests run so far, this one included
}

// Faults are the faults that a server simulates.
type Faults struct {
	// ServiceTimeFactor multiplies the service time if it is greater than 0.
	ServiceTimeFactor float64
	// FailureRate is the share of requests, from 0 to 1, that are answered with 500.
	FailureRate float64
	// CrashOnPath makes a request with CrashPath in its path crash the server.
	CrashOnPath bool
	// AnswerHeader is added to each answer.
	AnswerHeader http.Header
}

// Server is a simulated backend server.
type Server struct {
	service     string
	name        string
	slots       int
	connections int
	serviceTime time.Duration
	downstream  DownstreamFunc
	client      *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	runs     map[string]int64 // by idempotency key and by token
	conns    map[net.Conn]bool
	listener net.Listener
	server   *http.Server
	nodeURL  string
	instance string
	draining bool // since Drain
	crashed  bool
	stop     context.CancelFunc
	wg       sync.WaitGroup

	inFlight     atomic.Int64
	peakInFlight atomic.Int64
	totalRuns    atomic.Int64
	shed         atomic.Int64
}

// DownstreamFunc calls another service on behalf of a request, before the request is answered. If
// it returns an error, the request is answered with 502.
type DownstreamFunc func(ctx context.Context, r *http.Request) error

// Option configures a new Server.
type Option func(*Server)

// WithName sets the name of the server.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithSlots sets how many requests the server runs at once.
func WithSlots(n int) Option { return func(s *Server) { s.slots = n } }

// WithConnections sets the limit on connections that the server announces to its node.
func WithConnections(n int) Option { return func(s *Server) { s.connections = n } }

// WithServiceTime sets how long the server takes to run a request.
func WithServiceTime(d time.Duration) Option { return func(s *Server) { s.serviceTime = d } }

// WithClient sets the HTTP client for requests to the node.
func WithClient(c *http.Client) Option { return func(s *Server) { s.client = c } }

const (
	// renewPeriod is the time between announcements.
	renewPeriod = time.Second
	// announceTimeout bounds one announcement, and the withdrawal of it on Stop.
	announceTimeout = 500 * time.Millisecond
)

// New returns a server that is not started.
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

// Start starts serving on a listener and announcing the server to its node. Each start is a new
// instance of the backend server.
func (s *Server) Start(l net.Listener, nodeURL string) {
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{Handler: s, ConnState: s.trackConn}
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
		s.renewLoop(ctx)
	}()
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *Server) renewLoop(ctx context.Context) {
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
	_ = s.announce(ctx) // the next renewal retries
}

func (s *Server) announce(ctx context.Context) error {
	addr := s.Addr()
	s.mu.Lock()
	instance, draining := s.instance, s.draining
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": addr, "slots": s.slots, "connections": s.connections, "instance": instance, "draining": draining,
	})
	if err != nil {
		return err
	}
	return s.callNode(ctx, http.MethodPut, "/v1/backend", body)
}

func (s *Server) callNode(ctx context.Context, method, path string, body []byte) error {
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

// Addr returns the address on which the server listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetDownstream sets a function that is called for each request before it is answered.
func (s *Server) SetDownstream(downstream DownstreamFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downstream = downstream
}

// Drain asks the node to send no new requests. Later announcements say so too.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.callNode(ctx, http.MethodPost, "/v1/backend/drain", nil)
}

// Reannounce announces the server as a new instance after a drain.
func (s *Server) Reannounce(ctx context.Context) error {
	s.mu.Lock()
	s.instance = fmt.Sprintf("%016x", s.rng.Uint64())
	s.draining = false
	s.mu.Unlock()
	return s.announce(ctx)
}

// Stop withdraws the announcement from the node and then kills the server, as Kill does. It does
// not wait for requests in flight.
func (s *Server) Stop() {
	s.stop()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_ = s.callNode(ctx, http.MethodDelete, "/v1/backend", nil) // without it, the lease expires
	s.Kill()
}

// Kill stops the server at once, with the requests in flight, and does not notify the node.
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
	_ = s.listener.Close() // the process that this simulates has died; nothing handles errors
	for c := range s.conns {
		_ = c.Close() // as above
	}
}

// Crashed reports whether the server has crashed, was killed or was stopped.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Runs returns how many times the server ran requests with an idempotency key or token.
func (s *Server) Runs(token string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[token]
}

// AllRuns returns the number of runs for each idempotency key and token.
func (s *Server) AllRuns() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Stats holds the counts of a server.
type Stats struct {
	Runs int64
	// Shed is the number of requests that were rejected because all slots were occupied.
	Shed int64
	// PeakInFlight is the highest number of requests at once, with those that were rejected.
	PeakInFlight int64
}

// Stats returns the counts of requests so far.
func (s *Server) Stats() Stats {
	return Stats{Runs: s.totalRuns.Load(), Shed: s.shed.Load(), PeakInFlight: s.peakInFlight.Load()}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	maps.Copy(w.Header(), s.currentFaults().AnswerHeader)
	n := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	for peak := s.peakInFlight.Load(); n > peak && !s.peakInFlight.CompareAndSwap(peak, n); peak = s.peakInFlight.Load() {
	}
	if n > int64(s.slots) {
		s.shed.Add(1)
		http.Error(w, "over capacity", http.StatusServiceUnavailable)
		return
	}
	run := s.countRun(r)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	faults := s.currentFaults()
	if faults.CrashOnPath && strings.Contains(r.URL.Path, CrashPath) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if !s.simulateWork(r.Context(), faults) {
		return
	}
	s.answer(w, r, faults, Echo{
		Service: s.service, Server: s.name, Method: r.Method, Path: r.URL.Path,
		Token: r.Header.Get(HeaderToken), BodyBytes: int(body), Run: run,
	})
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, faults Faults, e Echo) {
	if s.randomFloat() < faults.FailureRate {
		http.Error(w, "failed on purpose", http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	downstream := s.downstream
	s.mu.Unlock()
	if downstream != nil {
		if err := downstream(r.Context(), r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e) // fails only if the node is gone
}

// countRun counts a run under the key and the token of the request, and returns the total number
// of runs. A run is counted when it starts, even if it fails later.
func (s *Server) countRun(r *http.Request) int64 {
	run := s.totalRuns.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, token := range []string{r.Header.Get("Idempotency-Key"), r.Header.Get(HeaderToken)} {
		if token != "" {
			s.runs[token]++
		}
	}
	return run
}

// simulateWork waits for the service time. It returns false if the request was canceled.
func (s *Server) simulateWork(ctx context.Context, f Faults) bool {
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

func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// String returns the name and the service of the server.
func (s *Server) String() string { return fmt.Sprintf("%s (%s)", s.name, s.service) }

// WaitIdle returns when no request is running or the context is canceled.
func (s *Server) WaitIdle(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// InheritRuns adds the run counts of the old server, which this server replaces, so that runs
// are counted across restarts.
func (s *Server) InheritRuns(old *Server) {
	runs := old.AllRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	for token, n := range runs {
		s.runs[token] += n
	}
}
