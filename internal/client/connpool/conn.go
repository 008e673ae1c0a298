package connpool

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the response is
	// read. It fits the send buffer of a socket, so that the write completes without the
	// server reading it.
	maxInlineBody = 16 << 10
	// maxResponseHead bounds the head of a response with the interim responses before it, in
	// bytes. A process may read as many heads at once as its backend server has slots.
	maxResponseHead = 64 << 10
	// unframedWriteTimeout is how long a request may still be written once the body of its response
	// has ended with the connection.
	unframedWriteTimeout = time.Second
	// maxRequests bounds the requests that one connection carries, and thereby the memory
	// for their IDs.
	maxRequests = 1024
)

// idSeed is the seed of the hashes of request IDs. Two IDs with the same hash only cost a
// new connection.
var idSeed = maphash.MakeSeed()

// expiredDeadline is a read deadline that makes a read return immediately.
var expiredDeadline = time.Unix(1, 0)

// Errors for responses that cannot be used.
var (
	// ErrHeadTooLarge is returned for a response whose head is over the limit.
	ErrHeadTooLarge = errors.New("response head too large")
	// ErrResponseTooLarge is returned for a response whose body is over the limit.
	ErrResponseTooLarge = errors.New("response body too large")
	// ErrUnframed is the error for a response whose body may have been cut off unnoticed.
	ErrUnframed = errors.New("response body without a length or chunks")
)

// Conn is a connection to the server. It carries one request at a time.
type Conn struct {
	nc     net.Conn
	raw    syscall.RawConn // nil if the connection gives no access to its socket
	r      *bufio.Reader
	source *http1.Source    // of r
	limit  io.LimitedReader // bounds the head of a response
	budget *Budget          // shared with the pool
	// written gets the result of the write of the current request.
	written chan error
	// sent is set before the first byte of a request is written.
	sent        atomic.Bool
	lastUsed    time.Time
	idleTimeout time.Duration
	// carried holds a hash of the ID of each request that the connection has carried.
	carried []uint64
	// echoes is set once the server has echoed the ID of a request.
	echoes bool
}

func newConn(nc net.Conn, idleTimeout time.Duration, budget *Budget) *Conn {
	c := &Conn{nc: nc, idleTimeout: idleTimeout, budget: budget}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // without it, usable reads from the connection instead
	}
	c.limit.R = nc
	c.source = http1.NewSource(&c.limit)
	c.r = bufio.NewReader(c.source)
	return c
}

// accepts reports whether the connection may carry a request with an ID. A second copy of
// the response to an earlier request may still arrive, and the ID is what distinguishes it
// from the response to this request.
func (c *Conn) accepts(id uint64) bool {
	return id == noID || !slices.Contains(c.carried, id)
}

// noID stands for the hash of the ID of a request that has none.
const noID = 0

// hashID returns a hash of the ID of a request.
func hashID(id string) uint64 {
	if id == "" {
		return noID
	}
	return maphash.String(idSeed, id)
}

func (c *Conn) close() { _ = c.nc.Close() } // the connection is discarded, so an error changes nothing

// SetEchoes records that the server has echoed the ID of a request on this connection.
func (c *Conn) SetEchoes() { c.echoes = true }

// Echoes reports whether the server has echoed the ID of a request on this connection. A response
// without an ID belongs to no request from then on: it may be a copy of one from another connection.
func (c *Conn) Echoes() bool { return c.echoes }

// SetIdleTimeout changes how long the connection may be idle.
func (c *Conn) SetIdleTimeout(d time.Duration) { c.idleTimeout = d }

// Write implements io.Writer. The request counts as sent from here on, because a write
// that fails may have sent some bytes.
func (c *Conn) Write(b []byte) (int, error) {
	c.sent.Store(true)
	return c.nc.Write(b)
}

// WriteRequest writes the head and the body of a request, with one system call if the
// socket allows it.
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

