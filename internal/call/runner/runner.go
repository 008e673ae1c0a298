// Package runner sends requests to the backend server of a node over HTTP/1.1.
//
// # Model
//
// A request is sent once, on a connection of package connpool. The HTTP client of the
// standard library passes each request to two other goroutines, and retries some requests
// by itself when a reused connection turns out to be closed, even some with an
// Idempotency-Key header. A Runner does neither.
//
// A backend server may echo HeaderRequestID in its responses. A response with another ID answers
// an earlier request and is skipped; without the ID, such a response cannot be recognised once
// the connection is in use again.
//
// # Invariants
//
//   - Result.Sent is false only when no byte of the request was written.
//
// # Usage
//
//	r := runner.New("127.0.0.1:8080", runner.WithMaxConnections(120))
//	result := r.Run(ctx, call, maxBody)
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

// The headers that a Runner adds to each request.
const (
	HeaderRequestID = "Cicadaseam-Request-Id"
	// HeaderDepth is the number of calls through the mesh that led to the request,
	// including this one.
	HeaderDepth = "Cicadaseam-Depth"
	// HeaderTimeout is the time until the deadline of the call, in milliseconds.
	HeaderTimeout = "Cicadaseam-Timeout-Ms"
)

// The headers by which a backend server says in a response what it needs.
const (
	// HeaderRateLimit is the number of requests a second that the server takes. The limit ends
	// with the first response without it.
	HeaderRateLimit = "Cicadaseam-Rate-Limit"
	// HeaderLeaving is 1 if the server is about to exit.
	HeaderLeaving = "Cicadaseam-Leaving"
)

// DefaultMaxConnections bounds the connections to a backend server that does not announce
// a number itself.
const DefaultMaxConnections = 120

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxResponses bounds the responses that are read for one request, those to other requests
	// included.
	maxResponses = 4
)

// maxBodiesInProgress bounds the memory for all response bodies that are being read, in bytes.
const maxBodiesInProgress = 48 << 20

// bodyBudget is shared by all runners of the process: one for each announcement of its backend
// server.
var bodyBudget = connpool.NewBudget(maxBodiesInProgress)

// Responses returns the budget for the response bodies of the process, which other parts that hold
// them share.
func Responses() *connpool.Budget { return bodyBudget }

// ErrStrayResponse is returned when only responses to other requests arrive.
var ErrStrayResponse = errors.New("response with the ID of another request")

// Result is the response to one request, or the error that prevented it.
type Result struct {
	Status  int
	Headers []cicadaseam.Header
	Body    []byte
	// Sent is true when a byte of the request may have reached the backend server.
	Sent bool
	// TooLarge is set when the response was larger than the limit; Err is set too.
	TooLarge bool
	// RateLimit is the value of HeaderRateLimit, and Leaving is set by HeaderLeaving.
	RateLimit string
	Leaving   bool
	Err       error
}

// Runner sends requests to one backend server. It is safe for concurrent use.
type Runner struct {
	pool *connpool.Pool
	// sem is a semaphore that bounds the connections in use.
	sem         chan struct{}
	poolOptions []connpool.Option
	drainOnce   sync.Once
	draining    chan struct{} // closed by Drain
}

// ErrDraining is the error in Result.Err for a call that waited for a connection when its backend
// server was drained.
var ErrDraining = errors.New("the backend server is draining")

// Option configures a new Runner.
type Option func(*Runner)

// WithMaxConnections bounds the connections in use to the backend server.
func WithMaxConnections(n int) Option { return func(r *Runner) { r.sem = make(chan struct{}, n) } }

// WithDialer sets how connections are opened. The default is TCP.
func WithDialer(d connpool.DialFunc) Option {
	return func(r *Runner) { r.poolOptions = []connpool.Option{connpool.WithDialer(d)} }
}

// New returns a runner for the backend server at addr.
func New(addr string, opts ...Option) *Runner {
	r := &Runner{sem: make(chan struct{}, DefaultMaxConnections), draining: make(chan struct{})}
	for _, opt := range opts {
		opt(r)
	}
	r.pool = connpool.New(addr, idleTimeout, append(r.poolOptions, connpool.WithBudget(bodyBudget))...)
	return r
}

// Close closes the idle connections. From now on, none is kept for reuse.
func (r *Runner) Close() { r.pool.Close() }

// Drain ends the waits for a connection: those calls are not sent. The others go on.
func (r *Runner) Drain() { r.drainOnce.Do(func() { close(r.draining) }) }

// RefusesConnections reports whether no new connection to the backend server can be
// opened, which distinguishes a crashed process from a process that closed a connection.
func (r *Runner) RefusesConnections(ctx context.Context) bool { return r.pool.Probe(ctx) != nil }

