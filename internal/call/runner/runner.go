// Package runner sends requests to the backend server of a node by HTTP.
//
// # Model
//
// A request is sent once, on a connection of the runner's own that is kept
// between requests. The goroutine of the call writes the request and reads the
// answer itself. The HTTP client of the standard library hands each request to
// two other goroutines and repeats some requests by itself when a kept
// connection turns out to be closed, also ones with an Idempotency-Key header;
// the runner does neither.
//
// A kept connection is looked at before it is used: one that the backend server
// has closed, or on which it said something unasked, is dropped, and no byte of
// the request is lost with it.
//
// # Invariants
//
//   - Sent is false only when no byte of the request was written.
//   - A connection is kept only after a whole answer, read to its end.
//
// # Usage
//
//	r := runner.New("127.0.0.1:8080", runner.WithConnections(120))
//	result := r.Run(ctx, call, maxAnswer)
package runner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/wire"
)

// Names of the headers that a backend server sees.
const (
	HeaderRequestID = "Cicadaseam-Request-Id"
	HeaderDepth     = "Cicadaseam-Depth"
	HeaderTimeout   = "Cicadaseam-Timeout-Ms"
)

// DefaultConnections bounds the connections when a backend server says nothing.
const DefaultConnections = 120

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// maxHead bounds the head of an answer, in bytes.
	maxHead = 1 << 20
)

// Result is what came of one request.
type Result struct {
	Status  int
	Headers []cicadaseam.Header
	Body    []byte
	// Sent is true when a byte may have reached the backend server.
	Sent bool
	// TooLarge is set when the answer was over the limit.
	TooLarge bool
	Err      error
}

// Dialer opens connections to the backend server.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Runner sends requests to one backend server. It is safe for concurrent use.
type Runner struct {
	addr string
	dial Dialer
	pool *pool
}

// Option changes a new Runner.
type Option func(*Runner)

// WithConnections bounds the connections to the backend server.
func WithConnections(n int) Option { return func(r *Runner) { r.pool = newPool(n) } }

// WithDialer replaces TCP, for tests.
func WithDialer(d Dialer) Option { return func(r *Runner) { r.dial = d } }

// New returns a runner for the backend server at addr.
func New(addr string, opts ...Option) *Runner {
	d := net.Dialer{Timeout: dialTimeout}
	r := &Runner{
		addr: addr,
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		pool: newPool(DefaultConnections),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Addr returns the address of the backend server.
func (r *Runner) Addr() string { return r.addr }

// Close drops idle connections and keeps none from now on.
func (r *Runner) Close() { r.pool.close() }

// Refuses reports whether the backend server refuses a new connection, which
// tells a crashed process from a connection that was only closed.
func (r *Runner) Refuses(ctx context.Context) bool {
	nc, err := r.dial(ctx, r.addr)
	if err != nil {
		return true
	}
	_ = nc.Close() // it was opened only to see whether it opens
	return false
}

// Run sends a call once and reads its whole answer.
func (r *Runner) Run(ctx context.Context, call *cicadaseam.Call, maxAnswer int) Result {
	req, err := r.request(ctx, call)
	if err != nil {
		return Result{Err: err}
	}
	if err := r.pool.acquire(ctx); err != nil {
		return Result{Err: errors.Wrap(err, "wait for a connection")}
	}
	defer r.pool.release()
	c, err := r.connect(ctx)
	if err != nil {
		return Result{Err: err}
	}
	result, reusable := c.exchange(ctx, req, maxAnswer)
	if reusable {
		r.pool.put(c)
	}
	return result
}

// connect takes a kept connection or opens a new one.
func (r *Runner) connect(ctx context.Context) (*conn, error) {
	if c := r.pool.get(time.Now()); c != nil {
		return c, nil
	}
	nc, err := r.dial(ctx, r.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to backend server %s", r.addr)
	}
	return newConn(nc), nil
}

func (r *Runner) request(ctx context.Context, call *cicadaseam.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "request %s", call.Target)
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          r.addr,
		Header:        make(http.Header, len(call.Headers)+3),
		ContentLength: int64(len(call.Body)),
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Del("Expect") // the body is whole here; nothing has to be asked first
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	req.Header.Set(HeaderRequestID, call.ID)
	req.Header.Set(HeaderDepth, strconv.Itoa(call.Depth+1))
	return req, nil
}

func headersOf(h http.Header) []cicadaseam.Header {
	out := make([]cicadaseam.Header, 0, len(h))
	for name, values := range h {
		if !wire.HopByHop[name] {
			out = appendHeader(out, name, values)
		}
	}
	return out
}

// RequestHeaders returns the headers of a request that are passed on.
func RequestHeaders(h http.Header) []cicadaseam.Header {
	return slices.DeleteFunc(wire.EndToEnd(h), func(x cicadaseam.Header) bool { return ownHeaders[x.Name] })
}

// ownHeaders are set by the runner; what a caller sends under these names
// stays at the entry.
var ownHeaders = map[string]bool{HeaderRequestID: true, HeaderDepth: true, HeaderTimeout: true}

func appendHeader(out []cicadaseam.Header, name string, values []string) []cicadaseam.Header {
	for _, v := range values {
		out = append(out, cicadaseam.Header{Name: name, Value: v})
	}
	return out
}
