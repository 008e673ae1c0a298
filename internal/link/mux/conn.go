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

// Send states of a request. The writer and the requester race for the step
// away from queued, so that a withdrawn request is never written.
const (
	stateQueued int32 = iota
	stateSent
	stateWithdrawn
)

// pending is a request that waits for its answer.
type pending struct {
	state  atomic.Int32
	answer frame.Assembler
	done   chan result
}

type result struct {
	data []byte
	err  error
}

// outgoing is a unit of work for the writer.
type outgoing struct {
	frames []*frame.Frame
	// owner is nil for frames that cannot be withdrawn.
	owner *pending
	// answer is set on the answer to a request that a handler served.
	answer bool
}

// conn is the client end of one connection.
type conn struct {
	peer    string
	netConn net.Conn
	out     *ring.Ring
	counts  *Counters

	mu      sync.Mutex
	pending map[uint64]*pending
	nextID  uint64
	failure error

	// writing is held while frames are written, by the writer or by a requester.
	writing sync.Mutex
	w       *frame.Writer
	// queued counts the units of work that the writer has not finished.
	queued atomic.Int64

	lastRead atomic.Int64 // Unix nanoseconds
	lastUse  atomic.Int64 // Unix nanoseconds
	pingSent atomic.Int64 // Unix nanoseconds, 0 when no ping waits
}

func newConn(peer string, nc net.Conn, counts *Counters) *conn {
	c := &conn{
		peer:    peer,
		netConn: nc,
		out:     ring.New(ringFrames, ring.Reject),
		counts:  counts,
		pending: map[uint64]*pending{},
	}
	c.w = frame.NewWriter(countingWriter{nc, &counts.BytesOut})
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastUse.Store(now)
	c.push(outgoing{frames: []*frame.Frame{{Kind: frame.Hello, Method: frame.ProtocolVersion}}})
	go c.writeLoop()
	go c.readLoop()
	return c
}

// request sends a message and waits for its answer.
func (c *conn) request(ctx context.Context, method uint8, payload []byte) ([]byte, error) {
	p := &pending{done: make(chan result, 1)}
	idle := time.Since(time.Unix(0, c.lastUse.Swap(time.Now().UnixNano())))
	id, err := c.enqueue(p, method, payload)
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
	if idle > pingAfterIdle {
		c.ping(time.Now())
	}
	select {
	case r := <-p.done:
		return r.data, c.named(r.err, p)
	case <-ctx.Done():
		return nil, c.withdraw(ctx, id, p)
	}
}

// withdraw ends a request whose context ended. It was not sent if the writer
// has not yet taken it.
func (c *conn) withdraw(ctx context.Context, id uint64, p *pending) error {
	sent := !p.state.CompareAndSwap(stateQueued, stateWithdrawn)
	if sent {
		c.push(outgoing{frames: []*frame.Frame{{Kind: frame.Cancel, ID: id, End: true}}})
	}
	return &LinkError{Peer: c.peer, Sent: sent, Reason: context.Cause(ctx).Error()}
}

// named completes a link error with whether the request was sent.
func (c *conn) named(err error, p *pending) error {
	le, ok := err.(*LinkError)
	if !ok {
		return err
	}
	sent := !p.state.CompareAndSwap(stateQueued, stateWithdrawn)
	return &LinkError{Peer: le.Peer, Sent: sent && le.Sent, Reason: le.Reason}
}

// enqueue gives the request an id and queues it in one step, so that ids rise
// on the wire and the server can drop a request that comes twice. With nothing
// queued the requester writes by itself, which saves waking the writer.
func (c *conn) enqueue(p *pending, method uint8, payload []byte) (uint64, error) {
	id, o, direct, err := c.admit(p, method, payload)
	if err != nil || !direct {
		return id, err
	}
	err = c.writeOut(o)
	c.writing.Unlock()
	if err != nil {
		c.fail(err)
	}
	return id, nil
}

// admit registers a request. When direct is true the writing lock is held and
// the caller writes; no later request can come before it on the wire.
func (c *conn) admit(p *pending, method uint8, payload []byte) (id uint64, o outgoing, direct bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, o, false, &LinkError{Peer: c.peer, Reason: c.failure.Error()}
	}
	id = c.nextID + 1
	o = outgoing{frames: frame.Split(frame.Request, id, method, payload), owner: p}
	direct = len(o.frames) == 1 && c.queued.Load() == 0 && c.writing.TryLock()
	if !direct && !c.push(o) {
		return 0, o, false, &LinkError{Peer: c.peer, Reason: "send queue is full"}
	}
	c.nextID = id
	c.pending[id] = p
	return id, o, direct, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure == nil
}

