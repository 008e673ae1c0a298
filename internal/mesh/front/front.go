// Package front takes HTTP/1.1 requests of callers.
//
// # Model
//
// Each connection has a duty that reads requests and one that writes answers,
// joined by a bounded queue. Requests that a caller sends before the first is
// answered run side by side, and their answers are written in the order in which
// the requests came. A caller that closes its connection cancels all that it has
// open, at once.
//
// A connection is closed only between a whole answer and the next request: the
// last answer says so, and a request that crosses it is not passed on.
//
// # Invariants
//
//   - Answers are whole, and in the order of their requests.
//   - A request that was read is answered, or its caller has gone.
//   - After an answer that closes the connection no request of it is passed on.
//
// # Usage
//
//	s := front.New(handler, front.WithLimits(limits))
//	go s.Serve(listener)
//	s.Drain()
//	s.Close(ctx)
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// Handler answers requests. The context ends when the caller has gone.
type Handler func(ctx context.Context, r *dispatch.Request) *dispatch.Reply

// Defaults of limits that the configuration does not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	bodyTimeout          = 30 * time.Second
	// writeTimeout bounds how long a caller may take to read its answer.
	writeTimeout = 20 * time.Second
	// maxPipelined bounds the requests of one connection that are open.
	maxPipelined = 32
	// lingerTime is how long a closed connection is still read, so that its last
	// answer is not lost to a reset.
	lingerTime = 200 * time.Millisecond
	// headerSlack is the room beside the header bytes for the request line.
	headerSlack = 4 << 10
)

// Server serves connections of callers.
type Server struct {
	handler Handler
	limits  func() cicadaseam.Limits

	draining atomic.Bool
	open     atomic.Int64 // requests that are not answered

	// work ends when the server gives up what is still open.
	work   context.Context
	giveUp context.CancelFunc

	mu    sync.Mutex
	conns map[*conn]bool
	wg    sync.WaitGroup
}

// Option changes a new Server.
type Option func(*Server)

// WithLimits sets where the limits in force are found.
func WithLimits(f func() cicadaseam.Limits) Option { return func(s *Server) { s.limits = f } }

// New returns a server that hands requests to a handler.
func New(handler Handler, opts ...Option) *Server {
	s := &Server{
		handler: handler,
		limits:  func() cicadaseam.Limits { return cicadaseam.Limits{} },
		conns:   map[*conn]bool{},
	}
	s.work, s.giveUp = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			continue
		}
		if err != nil {
			return
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Open returns how many requests are not answered.
func (s *Server) InFlight() int64 { return s.open.Load() }

// Drain makes each connection end with its next answer. Requests are still taken.
func (s *Server) Drain() { s.draining.Store(true) }

// GiveUp cancels the requests that are open. Each gets the answer of its handler to
// that, so that the answers which are ready behind it are delivered.
func (s *Server) CancelRequests() { s.giveUp() }

// Close closes the connections that have no request open, and waits until the
// others have answered or the context ends.
func (s *Server) Shutdown(ctx context.Context) bool {
	s.Drain()
	s.mu.Lock()
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	return wait.Group(ctx, &s.wg)
}

// limitsNow returns the limits in force, with defaults.
func (s *Server) limitsNow() cicadaseam.Limits {
	l := s.limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