// Run sends a call once and reads the complete response, with a body of at most maxBody
// bytes.
func (r *Runner) Run(ctx context.Context, call *cicadaseam.Call, maxBody int) Result {
	req, err := r.newRequest(ctx, call)
	if err != nil {
		return Result{Err: err}
	}
	if err := r.acquire(ctx); err != nil {
		return Result{Err: errors.Wrap(err, "wait for a connection")}
	}
	defer r.release()
	// No ID is passed: the entry node generates the ID of a call and sends no call to a target
	// twice, so that the IDs of the requests to a backend server differ.
	conn, err := r.pool.Get(ctx, time.Now(), idleTimeout, "")
	if err != nil {
		return Result{Err: err}
	}
	var result Result
	sent, reusable := conn.Exchange(ctx, len(call.Body), func() error { return writeRequest(conn, req) }, func() (keepAlive bool) {
		result, keepAlive = readOwnResponse(conn, req, maxBody)
		return keepAlive
	})
	if reusable {
		r.pool.Put(time.Now(), conn)
	}
	result.Sent = sent
	return result
}

// acquire waits until one more connection may be in use, the context ends, or the backend server is
// drained.
func (r *Runner) acquire(ctx context.Context) error {
	select {
	case r.sem <- struct{}{}:
		return nil
	default:
	}
	select {
	case r.sem <- struct{}{}:
	case <-r.draining:
		return ErrDraining
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-r.draining: // at the same moment
		r.release()
		return ErrDraining
	default:
		return nil
	}
}

// release undoes acquire.
func (r *Runner) release() { <-r.sem }

func writeRequest(conn *connpool.Conn, req *http.Request) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readOwnResponse reads responses until the one to a request. It skips those that echo the ID of
// another request.
func readOwnResponse(conn *connpool.Conn, req *http.Request, maxBody int) (r Result, keepAlive bool) {
	for range maxResponses {
		var own bool
		r, own, keepAlive = readResponse(conn, req, maxBody)
		if r.Err != nil || own {
			return r, keepAlive
		}
		if !keepAlive {
			break
		}
	}
	return Result{Err: ErrStrayResponse}, false
}

// readResponse reads the next response. own is set if that does not echo the ID of another request,
// and keepAlive is false when the connection cannot be reused after it.
func readResponse(conn *connpool.Conn, req *http.Request, maxBody int) (r Result, own, keepAlive bool) {
	resp, err := conn.ReadResponse(req, maxBody, func(resp *connpool.Response) bool {
		own = isOwn(conn, resp.Header.Get(HeaderRequestID), req.Header.Get(HeaderRequestID))
		return own
	})
	if err != nil {
		return Result{TooLarge: errors.Is(err, connpool.ErrResponseTooLarge), Err: err}, own, false
	}
	if resp.Unframed {
		return Result{Err: connpool.ErrUnframed}, own, false
	}
	return Result{
		Status: resp.Status, Headers: responseHeaders(resp.Header), Body: resp.Body,
		RateLimit: resp.Header.Get(HeaderRateLimit), Leaving: resp.Header.Get(HeaderLeaving) == "1",
	}, own, !resp.Close
}

// isOwn reports whether a response that echoes an ID is the one to the request with an ID. Not all
// backend servers echo it.
func isOwn(conn *connpool.Conn, echoedID, id string) bool {
	if echoedID == "" {
		return !conn.Echoes()
	}
	if echoedID != id {
		return false
	}
	conn.SetEchoes()
	return true
}

// newRequest returns the HTTP request for a call.
func (r *Runner) newRequest(ctx context.Context, call *cicadaseam.Call) (*http.Request, error) {
	u, err := url.ParseRequestURI(call.RequestURI)
	if err != nil {
		return nil, errors.Wrapf(err, "request %s", call.RequestURI)
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           u,
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
	// The entry node has read the body already, so that the backend server need not
	// be asked to accept it.
	req.Header.Del("Expect")
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	req.Header.Set(HeaderRequestID, call.ID)
	req.Header.Set(HeaderDepth, strconv.Itoa(call.Depth+1))
	return req, nil
}

// responseHeaders returns the headers of a response that are forwarded to the caller.
func responseHeaders(h http.Header) []cicadaseam.Header {
	out := make([]cicadaseam.Header, 0, len(h))
	for name, values := range h {
		if !http1.HopByHopHeaders[name] && name != HeaderRequestID { // the entry node sets the ID itself
			out = appendHeader(out, name, values)
		}
	}
	return out
}

// RequestHeaders returns the headers of a request that are forwarded to the backend
// server: the end-to-end headers without those that a Runner sets.
func RequestHeaders(h http.Header) []cicadaseam.Header {
	return slices.DeleteFunc(http1.EndToEndHeaders(h), func(x cicadaseam.Header) bool { return reservedHeaders[x.Name] })
}

// reservedHeaders are set by a Runner. Those that a caller sends are not forwarded.
var reservedHeaders = map[string]bool{HeaderRequestID: true, HeaderDepth: true, HeaderTimeout: true}

// appendHeader appends one Header for each value.
func appendHeader(out []cicadaseam.Header, name string, values []string) []cicadaseam.Header {
	for _, v := range values {
		out = append(out, cicadaseam.Header{Name: name, Value: v})
	}
	return out
}
