package front

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// Why no further request is read.
var (
	errHeaderLarge = errors.New("the header is too large")
	errBodyLarge   = errors.New("the body is too large")
	errSlow        = errors.New("the request came too slowly")
	errMalformed   = errors.New("malformed request")
	errIdle        = errors.New("idle or closing")
)

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// conn is one connection of a caller.
type conn struct {
	server *Server
	nc     net.Conn
	limit  io.LimitedReader // bounds the bytes of a header
	r      *bufio.Reader
	ctx    context.Context // ends when the caller has gone
	cancel context.CancelFunc
	queue  chan *pending
	read   chan struct{} // closed when the reader ended

	mu sync.Mutex
	// waiting counts the requests that are not answered.
	waiting int
	// closing is set once an answer ended the connection.
	closing  bool
	answered time.Time
}

// pending is a request whose answer is due.
type pending struct {
	method string
	reply  *dispatch.Reply
	// last ends the connection after this answer.
	last bool
	done chan struct{}
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, queue: make(chan *pending, maxPipelined), read: make(chan struct{}), answered: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.limit.R = nc
	c.r = bufio.NewReader(&c.limit)
	return c
}

// readLoop reads requests until the caller leaves or the connection ends.
func (c *conn) readLoop() {
	defer c.server.wg.Done()
	defer close(c.read)
	defer close(c.queue)
	for {
		req, body, err := c.next()
		if err == nil && c.take(req, body) {
			continue
		}
		if err == nil || errors.Is(err, errIdle) {
			return
		}
		if status := statusOf(err); status != 0 {
			c.complain(status)
			return
		}
		c.cancel() // the caller has gone
		return
	}
}

// statusOf returns the status for a request that cannot be read, or 0 when the
// connection ended.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeaderLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errMalformed):
		return http.StatusBadRequest
	}
	return 0
}

// complain answers a request that cannot be read and ends the connection.
func (c *conn) complain(status int) {
	p := &pending{reply: &dispatch.Reply{Status: status}, last: true, done: make(chan struct{})}
	close(p.done)
	if c.enter() {
		c.queue <- p
	}
}

// next reads one whole request.
func (c *conn) next() (*http.Request, []byte, error) {
	if err := c.awaitFirst(); err != nil {
		return nil, nil, err
	}
	limits := c.server.limitsNow()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // a failure shows in the read
	c.limit.N = int64(max(limits.MaxHeaderBytes+headerSlack-c.r.Buffered(), 1))
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, c.headFault(err)
	}
	c.limit.N = math.MaxInt64
	body, err := c.body(req, limits.MaxBodyBytes)
	return req, body, err
}

// body reads the body of a request.
func (c *conn) body(req *http.Request, limit int) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	if req.ContentLength > int64(limit) {
		return nil, errBodyLarge
	}
	c.invite(req)
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)) // a failure shows in the read
	body, err := io.ReadAll(io.LimitReader(req.Body, int64(limit)+1))
	switch {
	case isTimeout(err):
		return nil, errSlow
	case err != nil:
		return nil, err
	case len(body) > limit:
		return nil, errBodyLarge
	}
	return body, nil
}

// headFault tells why a header could not be read.
func (c *conn) headFault(err error) error {
	switch {
	case c.limit.N <= 0:
		return errHeaderLarge
	case isTimeout(err):
		return errSlow
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		return err
	}
	return errors.Wrap(errMalformed, err.Error())
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// invite answers a caller that asks before it sends its body.
func (c *conn) invite(req *http.Request) {
	if !strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 {
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // a failure shows in the read
	}
}

// awaitFirst waits for the first byte of a request. A connection that is idle for
// too long ends.
func (c *conn) awaitFirst() error {
	c.limit.N = math.MaxInt64
	for {
		wait, ended := c.patience(time.Now())
		if ended {
			return errIdle
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(wait)) // a failure shows in the read
		if _, ended := c.patience(time.Now()); ended {
			return errIdle
		}
		_, err := c.r.Peek(1)
		if err == nil {
			return nil
		}
		if !isTimeout(err) {
			return err
		}
	}
}

// patience returns how long the connection may wait for its next request.
func (c *conn) patience(now time.Time) (wait time.Duration, ended bool) {
	idle := c.server.limitsNow().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, true
	}
	if c.waiting > 0 {
		return idle, false
	}
	rest := c.answered.Add(idle).Sub(now)
	if rest <= 0 {
		c.closing = true
		return 0, true
	}
	return rest, false
}

