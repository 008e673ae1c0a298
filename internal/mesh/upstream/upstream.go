// Package upstream sends requests to one backend server by HTTP/1.1.
//
// # Model
//
// A request is sent once, on a connection that carries one request at a time. A
// kept connection is used again only while it is young, quiet and open. Each
// answer is known by the id that the backend server echoes: an answer with
// another id was meant for an earlier request and is passed over.
//
// # Invariants
//
//   - Result.Sent is false only when no byte of the request was written.
//   - Result.Rejected is set only when the backend server itself says that it did
//     not run the request.
//   - A result without an error holds the whole answer to this request.
//   - A connection is kept only after a whole answer with nothing behind it.
//
// # Usage
//
//	c := upstream.New("10.0.0.9:8080", headers)
//	result := c.Do(ctx, call, instanceID, deadline)
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/wire"
)

const (
	dialTimeout = time.Second
	// defaultIdle is how long a connection may be idle when the backend server
	// names no time; idleShare is the part of that time in which it is used.
	defaultIdle = 5 * time.Second
	idleShare   = 0.6
	// onceIdle is the longest idle time of a connection that takes a request
	// which must not run twice: a backend server may have dropped it unseen.
	onceIdle = time.Second
	// inlineBody is the largest body, in bytes, that is written before the answer
	// is read.
	inlineBody = 16 << 10
	maxStray   = 4
	maxAnswer  = 64 << 20 // bytes
)

// Errors that tell what happened to a request.
var (
	ErrStray     = errors.New("too many answers to other requests")
	ErrNoSeal    = errors.New("a success without a seal")
	ErrForeignID = errors.New("an answer to another request ended the connection")
	ErrLarge     = errors.New("the answer is too large")
)

// Result is what came of one request.
type Result struct {
	Status   int
	Headers  []cicadaseam.Header
	Body     []byte
	Sent     bool
	Rejected bool
	Err      error
}

// Client holds the connections to one backend server. It is safe for concurrent
// use.
type Client struct {
	addr    string
	headers cicadaseam.MeshHeaders
	dialer  net.Dialer
	dials   atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a client without connections.
func New(addr string, headers cicadaseam.MeshHeaders) *Client {
	return &Client{addr: addr, headers: headers, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
}

// Dials returns how many connections were opened.
func (c *Client) Dials() int64 { return c.dials.Load() }

// Refuses reports whether the backend server refuses a new connection, which tells
// a crashed process from a connection that was only closed.
func (c *Client) Refuses(ctx context.Context) bool {
	nc, err := c.dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close() // it was opened only to see whether it opens
	return false
}

// Close drops the idle connections and keeps none from now on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, x := range c.idle {
		x.close()
	}
	c.idle = nil
}

// conn is one connection.
type conn struct {
	nc   net.Conn
	raw  syscall.RawConn
	r    *bufio.Reader
	used time.Time
	// life is how long the connection may be idle.
	life time.Duration
}

func (x *conn) close() { _ = x.nc.Close() } // nothing is left to lose on it

// get returns a kept connection that was idle for less than limit, the last used
// first, or nil.
func (c *Client) get(now time.Time, limit time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		x := c.idle[last]
		idle := now.Sub(x.used)
		if idle <= x.life && idle > limit {
			return nil
		}
		c.idle = c.idle[:last]
		if idle <= x.life && x.quiet() {
			return x
		}
		x.close()
	}
	return nil
}

func (c *Client) put(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		x.close()
		return
	}
	x.used = time.Now()
	c.idle = append(c.idle, x)
	for len(c.idle) > 0 && x.used.Sub(c.idle[0].used) > c.idle[0].life {
		c.idle[0].close()
		c.idle = c.idle[1:]
	}
}

// quiet reports whether a kept connection is open and has nothing to read.
func (x *conn) quiet() bool {
	if x.r.Buffered() > 0 || x.raw == nil {
		return false
	}
	return wire.Quiet(x.raw)
}

