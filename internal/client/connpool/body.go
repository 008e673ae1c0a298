package connpool

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/base/alloc"
)

const (
	// firstBuffer is the size in bytes of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
	// maxUnusedPart is the part of a buffer that may stay unused. A body that leaves more unused
	// is copied to a smaller buffer, since it is kept until its caller has read it.
	maxUnusedPart = 0.25
)

// bodyReader reads one response body. Its buffers grow with the bytes that have arrived, and are
// reserved in the budget. A body that outgrows its buffers gets a further one and is joined at its
// end: replaced buffers would take memory beyond the budget until they are collected.
type bodyReader struct {
	budget   *Budget
	reserved int64
	buffers  [][]byte
	size     int64 // bytes read so far
}

// read reads a body of at most maxBody bytes. length is its length, or -1 if it is not known.
func (b *bodyReader) read(body io.Reader, length int64, maxBody int) ([]byte, error) {
	if length > int64(maxBody) {
		return nil, errors.Wrapf(ErrResponseTooLarge, "%d bytes, the limit is %d", length, maxBody)
	}
	defer func() { b.budget.Release(b.reserved) }()
	end := int64(maxBody) + 1 // one byte over the limit shows that the body is too large
	first := int64(firstBuffer)
	if length >= 0 {
		end, first = length, smallBody
	}
	for size := min(first, end); ; size = min(2*size, end) {
		if err := b.grow(size); err != nil {
			return nil, err
		}
		ended, err := b.fill(body)
		switch {
		case ended && b.size >= length:
			return b.joined(), nil
		case err != nil:
			return nil, errors.Wrap(err, "read the response body")
		case b.size == length:
			return b.joined(), nil
		case b.size == end:
			return nil, errors.Wrapf(ErrResponseTooLarge, "more than %d bytes", maxBody)
		}
	}
}

// fill reads into the last buffer until that is full or the body has ended.
func (b *bodyReader) fill(body io.Reader) (ended bool, err error) {
	last := &b.buffers[len(b.buffers)-1]
	for len(*last) < cap(*last) {
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		if err != nil {
			return errors.Is(err, io.EOF), err
		}
	}
	return false, nil
}

// grow adds a buffer, so that all buffers together have size bytes.
func (b *bodyReader) grow(size int64) error {
	added := size - b.reserved
	if !b.budget.Reserve(added, size) {
		return errors.Wrapf(ErrNoMemory, "for a body of %d bytes", size)
	}
	b.reserved = size
	b.buffers = append(b.buffers, alloc.Bytes(int(added))[:0])
	return nil
}

// joined returns the body in one buffer, without an unused part that is large.
func (b *bodyReader) joined() []byte {
	if first := b.buffers[0]; len(b.buffers) == 1 && float64(cap(first)-len(first)) <= maxUnusedPart*float64(cap(first)) {
		return first
	}
	return alloc.Join(b.buffers, int(b.size))
}

// discardBody reads a body of at most maxBody bytes and keeps nothing of it.
func discardBody(body io.Reader, maxBody int) error {
	n, err := io.CopyN(io.Discard, body, int64(maxBody)+1)
	switch {
	case n > int64(maxBody):
		return errors.Wrapf(ErrResponseTooLarge, "more than %d bytes", maxBody)
	case errors.Is(err, io.EOF):
		return nil
	}
	return errors.Wrap(err, "discard the response body")
}
