package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// Reasons why no further request is read from a connection.
var (
	errHeaderTooLarge = errors.New("request header too large")
	errBodyTooLarge   = errors.New("request body too large")
	errNoMemory       = errors.New("requests in progress take too much memory")
	errRequestTimeout = errors.New("timeout while reading a request")
	errMalformed      = errors.New("malformed request")
	errClosing        = errors.New("connection idle or closing")
)

// expiredDeadline is a read deadline that ends pending and future reads at once.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection of a caller. Its two goroutines, readLoop and writeLoop, are joined
// by pipeline.
type conn struct {
	server   *Server
	nc       net.Conn
	raw      syscall.RawConn // nil if the connection gives no access to its socket
	r        *bufio.Reader   // used by readLoop
	source   *http1.Source   // of r
	ctx      context.Context // ends when the connection is closed by either side or broken
	cancel   context.CancelFunc
	pipeline chan *pendingReply // in the order of the requests
	readDone chan struct{}      // closed when readLoop ends
	// interrupted is set when the request that is arriving gives way to others.
	interrupted atomic.Bool
	evicted     bool // gives way to a new connection; guarded by the lock of the server

	mu sync.Mutex
	// inFlight counts the requests that were read and not answered yet.
	inFlight int
	// receiving is set from the first byte of a request until it is counted as in flight.
	receiving      bool
	receivingSince time.Time // valid while receiving is set
	// used is set once a request has been received.
	used bool
	// closeIfIdle is set at a shutdown: the connection closes when it has no request.
	closeIfIdle bool
	// closing is set once no further request is accepted.
	closing   bool
	lastReply time.Time // or the start of the connection
}

// pendingReply is the reply that is due to one request.
type pendingReply struct {
	method string          // empty for a request that could not be read
	reply  *dispatch.Reply // valid once done is closed
	// closeAfter is set when the connection closes after this reply.
	closeAfter bool
	readyAt    time.Time // valid once done is closed
	held       int64     // bytes of the budget for replies; valid once done is closed
	done       chan struct{}
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, pipeline: make(chan *pendingReply, maxPipelined), readDone: make(chan struct{}), lastReply: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it, only bytes that readLoop has read count as arrived
	}
	c.source = http1.NewSource(nc)
	c.r = bufio.NewReaderSize(c.source, readBufferBytes)
	return c
}

// readLoop reads requests and starts them until the caller closes the connection or it
// ends for another reason.
func (c *conn) readLoop() {
	defer c.server.wg.Done()
	defer close(c.readDone)
	defer close(c.pipeline)
	for {
		in, err := c.readRequest()
		if err == nil && c.startRequest(in) {
			continue
		}
		if err != nil {
			c.release(in)
		}
		if err == nil || errors.Is(err, errClosing) {
			return
		}
		if status := statusOf(err); status != 0 {
			c.replyError(status)
			return
		}
		c.cancel() // the caller has closed the connection
		return
	}
}

// statusOf returns the status code for a request that could not be read, or 0 if the
// connection ended.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errRequestTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, errMalformed):
		return http.StatusBadRequest
	}
	return 0
}

// replyError replies to a request that could not be read and ends the connection.
func (c *conn) replyError(status int) {
	reply := &dispatch.Reply{Status: status}
	if status == http.StatusServiceUnavailable {
		reply.Headers = []cicadaseam.Header{{Name: "Retry-After", Value: noMemoryRetryAfter}}
	}
	p := &pendingReply{reply: reply, closeAfter: true, done: make(chan struct{})}
	close(p.done)
	if c.beginRequest() {
		c.enqueue(p)
	}
}