// enter counts a request as open, unless the connection has ended.
func (c *conn) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.waiting++
	return true
}

// take starts a request. It returns false when no more are read.
func (c *conn) take(req *http.Request, body []byte) bool {
	if !c.enter() {
		return false
	}
	p := &pending{method: req.Method, done: make(chan struct{}), last: req.Close || !req.ProtoAtLeast(1, 1) || c.server.draining.Load()}
	c.server.open.Add(1)
	c.queue <- p
	go c.handle(p, request(req, body))
	if p.last {
		c.watch()
		return false
	}
	return true
}

// handle runs a request until it is answered, the caller has gone or the server gives
// up.
func (c *conn) handle(p *pending, r *dispatch.Request) {
	defer close(p.done)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stop := context.AfterFunc(c.server.work, cancel)
	defer stop()
	p.reply = c.server.handler(ctx, r)
}

// request returns what the dispatcher needs of a request.
func request(req *http.Request, body []byte) *dispatch.Request {
	target := req.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = req.URL.RequestURI()
	}
	return &dispatch.Request{
		Method: req.Method, Host: req.Host, Path: req.URL.Path, Target: target,
		Header: req.Header, Body: body, Arrived: time.Now(),
	}
}

// watch waits for the caller to leave after its last request.
func (c *conn) watch() {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(defaultIdleTimeout)) // a failure shows in the read
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return
		}
		if _, err := c.r.Peek(1); err == nil || isTimeout(err) {
			// Bytes behind the last request are of no interest.
			if err == nil {
				_, _ = c.r.Discard(c.r.Buffered()) // what was peeked at is there
			}
			continue
		}
		c.cancel()
		return
	}
}

// closeIdle ends the connection if no request is open on it.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 || c.closing {
		return
	}
	c.closing = true
	_ = c.nc.SetReadDeadline(past) // ends the reader
}

// writeLoop writes answers in the order of the requests.
func (c *conn) writeLoop() {
	defer c.server.wg.Done()
	defer c.server.forget(c)
	defer c.end()
	w := bufio.NewWriter(c.nc)
	broken := false
	for p := range c.queue {
		<-p.done
		last := c.finish(p)
		if !broken && c.ctx.Err() == nil {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows in the write
			broken = writeReply(w, p, last) != nil
		}
		if broken {
			c.cancel()
			_ = c.nc.SetReadDeadline(past) // ends the reader
		}
		if p.method != "" {
			c.server.open.Add(-1)
		}
		if last {
			_ = c.nc.SetReadDeadline(past) // ends the reader
		}
	}
}

// finish counts a request as answered and says whether its answer is the last one.
func (c *conn) finish(p *pending) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	c.answered = time.Now()
	last = p.last || c.server.draining.Load() && c.waiting == 0
	if last {
		c.closing = true
	}
	return last
}

// end closes the connection. The caller is given time to read the last answer
// before bytes that it has sent meanwhile would reset the connection.
func (c *conn) end() {
	if tcp, ok := c.nc.(*net.TCPConn); ok && c.ctx.Err() == nil {
		if tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTime)) // bounds the discarding
			_, _ = io.Copy(io.Discard, tcp)                     // until the caller closes or the deadline
		}
	}
	c.cancel()
	_ = c.nc.Close() // all is written
}
