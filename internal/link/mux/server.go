package mux

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/budget"
	"github.com/cicadaseam/cicadaseam/internal/client/netio"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// Server passes the requests of peers to a Handler.
type Server struct {
	handler  Handler
	workers  *workerPool
	counters Counters
	budget   *budget.Budget         // nil if requests are not bounded
	answers  cicadaseam.ReplyBudget // nil if answers are not bounded
	maxConns int
	// writeTimeout bounds how long a frame may wait for a peer that does not read.
	writeTimeout time.Duration

	mu     sync.Mutex
	conns  map[*serverConn]bool
	silent map[*serverConn]time.Time // those that have not sent their first frame, since when
	closed bool
	wg     sync.WaitGroup
	// unanswered is the number of requests whose answers have not been written yet.
	unanswered atomic.Int64
}

// ServerOption configures a new Server.
type ServerOption func(*Server)

// WithBudget sets the budget for the requests in progress, which other parts of the process may share.
// A request that does not fit it is refused while it arrives. Requests of one frame are not counted.
func WithBudget(b *budget.Budget) ServerOption { return func(s *Server) { s.budget = b } }

// WithHeldAnswers sets the budget in which answers count until they are written to the peer.
func WithHeldAnswers(b cicadaseam.ReplyBudget) ServerOption { return func(s *Server) { s.answers = b } }

// WithWriteTimeout sets how long a frame may wait for a peer that does not read, before the connection
// is closed. The default is defaultWriteTimeout.
func WithWriteTimeout(d time.Duration) ServerOption { return func(s *Server) { s.writeTimeout = d } }

// WithMaxConns sets how many connections of peers may be open. The default is defaultMaxConns.
func WithMaxConns(n int) ServerOption { return func(s *Server) { s.maxConns = n } }