func (c *Client) connect(ctx context.Context, call *cicadaseam.MeshCall) (*conn, error) {
	limit := onceIdle
	if call.Idempotent {
		limit = time.Hour
	}
	if x := c.get(time.Now(), limit); x != nil {
		return x, nil
	}
	c.dials.Add(1)
	nc, err := c.dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to backend server %s", c.addr)
	}
	x := &conn{nc: nc, r: bufio.NewReader(nc), life: scale(defaultIdle)}
	if sc, ok := nc.(syscall.Conn); ok {
		x.raw, _ = sc.SyscallConn() // without it the connection is not kept
	}
	return x, nil
}

func scale(d time.Duration) time.Duration { return time.Duration(idleShare * float64(d)) }

// Do sends a request to the instance with an id and reads the whole answer. left
// is the time that the backend server is given.
func (c *Client) Do(ctx context.Context, call *cicadaseam.MeshCall, instance string, left time.Duration) Result {
	x, err := c.connect(ctx, call)
	if err != nil {
		return Result{Err: err}
	}
	stop := context.AfterFunc(ctx, x.close)
	written := c.send(x, call, instance, left)
	result, keep := c.receive(x, call)
	result.Sent = true
	keep = stop() && keep && finished(written)
	if !keep {
		x.close() // which ends a body that is still being written
		return result
	}
	c.put(x)
	return result
}

// finished reports whether a request was written to its end.
func finished(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// send writes a request. A large body is written while the answer is read, since
// a backend server may answer before it has read all of it.
func (c *Client) send(x *conn, call *cicadaseam.MeshCall, instance string, left time.Duration) <-chan error {
	written := make(chan error, 1)
	head := c.head(call, instance, left)
	if len(call.Body) <= inlineBody {
		_, err := x.nc.Write(append(head, call.Body...))
		written <- err
		return written
	}
	go func() {
		buffers := net.Buffers{head, call.Body}
		_, err := buffers.WriteTo(x.nc)
		written <- err
	}()
	return written
}

func (c *Client) head(call *cicadaseam.MeshCall, instance string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for _, h := range call.Headers {
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if call.ID != "" {
		b.WriteString(c.headers.Attempt + ": " + call.ID + "\r\n")
	}
	b.WriteString(c.headers.Deadline + ": " + strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(c.headers.Expected + ": " + instance + "\r\n")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads answers until the one to this request.
func (c *Client) receive(x *conn, call *cicadaseam.MeshCall) (Result, bool) {
	req := &http.Request{Method: call.Method}
	for range maxStray {
		result, echoed, keep := c.readOne(x, req)
		if result.Err != nil {
			return result, false
		}
		foreign := echoed != call.ID && (echoed != "" || result.Status < http.StatusMultipleChoices)
		if !foreign {
			return c.judge(result), keep && x.r.Buffered() == 0
		}
		if !keep {
			return Result{Err: ErrForeignID}, false
		}
	}
	return Result{Err: ErrStray}, false
}

// judge finds what an answer to this request says about it.
func (c *Client) judge(r Result) Result {
	sealed := false
	for _, h := range r.Headers {
		switch h.Name {
		case c.headers.Seal:
			sealed = true
		case c.headers.Rejected:
			r.Rejected = true
		}
	}
	if r.Status == http.StatusMisdirectedRequest {
		r.Rejected = true
	}
	if r.Status < http.StatusMultipleChoices && !sealed {
		return Result{Err: ErrNoSeal}
	}
	return r
}

// readOne reads one whole answer and the id that it echoes.
func (c *Client) readOne(x *conn, req *http.Request) (r Result, echoed string, keep bool) {
	resp, err := wire.ReadHead(x.r, req)
	if err != nil {
		return Result{Err: errors.Wrap(err, "read the head of the answer")}, "", false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Result{Err: errors.Wrap(err, "read the answer")}, "", false
	}
	if len(body) > maxAnswer {
		return Result{Err: ErrLarge}, "", false
	}
	if d := keepAliveTime(resp.Header.Get("Keep-Alive")); d > 0 {
		x.life = scale(d)
	}
	r = Result{Status: resp.StatusCode, Headers: wire.EndToEnd(resp.Header), Body: body}
	return r, resp.Header.Get(c.headers.Attempt), !resp.Close
}

// keepAliveTime returns the timeout of a Keep-Alive header, or 0.
func keepAliveTime(v string) time.Duration {
	for _, part := range strings.Split(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