// fail ends the connection and every request on it.
func (c *conn) fail(reason error) {
	c.mu.Lock()
	if c.failure != nil {
		c.mu.Unlock()
		return
	}
	c.failure = reason
	lost := c.pending
	c.pending = map[uint64]*pending{}
	c.mu.Unlock()
	c.out.Close()
	_ = c.netConn.Close() // the link is already failed
	for _, p := range lost {
		p.finish(result{err: &LinkError{Peer: c.peer, Sent: true, Reason: reason.Error()}})
	}
}

func (p *pending) finish(r result) {
	select {
	case p.done <- r:
	default:
	}
}

func (c *conn) writeLoop() {
	for event := range c.out.Events() {
		c.writing.Lock()
		err := c.writeOut(event.(outgoing))
		c.writing.Unlock()
		c.queued.Add(-1)
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// writeOut writes one unit of work. The writing lock is held.
func (c *conn) writeOut(o outgoing) error {
	if o.owner != nil && !o.owner.state.CompareAndSwap(stateQueued, stateSent) {
		o.frames = nil // withdrawn; the batch before it is flushed all the same
	}
	if !writeAll(c.w, o.frames, c.out.Len() == 0) {
		return errWrite
	}
	return nil
}

// push hands a unit of work to the writer.
func (c *conn) push(o outgoing) bool {
	c.queued.Add(1)
	if c.out.Push(o) {
		return true
	}
	c.queued.Add(-1)
	return false
}

func (c *conn) readLoop() {
	r := frame.NewReader(countingReader{c.netConn, &c.counts.BytesIn})
	var f frame.Frame
	for {
		if err := r.Read(&f); err != nil {
			c.fail(err)
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.pingSent.Store(0)
		c.take(&f)
	}
}

func (c *conn) take(f *frame.Frame) {
	switch f.Kind {
	case frame.Response, frame.Failure, frame.Refused:
	default:
		return
	}
	c.mu.Lock()
	p := c.pending[f.ID]
	c.mu.Unlock()
	if p == nil {
		c.counts.DroppedFrames.Add(1)
		return
	}
	whole, err := p.answer.Add(f)
	switch {
	case err != nil:
		c.forget(f.ID)
		p.finish(result{err: &LinkError{Peer: c.peer, Sent: true, Reason: err.Error()}})
	case whole:
		c.forget(f.ID)
		p.finish(c.answerOf(f.Kind, p))
	}
}

func (c *conn) answerOf(kind frame.Kind, p *pending) result {
	switch kind {
	case frame.Failure:
		return result{err: &RemoteError{Peer: c.peer, Text: string(p.answer.Data())}}
	case frame.Refused:
		return result{err: &LinkError{Peer: c.peer, Sent: false, Reason: "refused: " + string(p.answer.Data())}}
	}
	return result{data: p.answer.Data()}
}

func (c *conn) ping(now time.Time) {
	if c.pingSent.CompareAndSwap(0, now.UnixNano()) {
		c.push(outgoing{frames: []*frame.Frame{{Kind: frame.Ping, End: true}}})
	}
}

// verdict is what a check of a connection found.
type verdict uint8

const (
	verdictKeep verdict = iota
	verdictDrop
	verdictSilent
)

// check looks at the connection once a heartbeat. While requests wait, or a
// ping is out, silence ends it; bytes heard of late make a ping unneeded.
func (c *conn) check(now time.Time, heartbeat, silence, idle time.Duration) verdict {
	if !c.alive() {
		return verdictDrop
	}
	sent := c.pingSent.Load()
	if sent != 0 && now.Sub(time.Unix(0, sent)) >= silence {
		c.counts.PingTimeouts.Add(1)
		c.fail(errSilent)
		return verdictSilent
	}
	if c.waiting() > 0 {
		if now.Sub(time.Unix(0, c.lastRead.Load())) >= heartbeat {
			c.ping(now)
		}
		return verdictKeep
	}
	if now.Sub(time.Unix(0, c.lastUse.Load())) > idle {
		c.fail(errIdle)
		return verdictDrop
	}
	return verdictKeep
}
