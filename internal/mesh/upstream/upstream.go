// Package upstream sends requests to one backend server over HTTP/1.1.
//
// # Model
//
// A request is sent once, on a connection of package connpool. The backend server echoes
// the ID of the request in its response. A response with another ID is stray: it answers
// an earlier request, and is skipped. A connection carries no two requests with the same
// ID, and none after a response without an ID. A response without an ID counts only if it is the
// first one on its connection: a server that is faulty may write one that it has written before.
//
// # Invariants
//
//   - Result.Sent is false only when no byte of the request was written.
//   - Result.Rejected is set only when the backend server itself says that it did
//     not run the request.
//   - A result without an error holds the complete response to this request.
//
// # Usage
//
//	c := upstream.New("10.0.0.9:8080", headers)
//	result := c.Do(ctx, call, instanceID, timeout, time.Time{})
package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/client/connpool"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

const (
	// defaultIdleTimeout is the assumed idle timeout of a backend server that sends none
	// in a Keep-Alive header.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutShare is the share of the backend server's idle timeout for which an
	// idle connection is reused.
	idleTimeoutShare = 0.6
	// nonIdempotentMaxIdle is the longest idle time of a connection that is reused for a
	// non-idempotent request: the backend server may have dropped the connection without
	// this side having noticed.
	nonIdempotentMaxIdle = time.Second
	// noIdle is below the idle time of any connection.
	noIdle = -time.Second
	// unlimitedIdle is longer than any connection stays idle.
	unlimitedIdle = time.Hour
	// maxResponses bounds the responses that are read for one request, stray ones
	// included.
	maxResponses = 4
	// maxResponseBody bounds the body of a response, in bytes. The largest ones that are known
	// take 540 kB. A server may send without end, so the bound also limits what is read in vain.
	maxResponseBody = 16 << 20
	// maxBodiesInProgress bounds the memory for all bodies that are being read, in bytes: about a
	// third of the smallest process, which has 184 MB.
	maxBodiesInProgress = 48 << 20
)

// bodyBudget is shared by all clients of the process: one for each instance of its backend server.
var bodyBudget = connpool.NewBudget(maxBodiesInProgress)

// Responses returns the budget for the response bodies of the process, which other parts that hold
// them share.
func Responses() *connpool.Budget { return bodyBudget }

// ErrTooLate is the error in Result.Err for a request that could not be sent in time.
var ErrTooLate = errors.New("no connection before the backend server may exit")

// Errors in Result.Err for responses that cannot be used.
var (
	ErrTooManyStrayResponses = errors.New("too many responses with the ID of another request")
	ErrMissingSeal           = errors.New("successful response without a seal header")
	ErrUnidentified          = errors.New("response without an ID on a connection with responses that have one")
	ErrMismatchedID          = errors.New("connection closed after a response with the ID of another request")
)

// Result is the response to one request, or the error that prevented it.
type Result struct {
	Status  int
	Headers []cicadaseam.Header
	Body    []byte
	// Sent is false when no byte of the request was written.
	Sent bool
	// Rejected is set when the backend server says, by a header or by status 421, that it
	// did not run the request.
	Rejected bool
	// Sealed is set for a response with a seal.
	Sealed bool
	// RateLimit is the rate limit that the backend server names in the response, as it wrote
	// it, or empty.
	RateLimit string
	// Leaving is set when the backend server says that it is about to exit.
	Leaving bool
	Err     error

	unframed bool  // the body ended with the connection
	bodyErr  error // why an unframed body is not complete
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	headers cicadaseam.MeshHeaders
	pool    *connpool.Pool
}

// New returns a client without connections for the backend server at addr.
func New(addr string, headers cicadaseam.MeshHeaders) *Client {
	return &Client{headers: headers, pool: connpool.New(addr, usableIdle(defaultIdleTimeout), connpool.WithBudget(bodyBudget))}
}

// Dials returns how many connections were dialed for requests.
func (c *Client) Dials() int64 { return c.pool.Dials() }

// Reachability is what a new connection shows of a backend server.
type Reachability uint8

// The results of Probe.
const (
	// Reachable means that the server accepts connections: it only closed one.
	Reachable Reachability = iota
	// Refusing means that no process listens: the server crashed.
	Refusing
	// Unreachable means that nothing answers.
	Unreachable
)

// Probe opens a connection to the backend server to see whether it is still there.
func (c *Client) Probe(ctx context.Context) Reachability {
	err := c.pool.Probe(ctx)
	switch {
	case err == nil:
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing
	}
	return Unreachable
}

// Close closes the idle connections. From now on, none is kept for reuse.
func (c *Client) Close() { c.pool.Close() }

// usableIdle returns how long an idle connection is reused when the backend server
// closes it after d.
func usableIdle(d time.Duration) time.Duration { return time.Duration(idleTimeoutShare * float64(d)) }

// Do sends a request and reads the complete response. instance is the ID of the only
// instance that may run the request, and timeout the time that it is given to respond. The request
// is not sent later than sendBy, unless that is zero.
func (c *Client) Do(ctx context.Context, call *cicadaseam.MeshCall, instance string, timeout time.Duration, sendBy time.Time) Result {
	conn, err := c.connect(ctx, call, sendBy)
	if err != nil {
		return Result{Err: err}
	}
	head := c.requestHead(call, instance, timeout)
	var result Result
	sent, reusable := conn.Exchange(ctx, len(call.Body), func() error { return conn.WriteRequest(head, call.Body) }, func() (keepAlive bool) {
		result, keepAlive = c.readResponse(conn, call)
		return keepAlive
	})
	if reusable {
		c.pool.Put(time.Now(), conn)
	}
	result.Sent = sent
	return c.checkUnframed(ctx, result)
}