// Exchange writes a request with write and reads its response with read. size is the
// size of the request body, in bytes. read reports whether the response is complete and
// the server keeps the connection open. sent is false only if no byte of the request was
// written. If reusable is true, the caller may Put the connection; otherwise Exchange has
// closed it.
func (c *Conn) Exchange(ctx context.Context, size int, write func() error, read func() bool) (sent, reusable bool) {
	c.sent.Store(false)
	stop := context.AfterFunc(ctx, c.close)
	c.startWrite(size, write)
	complete := read()
	reusable = stop() && complete && c.r.Buffered() == 0 && c.isWritten()
	if !reusable {
		c.close() // which ends the write too
		<-c.written
	}
	return c.sent.Load(), reusable
}

// startWrite writes a request, in another goroutine if its body may not fit the send buffer.
func (c *Conn) startWrite(size int, write func() error) {
	written := make(chan error, 1)
	c.written = written
	if size <= maxInlineBody {
		written <- write()
		return
	}
	go func() { written <- write() }()
}

// isWritten reports whether the write of the request has ended without an error. The result stays in
// the channel.
func (c *Conn) isWritten() bool {
	select {
	case err := <-c.written:
		c.written <- err
		return err == nil
	default:
		return false
	}
}

// awaitWritten waits until the request is written. An error of a connection is told once: if the write
// got it, the end of what was read looks like the end of the body.
func (c *Conn) awaitWritten() error {
	timeout := time.NewTimer(unframedWriteTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.written:
		c.written <- err
		return errors.Wrap(err, "write the request of a response without a length")
	case <-timeout.C:
		return ErrUnframed
	}
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is set when the server closes the connection after the response.
	Close bool
	// Unframed is set for a response with a body that ends with the connection. A server that
	// crashes in the middle of it may look like one that has ended it.
	Unframed bool
	// BodyErr is why the body of an unframed response is not complete, or nil.
	BodyErr error
}

// ReadResponse reads the next response, with a body of at most maxBody bytes. wanted gets its head
// and reports whether the body is wanted: otherwise it is read and not kept. ReadResponse does not
// wait for the request to be written completely, since a server may respond without reading all of
// it.
func (c *Conn) ReadResponse(req *http.Request, maxBody int, wanted func(*Response) bool) (Response, error) {
	c.limit.N = maxResponseHead
	resp, err := c.readHead(req)
	if err != nil && c.limit.N <= 0 {
		return Response{}, errors.Wrapf(ErrHeadTooLarge, "more than %d bytes", maxResponseHead)
	}
	if err != nil {
		return Response{}, errors.Wrap(err, "read the response head")
	}
	c.limit.N = math.MaxInt64
	r := Response{Status: resp.StatusCode, Header: resp.Header, Unframed: http1.IsUnframed(resp)}
	r.Close = resp.Close || r.Unframed
	if !wanted(&r) {
		return r, discardBody(resp.Body, maxBody)
	}
	length := resp.ContentLength
	if resp.Body == http.NoBody { // a response to HEAD has the Content-Length of the response to GET
		length = 0
	}
	r.Body, err = (&bodyReader{budget: c.budget}).read(resp.Body, length, maxBody)
	if err == nil {
		err = http1.CheckTrailer(resp)
	}
	if r.Unframed {
		if r.BodyErr = err; err == nil {
			r.BodyErr = c.awaitWritten()
		}
		return r, nil
	}
	return r, err
}

// readHead reads the head of the final response. The read buffer grows with a head that does not fit;
// the limit of the connection bounds it.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http1.ReadFinalResponse(c.r, req)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return resp, err
		}
		c.r = c.source.Resize(c.r, 2*c.r.Size())
	}
}

// usable reports whether an idle connection is open and has no data to read.
func (c *Conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw != nil {
		return http1.IsIdle(c.raw)
	}
	if err := c.nc.SetReadDeadline(expiredDeadline); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.nc.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && c.nc.SetReadDeadline(time.Time{}) == nil
}
