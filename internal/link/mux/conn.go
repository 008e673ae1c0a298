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

// Send states of a request. Only one of the writer and the requester can move a request out of
// stateQueued, so that a canceled request is never written.
const (
	stateQueued int32 = iota
	stateSent
	stateCanceled
)

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	state  atomic.Int32
	answer frame.Assembler
	done   chan result
	held   atomic.Int64 // bytes of the budget for answers
}

type result struct {
	data []byte
	err  error
}

// outgoingMessage is a message for the writer of a connection.
type outgoingMessage struct {
	frames []*frame.Frame
	// request is nil for a message that is not a request and cannot be canceled.
	request *pendingRequest
}

// conn is the client end of one connection.
type conn struct {
	peer      string
	netConn   net.Conn
	sendQueue *ring.Ring
	counters  *Counters
	answers   AnswerBudget // nil if answers are not bounded

	mu      sync.Mutex
	pending map[uint64]*pendingRequest
	lastID  uint64
	err     error
	// canceled are the ids of requests of which the server is still to be told that they are canceled.
	canceled []uint64

	// writeMu is held while frames are written, by the writer or by a requester.
	writeMu sync.Mutex
	w       *frame.Writer
	// unwritten is the number of queued messages that the writer has not finished.
	unwritten atomic.Int64

	lastRead    atomic.Int64 // Unix nanoseconds
	lastRequest atomic.Int64 // Unix nanoseconds
	pingSentAt  atomic.Int64 // Unix nanoseconds; 0 if no ping was sent since the last received frame
}

func newConn(peer string, nc net.Conn, counters *Counters, answers AnswerBudget) *conn {
	c := &conn{
		peer:      peer,
		netConn:   nc,
		sendQueue: ring.New(sendQueueMessages, ring.Reject),
		counters:  counters,
		answers:   answers,
		pending:   map[uint64]*pendingRequest{},
	}
	c.w = frame.NewWriter(countingWriter{nc, &counters.BytesOut})
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastRequest.Store(now)
	c.enqueue(outgoingMessage{frames: []*frame.Frame{{Kind: frame.Hello, Method: frame.ProtocolVersion}}})
	go c.writeLoop()
	go c.readLoop()
	return c
}

// request sends a message and waits for its answer.
func (c *conn) request(ctx context.Context, method uint8, parts [][]byte) ([]byte, error) {
	p := &pendingRequest{done: make(chan result, 1)}
	idle := time.Since(time.Unix(0, c.lastRequest.Swap(time.Now().UnixNano())))
	id, err := c.send(p, method, parts)
	if err != nil {
		return nil, err
	}
	defer c.release(p)
	defer c.forget(id)
	if idle > pingIfIdleFor {
		c.ping(time.Now())
	}
	select {
	case r := <-p.done:
		return r.data, c.withSendState(r.err, p)
	case <-ctx.Done():
		return nil, c.cancel(ctx, id, p)
	}
}

// cancel cancels a request whose context ended. The request was not sent if it is still in
// stateQueued.
func (c *conn) cancel(ctx context.Context, id uint64, p *pendingRequest) error {
	sent := !p.state.CompareAndSwap(stateQueued, stateCanceled)
	if sent {
		c.sendCancel(id)
	}
	return &LinkError{Peer: c.peer, Sent: sent, Reason: context.Cause(ctx).Error()}
}

// sendCancel tells the server that nobody waits for the answer to a request any more. It is never
// dropped, however many requests are canceled at once: the server would run them to their end.
func (c *conn) sendCancel(id uint64) {
	c.mu.Lock()
	c.canceled = append(c.canceled, id)
	c.mu.Unlock()
	c.enqueue(outgoingMessage{}) // wakes the writer; if the queue is full, it has messages to write
}

// writeCancels writes the cancellations that are due. The caller holds writeMu.
func (c *conn) writeCancels() error {
	c.mu.Lock()
	ids := c.canceled
	c.canceled = nil
	c.mu.Unlock()
	for _, id := range ids {
		if c.w.Write(&frame.Frame{Kind: frame.Cancel, ID: id, End: true}) != nil {
			return errWrite
		}
	}
	return nil
}

// withSendState clears Sent in a LinkError if the request has not been sent. It then cancels the
// request, so that it is never sent.
func (c *conn) withSendState(err error, p *pendingRequest) error {
	linkErr, ok := err.(*LinkError)
	if !ok {
		return err
	}
	sent := !p.state.CompareAndSwap(stateQueued, stateCanceled)
	return &LinkError{Peer: linkErr.Peer, Sent: sent && linkErr.Sent, Reason: linkErr.Reason, Refused: linkErr.Refused}
}

// send gives the request an id and queues it in one step, so that ids increase on the wire and
// the server can drop duplicate requests. If nothing is queued, the requester writes the request
// itself, which saves waking the writer.
func (c *conn) send(p *pendingRequest, method uint8, parts [][]byte) (uint64, error) {
	id, m, direct, err := c.register(p, method, parts)
	if err != nil || !direct {
		return id, err
	}
	err = c.write(m)
	c.writeMu.Unlock()
	if err != nil {
		c.fail(err)
	}
	return id, nil
}

// register adds a request to the pending ones and queues it, unless direct is true: then writeMu
// is held, and the caller must write the request and unlock writeMu. In both cases no later
// request can precede it on the wire.
func (c *conn) register(p *pendingRequest, method uint8, parts [][]byte) (id uint64, m outgoingMessage, direct bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, m, false, &LinkError{Peer: c.peer, Reason: c.err.Error()}
	}
	id = c.lastID + 1
	m = outgoingMessage{frames: frame.Split(frame.Request, id, method, parts...), request: p}
	direct = len(m.frames) == 1 && c.unwritten.Load() == 0 && c.writeMu.TryLock()
	if !direct && !c.enqueue(m) {
		return 0, m, false, &LinkError{Peer: c.peer, Reason: "send queue is full"}
	}
	c.lastID = id
	c.pending[id] = p
	return id, m, direct, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *conn) numPending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// fail closes the connection and ends every pending request with an error.
