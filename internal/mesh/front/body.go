package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/budget"
)

// body is the body of a request, with its part of the budget.
type body struct {
	data     []byte
	reserved budget.Reservation
}

// readBody reads the body of a request. limit is in bytes. The caller releases the body, also after an
// error.
func (c *conn) readBody(req *http.Request, limit int) (body, error) {
	var b body
	if req.ContentLength == 0 {
		return b, nil
	}
	if req.ContentLength > int64(limit) {
		return b, errBodyTooLarge
	}
	size := req.ContentLength
	if size < 0 {
		size = firstChunked
	}
	if !c.server.budget.Resize(&b.reserved, size) {
		return b, errNoMemory
	}
	c.sendContinue(req)
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)) // the next read reports a failure
	var err error
	if req.ContentLength > 0 {
		b.data = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, b.data)
	} else {
		err = c.readChunked(req.Body, limit, &b)
	}
	if isTimeout(err) {
		err = errRequestTimeout
	}
	return b, err
}

// readChunked reads a body of unknown length, and reserves more as it grows.
func (c *conn) readChunked(r io.Reader, limit int, b *body) error {
	var buf bytes.Buffer
	for size := int64(firstChunked); ; size = min(2*size, int64(limit)+1) {
		if !c.server.budget.Resize(&b.reserved, size) {
			return errNoMemory
		}
		missing := size - int64(buf.Len())
		buf.Grow(int(missing))
		n, err := io.CopyN(&buf, r, missing)
		switch {
		case buf.Len() > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			b.data = buf.Bytes()
			c.server.budget.Resize(&b.reserved, int64(buf.Len())) // it is smaller
			return nil
		case err != nil:
			return err
		case n < missing:
			return io.ErrUnexpectedEOF
		}
	}
}

func (c *conn) release(b *body) { c.server.budget.Release(&b.reserved) }