// NewServer returns a server that passes requests to handler.
func NewServer(handler Handler, opts ...ServerOption) *Server {
	s := &Server{handler: handler, workers: newWorkerPool(), maxConns: defaultMaxConns, writeTimeout: defaultWriteTimeout, conns: map[*serverConn]bool{}, silent: map[*serverConn]time.Time{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Counters returns the counters of the server.
func (s *Server) Counters() *Counters { return &s.counters }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.serveConn(nc)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	c := &serverConn{
		server:  s,
		netConn: nc,
		queue:   newAnswerQueue(s.answers),
		w:       frame.NewWriter(countingWriter{nc, &s.counters.BytesOut}),
		running: map[uint64]context.CancelFunc{},
		partial: map[uint64]*partialRequest{},
	}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = netio.SetUnsentLimit(raw, maxUnsentBytes) // without it, small answers wait longer
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = nc.Close() // the server is closed
		return
	}
	s.evictFor(time.Now())
	s.conns[c], s.silent[c] = true, time.Now()
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// Drain waits until the answers to all requests have been written, or until the context is
// canceled. It reports whether all answers were written.
func (s *Server) Drain(ctx context.Context) bool {
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.unanswered.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Close cancels all requests, closes all connections and waits until the goroutines that read
// and write them have ended. It does not wait for handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.workers.close()
	s.wg.Wait()
}

// serverConn is the server end of one connection.
type serverConn struct {
	server  *Server
	netConn net.Conn
	queue   *answerQueue

	// writeMu is held while frames are written, by the writer or by a handler's goroutine.
	writeMu sync.Mutex
	w       *frame.Writer

	lastRead atomic.Int64 // Unix nanoseconds

	mu      sync.Mutex
	closed  bool
	running map[uint64]context.CancelFunc
	// partial holds the incomplete requests by id, partialBytes is their size so far, and
	// lastRequestID is the highest id of a request so far. They are used only by the reader.
	partial       map[uint64]*partialRequest
	partialBytes  int
	lastRequestID uint64
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
	c.server.unanswered.Add(-int64(c.queue.close()))
	_ = c.netConn.Close() // nothing more is read or written
}

func (c *serverConn) readLoop() {
	defer c.server.wg.Done()
	defer c.unregister()
	r := frame.NewReader(countingReader{c.netConn, &c.server.counters.BytesIn})
	var f frame.Frame
	_ = c.netConn.SetReadDeadline(time.Now().Add(helloTimeout)) // the next read reports a failure
	if err := r.Read(&f); err != nil || f.Kind != frame.Hello || f.Method != frame.ProtocolVersion {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Time{}) // as above
	c.server.greeted(c)
	for {
		if err := r.Read(&f); err != nil {
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		if !c.handleFrame(&f) {
			return
		}
	}
}

// partialRequest is a request that has not arrived completely, with its part of the budget.
type partialRequest struct {
	frame.Assembler
	reserved budget.Reservation
	counted  bool // it has a reservation
}

func (c *serverConn) unregister() {
	c.close()
	for _, p := range c.partial {
		c.server.release(p)
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
	delete(c.server.silent, c)
}

// handleFrame returns false if the peer violated the protocol.
func (c *serverConn) handleFrame(f *frame.Frame) bool {
	switch f.Kind {
	case frame.Ping:
		c.send(frame.Pong, 0, nil)
	case frame.Cancel:
		c.finish(f.ID)
		if c.queue.drop(f.ID) {
			c.server.unanswered.Add(-1)
		}
	case frame.Request:
		return c.handleRequest(f)
	}
	return true
}

// handleRequest adds a frame to its request and starts the request when it is complete. The ids
// of new requests increase, so a frame with a lower id that continues no incomplete request is a
// duplicate and is dropped.
func (c *serverConn) handleRequest(f *frame.Frame) bool {
	a := c.partial[f.ID]
	if a == nil {
		if f.ID <= c.lastRequestID {
			c.server.counters.DroppedFrames.Add(1)
			return true
		}
		c.lastRequestID = f.ID
		a = &partialRequest{}
		if !c.reserve(a, f) {
			c.refuse(f.ID)
			return true // its other frames are dropped
		}
		c.partial[f.ID] = a
	}
	if a.counted && !c.server.budget.Progress(&a.reserved, len(f.Data), time.Now()) {
		c.partialBytes -= len(a.Data())
		delete(c.partial, f.ID)
		c.refuse(f.ID)
		return true
	}
	complete, err := a.Add(f)
	c.partialBytes += len(f.Data)
	if err != nil || len(c.partial) > maxRequestsPerConn || c.partialBytes > frame.MaxMessageBytes {
		return false
	}
	if !complete {
		return true
	}
	delete(c.partial, f.ID)
	c.partialBytes -= len(a.Data())
	if a.counted && !c.server.budget.Arrived(&a.reserved) {
		c.refuse(f.ID)
		return true
	}
	c.startRequest(f.ID, f.Method, a)
	return true
}

// reserve reserves memory for a request that begins with a frame, unless that is all of it.
func (c *serverConn) reserve(p *partialRequest, f *frame.Frame) bool {
	if c.server.budget == nil || f.End {
		return true
	}
	p.counted = true
	if !c.server.budget.Resize(&p.reserved, int64(f.Total), time.Now()) {
		return false
	}
	c.server.budget.Arriving(&p.reserved, time.Now(), func(stalled bool) {
		if stalled { // no frame of it may ever arrive
			_ = c.netConn.Close() // ends readLoop, which releases all that the connection holds
		}
	})
	return true
}

// refuse answers a request for which there is no memory. No handler has seen it.
func (c *serverConn) refuse(id uint64) {
	c.send(frame.Refused, id, []byte("requests in progress take too much memory"))
}

func (s *Server) release(p *partialRequest) {
	if p.counted {
		s.budget.Release(&p.reserved)
	}
}

// startRequest runs the handler of a request on a worker. If the connection is closed or too many
// requests are running, it refuses the request without calling the handler.
func (c *serverConn) startRequest(id uint64, method uint8, p *partialRequest) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	if c.closed || len(c.running)+c.queue.size() >= maxRequestsPerConn {
		c.mu.Unlock()
		cancel()
		c.server.release(p)
		c.send(frame.Refused, id, []byte("too many requests on this connection"))
		return
	}
	c.running[id] = cancel
	c.mu.Unlock()
	c.server.unanswered.Add(1)
	payload := p.Data()
	p.Assembler = frame.Assembler{} // the handler decodes the payload, which is not needed any more then
	c.server.workers.do(func() {
		defer c.server.release(p)
		c.serveRequest(ctx, id, method, payload)
	})
}

func (c *serverConn) serveRequest(ctx context.Context, id uint64, method uint8, payload []byte) {
	defer c.finish(id)
	answer, err := c.server.handler.Serve(ctx, method, payload)
	c.server.counters.addMethodBytes(method, len(payload), frame.Size(answer))
	if err != nil {
		c.answer(frame.Failure, id, [][]byte{[]byte(err.Error())})
		return
	}
	c.answer(frame.Response, id, answer)
}

// answer sends the answer to a request that a handler served. It writes a small answer directly if
// nothing is queued and the connection is not being written to.
func (c *serverConn) answer(kind frame.Kind, id uint64, parts [][]byte) {
	frames := frame.Split(kind, id, 0, parts...)
	if len(frames) == 1 && c.queue.isEmpty() && c.writeMu.TryLock() {
		c.writeAnswer(frames)
		return
	}
	if !c.queue.addAnswer(id, frames) {
		c.server.unanswered.Add(-1) // the connection is closed
	}
}

// writeAnswer writes an answer on the goroutine of its handler, which saves waking the writer.
// The caller holds writeMu; writeAnswer unlocks it.
func (c *serverConn) writeAnswer(frames []*frame.Frame) {
	ok := c.write(frames, true)
	c.writeMu.Unlock()
	c.server.unanswered.Add(-1)
	if !ok {
		c.close()
	}
}

// finish cancels the context of a request, if it is running.
func (c *serverConn) finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
		delete(c.running, id)
	}
}

// send queues a message of one frame that is not the answer of a handler. If too many are queued,
// the peer does not read: the connection is closed, so that the peer learns that its answers are
// lost.
func (c *serverConn) send(kind frame.Kind, id uint64, data []byte) {
	if !c.queue.addControl(frame.Split(kind, id, 0, data)[0]) {
		c.close()
	}
}

// writeLoop writes the queued frames. It subtracts their answers from the unanswered requests only
// after a flush, so that Drain does not return while an answer is still in the buffer.
func (c *serverConn) writeLoop() {
	defer c.server.wg.Done()
	defer c.close()
	for range c.queue.wake {
		if !c.writeQueued() {
			return
		}
	}
}

// writeQueued writes frames until none is queued. It reports whether it succeeded.
func (c *serverConn) writeQueued() bool {
	answers := int64(0)
	defer func() { c.server.unanswered.Add(-answers) }()
	for {
		f, endsAnswer, flush := c.queue.next()
		if f == nil {
			return true
		}
		if endsAnswer {
			answers++
		}
		c.writeMu.Lock()
		ok := c.write([]*frame.Frame{f}, flush)
		c.writeMu.Unlock()
		if !ok {
			return false
		}
		if flush {
			c.server.unanswered.Add(-answers)
			answers = 0
		}
	}
}

// write writes frames and then flushes if flush is true. It reports whether it succeeded. The caller
// holds writeMu.
func (c *serverConn) write(frames []*frame.Frame, flush bool) bool {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.server.writeTimeout)) // the write reports a failure
	return writeAll(c.w, frames, flush)
}

// writeAll writes frames and then flushes if flush is true. It reports whether it succeeded.
func writeAll(w *frame.Writer, frames []*frame.Frame, flush bool) bool {
	for _, f := range frames {
		if w.Write(f) != nil {
			return false
		}
	}
	return !flush || w.Flush() == nil
}