// readRequest reads one complete request.
func (c *conn) readRequest() (*received, error) {
	in := &received{}
	if err := c.waitForRequest(); err != nil {
		return in, err
	}
	limits := c.server.effectiveLimits()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := c.readHead(in, limits.MaxHeaderBytes+requestLineAllowance); err != nil {
		return in, err
	}
	if err := c.readBody(in, limits.MaxBodyBytes); err != nil {
		return in, err
	}
	return in, c.arrived(in)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// sendContinue sends "100 Continue" to a caller that expects it before it sends its body,
// unless replies to earlier requests are still due.
func (c *conn) sendContinue(req *http.Request) {
	if !strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 {
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // the next read reports a failure
	}
}

// waitForRequest waits for the first byte of a request. It returns errClosing when the
// connection is closing or was idle for too long.
func (c *conn) waitForRequest() error {
	c.shrinkBuffer()
	for {
		if c.isInterrupted() || c.setIdleDeadline() {
			return errClosing
		}
		_, err := c.r.Peek(1)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.receiving, c.used, c.receivingSince = true, true, time.Now()
			return nil
		}
		if !isTimeout(err) {
			return err
		}
	}
}

// setIdleDeadline sets the deadline for the first byte of the next request. It reports whether the
// connection is closing instead.
func (c *conn) setIdleDeadline() (ended bool) {
	wait, ended := c.remainingIdle(time.Now())
	for !ended {
		_ = c.nc.SetReadDeadline(time.Now().Add(wait)) // the next read reports a failure
		// This call may have replaced a deadline that was set meanwhile to wake readLoop, so the
		// time is computed again. It is much shorter then, or the connection is closing.
		before := wait
		if wait, ended = c.remainingIdle(time.Now()); !ended && wait > before/2 {
			return false
		}
	}
	return true
}

// remainingIdle returns how long the connection may wait for its next request. ended is
// set when it is closing, or closes now because it was idle for too long.
func (c *conn) remainingIdle(now time.Time) (wait time.Duration, ended bool) {
	idle := c.server.effectiveLimits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, true
	}
	if c.inFlight > 0 {
		return idle, false
	}
	remaining := c.lastReply.Add(idle).Sub(now)
	if c.closeIfIdle {
		remaining = c.shutdownWait(now)
	}
	if remaining <= 0 {
		c.closing = true
		return 0, true
	}
	return remaining, false
}

// shutdownWait returns how long the connection may still wait for a request at a shutdown: up to
// HeaderTimeout if a part of one has arrived, and up to firstRequestTimeout after its start if it
// has had none. The lock is held.
func (c *conn) shutdownWait(now time.Time) time.Duration {
	switch {
	case c.r.Buffered() > 0, c.raw != nil && !http1.IsIdle(c.raw):
		return c.server.effectiveLimits().HeaderTimeout
	case !c.used:
		return c.lastReply.Add(firstRequestTimeout).Sub(now)
	}
	return 0
}

// beginRequest counts a request as in flight. It returns false when the connection is
// closing.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.closing {
		return false
	}
	c.inFlight++
	if tcp, ok := c.nc.(*net.TCPConn); ok && c.inFlight == deepPipeline {
		_ = tcp.SetReadBuffer(deepReadBuffer) // the next read reports a failure
	}
	return true
}

// hasRequests reports whether a request is in progress on the connection.
func (c *conn) hasRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// startRequest starts a request. It returns false when no further request is to be read.
func (c *conn) startRequest(in *received) bool {
	if !c.beginRequest() {
		c.release(in)
		return false
	}
	req := in.request
	p := &pendingReply{method: req.Method, done: make(chan struct{}), closeAfter: req.Close || !req.ProtoAtLeast(1, 1) || c.server.draining.Load() || c.server.isCrowded()}
	c.server.inFlight.Add(1)
	c.enqueue(p)
	if c.ctx.Err() != nil { // the caller left meanwhile
		p.reply = &dispatch.Reply{Status: http.StatusServiceUnavailable}
		close(p.done)
		c.release(in)
		return false
	}
	go c.handle(p, newRequest(req, in.body), in)
	if p.closeAfter {
		c.waitForClose()
		return false
	}
	return true
}

// enqueue adds a reply to the pipeline, and waits while that is full. Nothing is read meanwhile, so it
// looks whether the caller has closed the connection: its requests are canceled then.
func (c *conn) enqueue(p *pendingReply) {
	select {
	case c.pipeline <- p:
		return
	default:
	}
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		select {
		case c.pipeline <- p:
			return
		case <-ticker.C:
			if c.raw != nil && http1.IsClosedByPeer(c.raw) {
				c.cancel()
			}
		}
	}
}

