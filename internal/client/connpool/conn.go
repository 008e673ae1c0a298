package connpool

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

const (
	// inlineBody is the largest body, in bytes, that is written before the answer is
	// read. The send buffer of a socket takes as much without the other side.
	inlineBody = 16 << 10
	// maxHead bounds the head of an answer, in bytes.
	maxHead = 1 << 20
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// ErrLarge is returned for an answer over the limit.
var ErrResponseTooLarge = errors.New("the answer is too large")

// Conn is one connection. One request uses it at a time.
type Conn struct {
	nc    net.Conn
	raw   syscall.RawConn // nil where a look at the socket is not possible
	r     *bufio.Reader
	limit io.LimitedReader // bounds the head of an answer
	sent  atomic.Bool
	used  time.Time
	life  time.Duration
}

func newConn(nc net.Conn, life time.Duration) *Conn {
	c := &Conn{nc: nc, life: life}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it the connection is read instead
	}
	c.limit.R = nc
	c.r = bufio.NewReader(&c.limit)
	return c
}

func (c *Conn) close() { _ = c.nc.Close() } // nothing is left to lose on it

// SetLife changes how long the connection may be idle.
func (c *Conn) SetIdleTimeout(d time.Duration) { c.life = d }

// Write implements io.Writer. That bytes may have left is noted first: a write that
// fails half way may have sent something.
func (c *Conn) Write(b []byte) (int, error) {
	c.sent.Store(true)
	return c.nc.Write(b)
}

// WriteAll writes the head and the body of a request, in one piece where the socket
// allows it.
func (c *Conn) WriteRequest(head, body []byte) error {
	c.sent.Store(true)
	if len(body) == 0 {
		_, err := c.nc.Write(head)
		return err
	}
	b := net.Buffers{head, body}
	_, err := b.WriteTo(c.nc)
	return err
}

// Exchange writes a request with a body of a size and reads its answer with functions
// of the caller. read returns whether the answer is whole and lets the connection go
// on. A connection that is not reusable is closed.
func (c *Conn) Exchange(ctx context.Context, size int, write func() error, read func() bool) (sent, reusable bool) {
	c.sent.Store(false)
	stop := context.AfterFunc(ctx, c.close)
	written := c.start(size, write)
	whole := read()
	reusable = stop() && whole && c.r.Buffered() == 0 && ended(written)
	if !reusable {
		c.close() // which ends the writing too
		<-written
	}
	return c.sent.Load(), reusable
}

func (c *Conn) start(size int, write func() error) chan error {
	written := make(chan error, 1)
	if size <= inlineBody {
		written <- write()
		return written
	}
	go func() { written <- write() }()
	return written
}

// ended reports whether a request was written well and to its end.
func ended(written chan error) bool {
	select {
	case err := <-written:
		written <- err
		return err == nil
	default:
		return false
	}
}

// Answer is one whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is set when the connection ends with the answer.
	Close bool
}

// Read reads the next answer, with a body of at most so many bytes. It is read also
// when the request was not written to its end, since a server may answer without
// reading all of it.
func (c *Conn) ReadResponse(req *http.Request, maxBody int) (Response, error) {
	c.limit.N = maxHead
	resp, err := http1.ReadFinalResponse(c.r, req)
	if err != nil {
		return Response{}, errors.Wrap(err, "read the head of the answer")
	}
	c.limit.N = math.MaxInt64
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBody)+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "read the answer")
	}
	if len(body) > maxBody {
		return Response{}, errors.Wrapf(ErrResponseTooLarge, "over %d bytes", maxBody)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, nil
}

// usable reports whether a kept connection is open and has nothing to read.
func (c *Conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw != nil {
		return http1.IsIdle(c.raw)
	}
	if err := c.nc.SetReadDeadline(past); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.nc.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && c.nc.SetReadDeadline(time.Time{}) == nil
}
