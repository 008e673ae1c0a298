package runner

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

	"github.com/cicadaseam/cicadaseam/internal/client/wire"
)

// inlineBody is the largest body, in bytes, that is written before the answer is
// read. The send buffer of a socket takes as much without the other side.
const inlineBody = 16 << 10

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// conn is one connection to the backend server. One call uses it at a time.
type conn struct {
	nc    net.Conn
	raw   syscall.RawConn
	r     *bufio.Reader
	w     *bufio.Writer
	limit io.LimitedReader // bounds the head of an answer
	sent  atomic.Bool
	used  time.Time
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it the connection is read instead
	}
	c.limit.R = nc
	c.r = bufio.NewReader(&c.limit)
	c.w = bufio.NewWriter(sentWriter{c})
	return c
}

// sentWriter notes that bytes may have left. The note comes first: a write that
// fails half way may have sent something.
type sentWriter struct{ c *conn }

// Write implements io.Writer.
func (w sentWriter) Write(b []byte) (int, error) {
	w.c.sent.Store(true)
	return w.c.nc.Write(b)
}

func (c *conn) close() { _ = c.nc.Close() } // nothing is left to lose on it

// exchange sends one request and reads its whole answer. reusable is true when
// the connection may carry another one; otherwise it is closed.
func (c *conn) exchange(ctx context.Context, req *http.Request, maxAnswer int) (result Result, reusable bool) {
	c.sent.Store(false)
	deadline, _ := ctx.Deadline()
	if err := c.nc.SetDeadline(deadline); err != nil {
		c.close()
		return Result{Err: errors.Wrap(err, "set the deadline")}, false
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(past) }) // a closed connection ends by itself
	written := c.send(req)
	result, reusable = c.receive(req, maxAnswer)
	// A call that ended at the same moment may have set the deadline already.
	reusable = stop() && reusable && c.nc.SetDeadline(time.Time{}) == nil
	if !ended(written) || !reusable {
		reusable = false
		c.close() // which ends the writing too
		<-written
	}
	result.Sent = c.sent.Load()
	if errors.Is(result.Err, os.ErrDeadlineExceeded) {
		<-ctx.Done() // the same deadline; who asks the context why, is to hear it
	}
	return result, reusable
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

// send writes a request. A body that may not fit the buffers of the sockets is
// written while the answer is read: a backend server may answer as it reads.
func (c *conn) send(req *http.Request) chan error {
	written := make(chan error, 1)
	if req.ContentLength <= inlineBody {
		written <- c.write(req)
		return written
	}
	go func() { written <- c.write(req) }()
	return written
}

func (c *conn) write(req *http.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// receive reads an answer. It is read also when the request was not written to
// its end, since a backend server may answer without reading all of it.
func (c *conn) receive(req *http.Request, maxAnswer int) (Result, bool) {
	c.limit.N = maxHead
	resp, err := wire.ReadHead(c.r, req)
	if err != nil {
		return Result{Err: errors.Wrap(err, "read the head of the answer")}, false
	}
	c.limit.N = math.MaxInt64
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return Result{Err: errors.Wrap(err, "read the answer")}, false
	}
	if len(body) > maxAnswer {
		return Result{TooLarge: true, Err: errors.Newf("answer is over %d bytes", maxAnswer)}, false
	}
	return Result{Status: resp.StatusCode, Headers: headersOf(resp.Header), Body: body}, !resp.Close
}

// usable reports whether a kept connection is open and quiet.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw != nil {
		return wire.Quiet(c.raw)
	}
	var b [1]byte
	if err := c.nc.SetReadDeadline(past); err != nil {
		return false
	}
	_, err := c.nc.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}