// handle runs the handler for a request. Its context ends when the caller closes the
// connection or the server cancels its requests.
func (c *conn) handle(p *pendingReply, r *dispatch.Request, in *received) {
	defer close(p.done)
	defer c.release(in)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stop := context.AfterFunc(c.server.workCtx, cancel)
	defer stop()
	p.reply = c.server.handler(ctx, r)
	p.readyAt = time.Now()
	c.server.hold(p)
}

// newRequest returns a request in the form that the handler takes.
func newRequest(req *http.Request, body []byte) *dispatch.Request {
	requestURI := req.RequestURI
	if !strings.HasPrefix(requestURI, "/") {
		requestURI = req.URL.RequestURI()
	}
	return &dispatch.Request{
		Method: req.Method, Host: req.Host, Path: req.URL.Path, RequestURI: requestURI,
		Header: req.Header, Body: body, Arrived: time.Now(),
	}
}

// waitForClose reads until the connection closes after its last request, so that a caller
// that closes it earlier cancels its requests.
func (c *conn) waitForClose() {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(defaultIdleTimeout)) // the next read reports a failure
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return
		}
		if _, err := c.r.Peek(1); err == nil || isTimeout(err) {
			// Bytes behind the last request are ignored.
			if err == nil {
				_, _ = c.r.Discard(c.r.Buffered()) // cannot fail: the bytes are buffered
			}
			continue
		}
		c.cancel()
		return
	}
}

// closeWhenIdle makes readLoop end the connection when no request is in flight on it and none
// has arrived. Only readLoop can tell, since it may hold a part of a request.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdle = true
	if c.inFlight == 0 && !c.receiving {
		_ = c.nc.SetReadDeadline(expiredDeadline) // wakes readLoop
	}
}

// writeLoop writes replies in the order of their requests, and closes the connection.
func (c *conn) writeLoop() {
	defer c.server.wg.Done()
	defer c.server.removeConn(c)
	defer c.closeGracefully()
	w := bufio.NewWriter(c.nc)
	broken := false
	for p := range c.pipeline {
		<-p.done
		c.observeDelay(p)
		last := c.finishRequest(p)
		if !broken && c.ctx.Err() == nil {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the next write reports a failure
			broken = writeReply(w, p, last) != nil
		}
		c.server.releaseReply(p)
		if broken {
			c.cancel()
			c.refuseRequests()
		}
		if p.method != "" { // startRequest counted it
			c.server.inFlight.Add(-1)
		}
		if last {
			_ = c.nc.SetReadDeadline(expiredDeadline) // ends readLoop
		}
	}
}

// observeDelay reports a reply that was ready on time and is late because those before it on the
// connection were not.
func (c *conn) observeDelay(p *pendingReply) {
	lateAt := p.reply.LateAt
	if lateAt.After(p.readyAt) && time.Now().After(lateAt) {
		c.server.onDelayed(p.reply.Route)
	}
}

// refuseRequests ends readLoop: no further request of the connection is run.
func (c *conn) refuseRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.nc.SetReadDeadline(expiredDeadline) // interrupts a read of readLoop
}

// finishRequest counts a request as answered and reports whether its reply is the last one
// on the connection.
func (c *conn) finishRequest(p *pendingReply) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.lastReply = time.Now()
	last = p.closeAfter || c.server.draining.Load() && c.inFlight == 0
	if last {
		c.closing = true
	}
	return last
}

// closeGracefully closes the connection. Bytes that the caller sends in the meantime would
// reset a closed connection, and the last reply could be lost. So they are read and
// discarded for a while first.
func (c *conn) closeGracefully() {
	if tcp, ok := c.nc.(*net.TCPConn); ok && c.ctx.Err() == nil {
		if tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) // bounds the copy
			_, _ = io.Copy(io.Discard, tcp)                        // ends at the close or the deadline
		}
	}
	c.cancel()
	_ = c.nc.Close() // nothing is left to write
}
