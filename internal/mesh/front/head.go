package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/client/http1"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. Longer heads get a larger one
	// until they are read.
	readBufferBytes = 4 << 10
	// headCopies is how often the bytes of a head are held: as they arrived, parsed, and encoded for
	// another node.
	headCopies = 3
	// fieldBytes is what a header field takes once it is parsed and copied, beside its bytes.
	fieldBytes = 256
	// ordinaryHead is what the head of the only request in progress on a connection may take without
	// being counted: the bound on connections covers it.
	ordinaryHead = 8 << 10
	// pipelinedBytes is what a request takes that is sent behind another one, beside its head and body.
	pipelinedBytes = 16 << 10
)

// headSize returns how many bytes of the budget a head takes. pipelined is set if there is another
// request in progress on the connection.
func headSize(head []byte, pipelined bool) int64 {
	size := int64(headCopies*len(head) + fieldBytes*bytes.Count(head, []byte{'\n'}))
	switch {
	case pipelined:
		return size + pipelinedBytes
	case size <= ordinaryHead:
		return 0
	}
	return size
}

// readHead reads the head of a request of at most limit bytes. Nothing is parsed until all of it is
// there, since the fields take far more memory than their bytes.
func (c *conn) readHead(in *received, limit int) error {
	for {
		head, err := http1.PeekHead(c.r)
		switch {
		case len(head) > limit, errors.Is(err, bufio.ErrBufferFull) && c.r.Size() >= limit:
			return errHeaderTooLarge
		case err == nil:
			return c.parseHead(in, headSize(head, c.hasRequests()))
		case !errors.Is(err, bufio.ErrBufferFull):
			return c.headError(err)
		}
		if err := c.enlargeBuffer(in, min(2*c.r.Size(), limit)); err != nil {
			return err
		}
	}
}

// enlargeBuffer replaces the read buffer by a larger one for a head that does not fit.
func (c *conn) enlargeBuffer(in *received, size int) error {
	if in.reserved == nil {
		c.arriving(in)
	}
	if err := c.reserve(in, int64(c.r.Size()+size)); err != nil {
		return err
	}
	c.r = c.source.Resize(c.r, size)
	return nil
}

// shrinkBuffer replaces a read buffer that was enlarged for the previous head.
func (c *conn) shrinkBuffer() {
	if c.r.Size() > readBufferBytes {
		c.r = c.source.Resize(c.r, readBufferBytes)
	}
}

// parseHead parses a head that the read buffer holds completely, and reserves what it takes.
func (c *conn) parseHead(in *received, size int64) error {
	if c.r.Size() > readBufferBytes {
		size += int64(c.r.Size())
	}
	in.headSize = size
	if err := c.reserve(in, 0); err != nil {
		return err
	}
	request, err := http.ReadRequest(c.r)
	if err != nil {
		return errors.Wrap(errMalformed, err.Error())
	}
	in.request = request
	return nil
}

// headError returns the reason why a head could not be read, given the error of the read.
func (c *conn) headError(err error) error {
	switch {
	case isTimeout(err) && c.isInterrupted():
		return errNoMemory
	case isTimeout(err):
		return errRequestTimeout
	case errors.Is(err, io.EOF) && c.r.Buffered() > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}
