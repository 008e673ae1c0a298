// Package upstream sends requests to one backend server by HTTP/1.1.
//
// # Model
//
// A request is sent once, on a connection of package keep. Each answer is known by the
// id that the backend server echoes: an answer with another id was meant for an
// earlier request and is passed over.
//
// # Invariants
//
//   - Result.Sent is false only when no byte of the request was written.
//   - Result.Rejected is set only when the backend server itself says that it did
//     not run the request.
//   - A result without an error holds the whole answer to this request.
//
// # Usage
//
//	c := upstream.New("10.0.0.9:8080", headers)
//	result := c.Do(ctx, call, instanceID, deadline)
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
	// defaultIdle is how long a connection may be idle when the backend server
	// names no time; idleShare is the part of that time in which it is used.
	defaultIdle = 5 * time.Second
	idleShare   = 0.6
	// onceIdle is the longest idle time of a connection that takes a request
	// which must not run twice: a backend server may have dropped it unseen.
	onceIdle = time.Second
	// anyIdle is longer than any connection is idle.
	anyIdle   = time.Hour
	maxStray  = 4
	maxAnswer = 64 << 20 // bytes
)

// Errors that tell what happened to a request.
var (
	ErrTooManyStrayResponses = errors.New("too many answers to other requests")
	ErrMissingSeal           = errors.New("a success without a seal")
	ErrMismatchedID          = errors.New("an answer to another request ended the connection")
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

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	headers cicadaseam.MeshHeaders
	pool    *connpool.Pool
}

// New returns a client without connections.
func New(addr string, headers cicadaseam.MeshHeaders) *Client {
	return &Client{headers: headers, pool: connpool.New(addr, scale(defaultIdle))}
}

// Dials returns how many connections were opened.
func (c *Client) Dials() int64 { return c.pool.Dials() }

// Refuses reports whether the backend server refuses a new connection, which tells
// a crashed process from a connection that was only closed.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	return errors.Is(c.pool.Probe(ctx), syscall.ECONNREFUSED)
}

// Close drops the idle connections and keeps none from now on.
func (c *Client) Close() { c.pool.Close() }

func scale(d time.Duration) time.Duration { return time.Duration(idleShare * float64(d)) }

// Do sends a request to the instance with an id and reads the whole answer. left
// is the time that the backend server is given.
func (c *Client) Do(ctx context.Context, call *cicadaseam.MeshCall, instance string, left time.Duration) Result {
	limit := onceIdle
	if call.Idempotent {
		limit = anyIdle
	}
	conn, err := c.pool.Get(ctx, time.Now(), limit)
	if err != nil {
		return Result{Err: err}
	}
	head := c.head(call, instance, left)
	var result Result
	sent, reusable := conn.Exchange(ctx, len(call.Body), func() error { return conn.WriteRequest(head, call.Body) }, func() (whole bool) {
		result, whole = c.receive(conn, call)
		return whole
	})
	if reusable {
		c.pool.Put(time.Now(), conn)
	}
	result.Sent = sent
	return result
}

func (c *Client) head(call *cicadaseam.MeshCall, instance string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(call.Method + " " + call.RequestURI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for _, h := range call.Headers {
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if call.ID != "" {
		b.WriteString(c.headers.RequestID + ": " + call.ID + "\r\n")
	}
	b.WriteString(c.headers.Timeout + ": " + strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(c.headers.ExpectedInstance + ": " + instance + "\r\n")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads answers until the one to this request.
func (c *Client) receive(conn *connpool.Conn, call *cicadaseam.MeshCall) (Result, bool) {
	req := &http.Request{Method: call.Method}
	for range maxStray {
		result, echoed, whole := c.readOne(conn, req)
		if result.Err != nil {
			return result, false
		}
		foreign := echoed != call.ID && (echoed != "" || result.Status < http.StatusMultipleChoices)
		if !foreign {
			return c.judge(result), whole
		}
		if !whole {
			return Result{Err: ErrMismatchedID}, false
		}
	}
	return Result{Err: ErrTooManyStrayResponses}, false
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
		return Result{Err: ErrMissingSeal}
	}
	return r
}

// readOne reads one whole answer and the id that it echoes. whole is false when the
// connection ends with it.
func (c *Client) readOne(conn *connpool.Conn, req *http.Request) (r Result, echoed string, whole bool) {
	a, err := conn.ReadResponse(req, maxAnswer)
	if err != nil {
		return Result{Err: err}, "", false
	}
	if d := keepAliveTime(a.Header.Get("Keep-Alive")); d > 0 {
		conn.SetIdleTimeout(scale(d))
	}
	r = Result{Status: a.Status, Headers: http1.EndToEndHeaders(a.Header), Body: a.Body}
	return r, a.Header.Get(c.headers.RequestID), !a.Close
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