// connect returns a connection for a request, before sendBy.
func (c *Client) connect(ctx context.Context, call *cicadaseam.MeshCall, sendBy time.Time) (*connpool.Conn, error) {
	maxIdle := maxIdleOf(call)
	if sendBy.IsZero() {
		return c.pool.Get(ctx, time.Now(), maxIdle, call.ID)
	}
	ctx, cancel := context.WithDeadline(ctx, sendBy)
	defer cancel()
	conn, err := c.pool.Get(ctx, time.Now(), maxIdle, call.ID)
	if !time.Now().After(sendBy) {
		return conn, err
	}
	if err == nil {
		c.pool.Put(time.Now(), conn) // nothing was sent on it
	}
	return nil, ErrTooLate
}

// maxIdleOf returns the longest idle time of a connection that is reused for a request. The response
// to a request without an ID has none, and would not be told from a stray one.
func maxIdleOf(call *cicadaseam.MeshCall) time.Duration {
	switch {
	case call.ID == "":
		return noIdle
	case call.Idempotent:
		return unlimitedIdle
	}
	return nonIdempotentMaxIdle
}

// checkUnframed replaces a response whose body ended with its connection by an error if the backend
// server is gone: then the body may have ended because the server crashed.
func (c *Client) checkUnframed(ctx context.Context, r Result) Result {
	if r.Err != nil || !r.unframed || r.Rejected || c.Probe(ctx) == Reachable {
		return r
	}
	return Result{Sent: r.Sent, Err: connpool.ErrUnframed}
}

// requestHead returns the request line and the header of a request.
func (c *Client) requestHead(call *cicadaseam.MeshCall, instance string, timeout time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(call.Method + " " + call.RequestURI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for _, h := range call.Headers {
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if call.ID != "" {
		b.WriteString(c.headers.RequestID + ": " + call.ID + "\r\n")
	}
	b.WriteString(c.headers.Timeout + ": " + strconv.FormatInt(max(timeout.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(c.headers.ExpectedInstance + ": " + instance + "\r\n")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until the one to this request. An error response without
// an ID counts as one to this request. The second result is false when the connection
// must not be reused.
func (c *Client) readResponse(conn *connpool.Conn, call *cicadaseam.MeshCall) (Result, bool) {
	req := &http.Request{Method: call.Method}
	for range maxResponses {
		result, matched, keepAlive := c.readOne(conn, req, call.ID)
		switch {
		case result.Err != nil:
			return result, false
		case matched == matchID:
			conn.SetEchoes()
			return c.classify(result), keepAlive
		case matched == matchUnidentified && conn.Echoes():
			return Result{Err: ErrUnidentified}, false
		case matched == matchUnidentified:
			// A second copy of a response without an ID could not be told from the response
			// to the next request, so the connection is not used for one.
			return c.classify(result), false
		case !keepAlive:
			return Result{Err: ErrMismatchedID}, false
		}
	}
	return Result{Err: ErrTooManyStrayResponses}, false
}

// match says whether a response belongs to the request that waits for one.
type match uint8

const (
	matchNone         match = iota // the response echoes the ID of another request
	matchID                        // it echoes the ID of the request
	matchUnidentified              // it has no ID, and is taken for that to the request
)

// matchOf returns how a response matches the request with an ID.
func matchOf(status int, echoedID, id string) match {
	switch {
	case echoedID == "" && (id == "" || status >= http.StatusMultipleChoices):
		return matchUnidentified
	case echoedID == id:
		return matchID
	}
	return matchNone
}

// classify sets Rejected in the response to a request. It replaces a successful one without
// a seal, and one whose body may be incomplete, by an error.
func (c *Client) classify(r Result) Result {
	for _, h := range r.Headers {
		switch h.Name {
		case c.headers.Seal:
			r.Sealed = true
		case c.headers.Rejected:
			r.Rejected = true
		}
	}
	if r.Status == http.StatusMisdirectedRequest {
		r.Rejected = true
	}
	if r.Status < http.StatusMultipleChoices && !r.Sealed {
		return Result{Err: ErrMissingSeal}
	}
	if r.bodyErr != nil && !r.Rejected { // the head alone says that a request was rejected
		return Result{Err: r.bodyErr}
	}
	return r
}

// readOne reads one complete response, while the request with an ID waits for one. The body of a
// stray response is not kept. keepAlive is false when the connection closes after it.
func (c *Client) readOne(conn *connpool.Conn, req *http.Request, id string) (r Result, matched match, keepAlive bool) {
	resp, err := conn.ReadResponse(req, maxResponseBody, func(resp *connpool.Response) bool {
		matched = matchOf(resp.Status, resp.Header.Get(c.headers.RequestID), id)
		return matched != matchNone
	})
	if err != nil {
		return Result{Err: err}, matched, false
	}
	if d := keepAliveTime(resp.Header.Get("Keep-Alive")); d > 0 {
		conn.SetIdleTimeout(usableIdle(d))
	}
	r = Result{Status: resp.Status, Headers: http1.EndToEndHeaders(resp.Header), Body: resp.Body,
		RateLimit: resp.Header.Get(c.headers.RateLimit), Leaving: resp.Header.Get(c.headers.Leaving) == "1", unframed: resp.Unframed, bodyErr: resp.BodyErr}
	return r, matched, !resp.Close
}

// keepAliveTime returns the timeout parameter of a Keep-Alive header, or 0.
func keepAliveTime(v string) time.Duration {
	for _, param := range strings.Split(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
