package mux

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/base/ring"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// Server serves the connections of peers.
type Server struct {
	handler Handler
	workers *workers
	counts  Counters

	mu    sync.Mutex
	conns map[*serverConn]bool
	ended bool
	wg    sync.WaitGroup
	// open counts the requests whose answers are not yet written.
	open atomic.Int64
}

// NewServer returns a server that hands requests to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, workers: newWorkers(), conns: map[*serverConn]bool{}}
}

// Counters returns the counters of the server.
func (s *Server) Counters() *Counters { return &s.counts }

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	c := &serverConn{
		server:  s,
		netConn: nc,
		out:     ring.New(ringFrames, ring.Reject),
		w:       frame.NewWriter(countingWriter{nc, &s.counts.BytesOut}),
		running: map[uint64]context.CancelFunc{},
		partial: map[uint64]*frame.Assembler{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = nc.Close() // the server has ended
		return
	}
	s.conns[c] = true
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// Drain returns when every request has been answered and the answers are
// written, or the context ends. It reports whether all were.
func (s *Server) Drain(ctx context.Context) bool {
	const look = 5 * time.Millisecond
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Close ends all connections and waits for their duties.
func (s *Server) Close() {
	s.mu.Lock()
	s.ended = true
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.workers.close()
	s.wg.Wait()
}

// serverConn is the serving end of one connection.
type serverConn struct {
	server  *Server
	netConn net.Conn
	out     *ring.Ring

	// writing is held while frames are written, by the writer or by a handler.
	writing sync.Mutex
	w       *frame.Writer

	mu      sync.Mutex
	closed  bool
	running map[uint64]context.CancelFunc
	// partial and lastID are used by the reader alone.
	partial map[uint64]*frame.Assembler
	lastID  uint64
}

func (c *serverConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, cancel := range c.running {
		cancel()
	}
	c.out.Close()
	_ = c.netConn.Close() // nothing more is read or written
}

func (c *serverConn) readLoop() {
	defer c.server.wg.Done()
	defer c.leave()
	r := frame.NewReader(countingReader{c.netConn, &c.server.counts.BytesIn})
	var f frame.Frame
	if err := r.Read(&f); err != nil || f.Kind != frame.Hello || f.Method != frame.ProtocolVersion {
		return
	}
	for {
		if err := r.Read(&f); err != nil {
			return
		}
		if !c.take(&f) {
			return
		}
	}
}

func (c *serverConn) leave() {
	c.close()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
}

// take returns false when the peer broke the protocol.
func (c *serverConn) take(f *frame.Frame) bool {
	switch f.Kind {
	case frame.Ping:
		c.send(frame.Pong, 0, nil)
	case frame.Cancel:
		c.cancel(f.ID)
	case frame.Request:
		return c.takeRequest(f)
	}
	return true
}

func (c *serverConn) takeRequest(f *frame.Frame) bool {
	a := c.partial[f.ID]
	if a == nil {
		if f.ID <= c.lastID {
			c.server.counts.DroppedFrames.Add(1)
			return true
		}
		c.lastID = f.ID
		a = &frame.Assembler{}
		c.partial[f.ID] = a
	}
	whole, err := a.Add(f)
	if err != nil || len(c.partial) > maxServing {
		return false
	}
	if !whole {
		return true
	}
	delete(c.partial, f.ID)
	c.run(f.ID, f.Method, a.Data())
	return true
}

// run starts the handler, or refuses the request before any handler sees it.
func (c *serverConn) run(id uint64, method uint8, payload []byte) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	if c.closed || len(c.running) >= maxServing {
		c.mu.Unlock()
		cancel()
		c.send(frame.Refused, id, []byte("too many requests on this connection"))
		return
	}
	c.running[id] = cancel
	c.mu.Unlock()
	c.server.open.Add(1)
	c.server.workers.do(func() { c.serve(ctx, id, method, payload) })
}

func (c *serverConn) serve(ctx context.Context, id uint64, method uint8, payload []byte) {
	defer c.cancel(id)
	answer, err := c.server.handler.Serve(ctx, method, payload)
	c.server.counts.addMethod(method, len(payload), len(answer))
	if err != nil {
		c.answer(frame.Failure, id, []byte(err.Error()))
		return
	}
	c.answer(frame.Response, id, answer)
}

// answer sends the answer to a request that a handler served.
func (c *serverConn) answer(kind frame.Kind, id uint64, data []byte) {
	o := outgoing{frames: frame.Split(kind, id, 0, data), answer: true}
	if len(o.frames) == 1 && c.out.Len() == 0 && c.writing.TryLock() {
		c.answerDirect(o)
		return
	}
	if c.out.Push(o) {
		return
	}
	// The peer reads slowly: its handlers wait for it, each with its answer.
	c.writing.Lock()
	c.answerDirect(o)
}

// answerDirect writes an answer from its handler, which saves waking the
// writer. The writing lock is held.
func (c *serverConn) answerDirect(o outgoing) {
	ok := writeAll(c.w, o.frames, true)
	c.writing.Unlock()
	c.server.open.Add(-1)
	if !ok {
		c.close()
	}
}

func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
		delete(c.running, id)
	}
}

// send queues a message. When the queue is full the peer does not read: the
// connection is closed, and the peer learns that its answers are lost.
func (c *serverConn) send(kind frame.Kind, id uint64, data []byte) {
	if !c.out.Push(outgoing{frames: frame.Split(kind, id, 0, data)}) {
		c.close()
	}
}

func (c *serverConn) writeLoop() {
	defer c.server.wg.Done()
	defer c.close()
	answers := int64(0)
	broken := false
	for event := range c.out.Events() {
		o := event.(outgoing)
		if o.answer {
			answers++
		}
		c.writing.Lock()
		broken = broken || !writeAll(c.w, o.frames, c.out.Len() == 0)
		c.writing.Unlock()
		if broken {
			c.close()
		}
		if broken || c.out.Len() == 0 {
			c.server.open.Add(-answers)
			answers = 0
		}
	}
}

// writeAll writes frames and, at the end of a batch, flushes.
func writeAll(w *frame.Writer, frames []*frame.Frame, flush bool) bool {
	for _, f := range frames {
		if w.Write(f) != nil {
			return false
		}
	}
	return !flush || w.Flush() == nil
}
