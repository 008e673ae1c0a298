package front

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/alloc"
)

// readBody reads the body of a request. limit is in bytes. The caller releases the request, also after
// an error.
func (c *conn) readBody(in *received, limit int) error {
	length := in.request.ContentLength
	switch {
	case length == 0:
		return nil
	case length > int64(limit):
		return errBodyTooLarge
	}
	c.setReadDeadline(time.Now().Add(c.server.bodyTimeout))
	var err error
	if length > 0 {
		err = c.readSized(in, length)
	} else {
		err = c.readChunked(in, limit)
	}
	switch {
	case isTimeout(err) && c.isInterrupted():
		return errNoMemory
	case isTimeout(err):
		return errRequestTimeout
	}
	return err
}

// readSized reads a body of a known length.
func (c *conn) readSized(in *received, length int64) error {
	if int64(c.r.Buffered()) < length { // the rest may never arrive
		c.arriving(in)
	}
	if err := c.reserve(in, length); err != nil {
		return err
	}
	c.sendContinue(in.request)
	in.body = alloc.Bytes(int(length))
	return c.fill(in, in.body)
}

// fill reads as many bytes of the body as buf holds.
func (c *conn) fill(in *received, buf []byte) error {
	for len(buf) > 0 {
		n, err := in.request.Body.Read(buf)
		buf = buf[n:]
		c.progress(in, n)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(buf) > 0:
			return io.ErrUnexpectedEOF
		case !errors.Is(err, io.EOF):
			return err
		}
	}
	return nil
}

// readChunked reads a body of unknown length. It is read into buffers that double in size, and joined
// at its end: while that is done, it takes twice its size.
func (c *conn) readChunked(in *received, limit int) error {
	c.arriving(in)
	var buffers [][]byte
	size, reserved := 0, 0
	for {
		next := min(max(reserved, firstChunked), limit+1-reserved) // one byte over the limit shows that the body is too large
		if err := c.reserve(in, int64(reserved+next)); err != nil {
			return err
		}
		if reserved == 0 {
			c.sendContinue(in.request)
		}
		reserved += next
		buf := alloc.Bytes(next)
		n, err := c.fillChunk(in, buf)
		buffers = append(buffers, buf[:n])
		size += n
		switch {
		case size > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return c.join(in, buffers, size)
		case err != nil:
			return err
		}
	}
}

// fillChunk reads into buf until it is full or the body has ended, which is io.EOF.
func (c *conn) fillChunk(in *received, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var read int
		read, err = in.request.Body.Read(buf[n:])
		n += read
		c.progress(in, read)
	}
	return n, err
}

// join sets the body to the contents of buffers, which have a size together.
func (c *conn) join(in *received, buffers [][]byte, size int) error {
	if len(buffers) == 1 {
		in.body = buffers[0]
		return nil
	}
	if err := c.reserve(in, 2*int64(size)); err != nil {
		return err
	}
	in.body = alloc.Join(buffers, size)
	return c.reserve(in, int64(size))
}