func (c *conn) fail(reason error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = reason
	lost := c.pending
	c.pending = map[uint64]*pendingRequest{}
	c.mu.Unlock()
	c.sendQueue.Close()
	_ = c.netConn.Close() // the connection has already failed
	for _, p := range lost {
		p.finish(result{err: &LinkError{Peer: c.peer, Sent: true, Reason: reason.Error()}})
	}
}

func (p *pendingRequest) finish(r result) {
	select {
	case p.done <- r:
	default:
	}
}

func (c *conn) writeLoop() {
	for m := range c.sendQueue.Events() {
		c.writeMu.Lock()
		err := c.writeCancels()
		if err == nil {
			err = c.write(m.(outgoingMessage))
		}
		c.writeMu.Unlock()
		c.unwritten.Add(-1)
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// write writes one message, unless it is a canceled request. The caller holds writeMu.
func (c *conn) write(m outgoingMessage) error {
	if m.request != nil && !m.request.state.CompareAndSwap(stateQueued, stateSent) {
		m.frames = nil // canceled, but messages written before it must be flushed
	}
	if !writeAll(c.w, m.frames, c.sendQueue.Len() == 0) {
		return errWrite
	}
	return nil
}

// enqueue queues a message for the writer. It returns false if the queue is full or closed.
func (c *conn) enqueue(m outgoingMessage) bool {
	c.unwritten.Add(1)
	if c.sendQueue.Push(m) {
		return true
	}
	c.unwritten.Add(-1)
	return false
}

func (c *conn) readLoop() {
	r := frame.NewReader(countingReader{c.netConn, &c.counters.BytesIn})
	var f frame.Frame
	for {
		if err := r.Read(&f); err != nil {
			c.fail(err)
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.pingSentAt.Store(0)
		c.handleFrame(&f)
	}
}

// handleFrame adds a frame to the answer of its request and finishes the request when the
// answer is complete. Frames of other kinds, such as pongs, need no handling.
func (c *conn) handleFrame(f *frame.Frame) {
	switch f.Kind {
	case frame.Response, frame.Failure, frame.Refused:
	default:
		return
	}
	c.mu.Lock()
	p := c.pending[f.ID]
	c.mu.Unlock()
	if p == nil {
		c.counters.DroppedFrames.Add(1)
		return
	}
	if f.Seq == 0 && !f.End && !c.reserve(f.ID, p, int64(f.Total)) {
		c.forget(f.ID)
		c.sendCancel(f.ID)
		p.finish(result{err: &LinkError{Peer: c.peer, Sent: true, Reason: "answers in progress take too much memory"}})
		return
	}
	complete, err := p.answer.Add(f)
	switch {
	case err != nil:
		c.forget(f.ID)
		p.finish(result{err: &LinkError{Peer: c.peer, Sent: true, Reason: err.Error()}})
	case complete:
		c.forget(f.ID)
		p.finish(c.resultOf(f.Kind, p))
	}
}

// reserve reserves memory for an answer of a size that arrives in several frames.
func (c *conn) reserve(id uint64, p *pendingRequest, size int64) bool {
	if c.answers == nil {
		return true
	}
	if !c.answers.Reserve(size, size) {
		return false
	}
	p.held.Add(size)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] != p { // it has ended meanwhile, and may have released what it had before
		c.release(p)
	}
	return true
}

// release returns what is reserved for the answer to a request that has ended.
func (c *conn) release(p *pendingRequest) {
	if held := p.held.Swap(0); held > 0 {
		c.answers.Release(held)
	}
}

func (c *conn) resultOf(kind frame.Kind, p *pendingRequest) result {
	switch kind {
	case frame.Failure:
		return result{err: &RemoteError{Peer: c.peer, Text: string(p.answer.Data())}}
	case frame.Refused:
		return result{err: &LinkError{Peer: c.peer, Sent: false, Refused: true, Reason: "refused: " + string(p.answer.Data())}}
	}
	return result{data: p.answer.Data()}
}

// ping sends a ping, unless one was sent and nothing has been received since.
func (c *conn) ping(now time.Time) {
	if c.pingSentAt.CompareAndSwap(0, now.UnixNano()) {
		c.enqueue(outgoingMessage{frames: []*frame.Frame{{Kind: frame.Ping, End: true}}})
	}
}

// connStatus is the result of a check of a connection.
type connStatus uint8

const (
	connOK connStatus = iota
	connGone
	connTimedOut
)

// check closes the connection if it is idle or if nothing was received within the ping timeout
// after a ping. While requests are pending, it sends a ping if nothing was received within the
// last heartbeat interval. The pool calls it once per heartbeat interval.
func (c *conn) check(now time.Time, heartbeatInterval, pingTimeout, idleTimeout time.Duration) connStatus {
	if !c.alive() {
		return connGone
	}
	sent := c.pingSentAt.Load()
	if sent != 0 && now.Sub(time.Unix(0, sent)) >= pingTimeout {
		c.counters.PingTimeouts.Add(1)
		c.fail(errPingTimeout)
		return connTimedOut
	}
	if c.numPending() > 0 {
		if now.Sub(time.Unix(0, c.lastRead.Load())) >= heartbeatInterval {
			c.ping(now)
		}
		return connOK
	}
	if now.Sub(time.Unix(0, c.lastRequest.Load())) > idleTimeout {
		c.fail(errIdle)
		return connGone
	}
	return connOK
}
