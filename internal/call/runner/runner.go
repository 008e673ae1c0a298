// Package runner sends requests to the backend server of a node by HTTP.
//
// # Model
//
// A request is sent once, on a connection of package keep. The HTTP client of the
// standard library hands each request to two other goroutines and repeats some
// requests by itself when a kept connection turns out to be closed, also ones with
// an Idempotency-Key header; the runner does neither.
//
// # Invariants
//
//   - Sent is false only when no byte of the request was written.
//
// # Usage
//
//	r := runner.New("127.0.0.1:8080", runner.WithConnections(120))
//	result := r.Run(ctx, call, maxAnswer)
package runner

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

// Names of the headers that a backend server sees.
const (
	HeaderRequestID = "Cicadaseam-Request-Id"
	HeaderDepth     = "Cicadaseam-Depth"
	HeaderTimeout   = "Cicadaseam-Timeout-Ms"
)

// DefaultConnections bounds the connections when a backend server says nothing.
const DefaultMaxConnections = 120

// idleTimeout is how long a connection is kept without a request.
const idleTimeout = 30 * time.Second

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

// Runner sends requests to one backend server. It is safe for concurrent use.
type Runner struct {
	pool *connpool.Pool
	// tokens bounds the connections in use.
	tokens chan struct{}
	dial   []connpool.Option
}

// Option changes a new Runner.
type Option func(*Runner)

// WithConnections bounds the connections to the backend server.
func WithMaxConnections(n int) Option { return func(r *Runner) { r.tokens = make(chan struct{}, n) } }

// WithDialer replaces TCP, for tests.
func WithDialer(d connpool.DialFunc) Option {
	return func(r *Runner) { r.dial = []connpool.Option{connpool.WithDialer(d)} }
}

// New returns a runner for the backend server at addr.
func New(addr string, opts ...Option) *Runner {
	r := &Runner{tokens: make(chan struct{}, DefaultMaxConnections)}
	for _, opt := range opts {
		opt(r)
	}
	r.pool = connpool.New(addr, idleTimeout, r.dial...)
	return r
}

// Close drops idle connections and keeps none from now on.
func (r *Runner) Close() { r.pool.Close() }

// Refuses reports whether the backend server refuses a new connection, which
// tells a crashed process from a connection that was only closed.
func (r *Runner) RefusesConnections(ctx context.Context) bool { return r.pool.Probe(ctx) != nil }

// Run sends a call once and reads its whole answer.
func (r *Runner) Run(ctx context.Context, call *cicadaseam.Call, maxAnswer int) Result {
	req, err := r.request(ctx, call)
	if err != nil {
		return Result{Err: err}
	}
	if err := r.acquire(ctx); err != nil {
		return Result{Err: errors.Wrap(err, "wait for a connection")}
	}
	defer r.release()
	conn, err := r.pool.Get(ctx, time.Now(), idleTimeout)
	if err != nil {
		return Result{Err: err}
	}
	var result Result
	sent, reusable := conn.Exchange(ctx, len(call.Body), func() error { return write(conn, req) }, func() (whole bool) {
		result, whole = receive(conn, req, maxAnswer)
		return whole
	})
	if reusable {
		r.pool.Put(time.Now(), conn)
	}
	result.Sent = sent
	return result
}

// acquire waits until one more connection may be in use.
func (r *Runner) acquire(ctx context.Context) error {
	select {
	case r.tokens <- struct{}{}:
		return nil
	default:
	}
	select {
	case r.tokens <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (r *Runner) release() { <-r.tokens }

func write(conn *connpool.Conn, req *http.Request) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads an answer. whole is false when the connection ends with it.
func receive(conn *connpool.Conn, req *http.Request, maxAnswer int) (r Result, whole bool) {
	a, err := conn.ReadResponse(req, maxAnswer)
	if err != nil {
		return Result{TooLarge: errors.Is(err, connpool.ErrResponseTooLarge), Err: err}, false
	}
	return Result{Status: a.Status, Headers: headersOf(a.Header), Body: a.Body}, !a.Close
}

func (r *Runner) request(ctx context.Context, call *cicadaseam.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.RequestURI)
	if err != nil {
		return nil, errors.Wrapf(err, "request %s", call.RequestURI)
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          r.pool.Addr(),
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
		if !http1.HopByHopHeaders[name] {
			out = appendHeader(out, name, values)
		}
	}
	return out
}

// RequestHeaders returns the headers of a request that are passed on.
func RequestHeaders(h http.Header) []cicadaseam.Header {
	return slices.DeleteFunc(http1.EndToEndHeaders(h), func(x cicadaseam.Header) bool { return ownHeaders[x.Name] })
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
