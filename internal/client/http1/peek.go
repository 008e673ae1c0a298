package http1

import (
	"bufio"
	"bytes"
	"io"
)

// PeekHead returns the head of the next message, with the empty line at its end, as soon as r holds all
// of it. It reads nothing beyond what r buffers. The error is bufio.ErrBufferFull if the head does not
// fit into the buffer; see Source.
func PeekHead(r *bufio.Reader) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	for scanned := 0; ; {
		data, _ := r.Peek(r.Buffered()) // cannot fail
		if end := headEnd(data, scanned); end > 0 {
			return data[:end], nil
		}
		scanned = len(data)
		if _, err := r.Peek(len(data) + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the length of the head that data begins with, or 0 if it is not complete. The first
// scanned bytes were found to hold no complete head.
func headEnd(data []byte, scanned int) int {
	const longestEnd = 3 // "\n\r\n"
	for i := max(scanned-longestEnd, 0); ; {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		rest := data[i:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + 2
		}
	}
}

// Source is a stream whose buffer can be replaced by one of another size.
type Source struct {
	r      io.Reader
	unread []byte // read before what r returns next
}

// NewSource returns a source of what r returns.
func NewSource(r io.Reader) *Source { return &Source{r: r} }

// Read implements io.Reader.
func (s *Source) Read(b []byte) (int, error) {
	if len(s.unread) == 0 {
		return s.r.Read(b)
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Resize returns a reader with a buffer of a size in bytes that continues r, a reader of the source,
// which must not be used any more.
func (s *Source) Resize(r *bufio.Reader, size int) *bufio.Reader {
	buffered, _ := r.Peek(r.Buffered()) // cannot fail
	s.unread = append(bytes.Clone(buffered), s.unread...)
	return bufio.NewReaderSize(s, size)
}
