// Package runner sends requests to the backend server of a node by HTTP.
//
// # Model
//
// A request is sent once. The HTTP client of the standard library repeats some
// requests by itself when a kept connection turns out to be closed, also ones
// with an Idempotency-Key header; the runner gives it bodies that it cannot
// replay, so that it never does. Each connection counts the bytes written, so
// that a failed request is known to have reached the backend server or not.
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
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
)

// Names of the headers that a backend server sees.
const (
	HeaderRequestID = "Cicadaseam-Request-Id"
	HeaderDepth     = "Cicadaseam-Depth"
	HeaderTimeout   = "Cicadaseam-Timeout-Ms"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
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
	addr   string
	dial   Dialer
	client *http.Client
}

// Option changes a new Runner.
type Option func(*Runner, *http.Transport)

// WithConnections bounds the connections to the backend server.
func WithConnections(n int) Option {
	return func(_ *Runner, t *http.Transport) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// WithDialer replaces TCP, for tests.
func WithDialer(d Dialer) Option { return func(r *Runner, _ *http.Transport) { r.dial = d } }

// New returns a runner for the backend server at addr.
func New(addr string, opts ...Option) *Runner {
	r := &Runner{addr: addr}
	t := &http.Transport{
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			nc, err := r.dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: nc}, nil
		},
	}
	d := net.Dialer{Timeout: dialTimeout}
	r.dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	for _, opt := range opts {
		opt(r, t)
	}
	r.client = &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return r
}

// Addr returns the address of the backend server.
func (r *Runner) Addr() string { return r.addr }

// Close drops idle connections.
func (r *Runner) Close() { r.client.CloseIdleConnections() }

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

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. The count goes up first: a write that fails half
// way may have sent something.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// onceBody is a body that the HTTP client cannot replay.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// sentTracker learns whether the request reached a connection.
type sentTracker struct {
	conn  *countingConn
	start int64
}

func (t *sentTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countingConn); ok {
				t.conn = c
				t.start = c.written.Load()
			}
		},
	}
}

// sent is read after the request ended.
func (t *sentTracker) sent() bool {
	return t.conn != nil && t.conn.written.Load() > t.start
}

// Run sends a call once and reads its whole answer.
func (r *Runner) Run(ctx context.Context, call *cicadaseam.Call, maxAnswer int) Result {
	tracker := &sentTracker{}
	req, err := r.request(httptrace.WithClientTrace(ctx, tracker.trace()), call)
	if err != nil {
		return Result{Err: err}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Result{Sent: tracker.sent(), Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return Result{Sent: true, Err: errors.Wrap(err, "read the answer")}
	}
	if len(body) > maxAnswer {
		return Result{Sent: true, TooLarge: true, Err: errors.Newf("answer is over %d bytes", maxAnswer)}
	}
	return Result{Status: resp.StatusCode, Headers: headersOf(resp.Header), Body: body, Sent: true}
}

func (r *Runner) request(ctx context.Context, call *cicadaseam.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+r.addr+call.Target, bodyOf(call))
	if err != nil {
		return nil, errors.Wrapf(err, "request %s", call.Target)
	}
	req.ContentLength = int64(len(call.Body))
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	req.Header.Set(HeaderRequestID, call.ID)
	req.Header.Set(HeaderDepth, strconv.Itoa(call.Depth+1))
	hideKeys(req.Header)
	return req, nil
}

// bodyOf returns a body that the HTTP client cannot replay. A method that has
// no body counts as replayable without one, so that a call that must not be
// repeated gets an empty body that is read once.
func bodyOf(call *cicadaseam.Call) io.Reader {
	if len(call.Body) > 0 || (!call.Idempotent && lacksBody[call.Method]) {
		return onceBody{bytes.NewReader(call.Body)}
	}
	return http.NoBody
}

// lacksBody are the methods that the HTTP client repeats by itself.
var lacksBody = map[string]bool{http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true}

// hideKeys spells the headers that make the HTTP client repeat any request in
// lower case, by which it does not know them. To the backend server they are
// the same.
func hideKeys(h http.Header) {
	for canonical, lower := range map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"} {
		if values := h[canonical]; values != nil {
			h[lower] = values
			delete(h, canonical)
		}
	}
}

// hopByHop are headers of one connection, which are not passed on.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
	"Content-Length": true,
}

func headersOf(h http.Header) []cicadaseam.Header {
	var out []cicadaseam.Header
	for name, values := range h {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			out = append(out, cicadaseam.Header{Name: name, Value: v})
		}
	}
	return out
}

// RequestHeaders returns the headers of a request that are passed on. Headers
// named in Connection belong to the connection too.
func RequestHeaders(h http.Header) []cicadaseam.Header {
	clean := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range splitTokens(list) {
			clean.Del(name)
		}
	}
	clean.Del(HeaderDepth)
	clean.Del(HeaderTimeout)
	clean.Del(HeaderRequestID)
	return headersOf(clean)
}

func splitTokens(list string) []string {
	var out []string
	for _, part := range bytes.Split([]byte(list), []byte(",")) {
		if name := string(bytes.TrimSpace(part)); name != "" {
			out = append(out, name)
		}
	}
	return out
}
