// Package frame is the framing between nodes.
//
// # Model
//
// A frame is a length of four bytes, big endian, and a msgpack array. A
// message travels as one or more frames with the same id: Seq counts them from
// 0, the last one has End set, and Total is the length of the whole message.
// A message is whole or it is an error.
//
// # Usage
//
//	w := frame.NewWriter(conn)
//	err := w.Write(&frame.Frame{Kind: frame.Ping})
//	r := frame.NewReader(conn)
//	err := r.Read(&f)
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the number of the protocol, sent in the Hello frame of each
// connection. A peer with another number is refused whole.
const ProtocolVersion = 3

// Sizes in bytes.
const (
	// MaxChunk is the most data in one frame, so that a reader needs one small
	// buffer a connection however long a message is.
	MaxChunkBytes = 32 << 10
	// MaxFrame bounds an encoded frame.
	MaxFrameBytes = MaxChunkBytes + 1<<10
	// MaxMessage bounds a whole message.
	MaxMessageBytes = 80 << 20
)

// Buffers of a connection. A node has a connection to hundreds of peers, most of
// them with little on it, so that buffers are small and one that had to grow is
// not kept.
const (
	bufferBytes = 1 << 10
	keepBytes   = 2 << 10
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames.
const (
	Hello Kind = iota + 1
	Request
	Response
	// Failure answers a request with an error text.
	Failure
	// Refused answers a request that no handler has seen.
	Refused
	Cancel
	Ping
	Pong
)

// Frame is one unit on the wire.
type Frame struct {
	Kind   Kind
	ID     uint64
	Method uint8
	Seq    uint32
	End    bool
	Total  uint32
	Data   []byte
}

const fieldCount = 7

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f *Frame) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(fieldCount); err != nil {
		return err
	}
	for _, n := range [...]uint64{uint64(f.Kind), f.ID, uint64(f.Method), uint64(f.Seq)} {
		if err := enc.EncodeUint(n); err != nil {
			return err
		}
	}
	if err := enc.EncodeBool(f.End); err != nil {
		return err
	}
	if err := enc.EncodeUint(uint64(f.Total)); err != nil {
		return err
	}
	return enc.EncodeBytes(f.Data)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Frame) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != fieldCount {
		return fmt.Errorf("frame has %d fields, not %d", n, fieldCount)
	}
	var head [4]uint64
	for i := range head {
		if head[i], err = dec.DecodeUint64(); err != nil {
			return err
		}
	}
	f.Kind, f.ID, f.Method, f.Seq = Kind(head[0]), head[1], uint8(head[2]), uint32(head[3])
	if f.End, err = dec.DecodeBool(); err != nil {
		return err
	}
	if f.Total, err = dec.DecodeUint32(); err != nil {
		return err
	}
	f.Data, err = dec.DecodeBytes()
	return err
}

// SizeError reports a frame or a message over its limit.
type SizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("size %d bytes is over the limit of %d", e.Size, e.Limit)
}

// DecodeError reports bytes that are no frame.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "frame does not decode: " + e.Reason }

// Writer writes frames to a stream. Frames gather in a buffer until Flush, or
// until the buffer is full.
type Writer struct {
	w   io.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	fw := &Writer{w: w}
	fw.enc = msgpack.NewEncoder(&fw.buf)
	fw.enc.UseCompactInts(true)
	return fw
}

// headBytes is the length of a frame's length.
const headBytes = 4

// Write adds a frame to the batch.
func (w *Writer) Write(f *Frame) error {
	start := w.buf.Len()
	var head [headBytes]byte
	w.buf.Write(head[:])
	if err := f.EncodeMsgpack(w.enc); err != nil {
		w.buf.Truncate(start)
		return err
	}
	size := w.buf.Len() - start - headBytes
	if size > MaxFrameBytes {
		w.buf.Truncate(start)
		return &SizeError{Size: size, Limit: MaxFrameBytes}
	}
	binary.BigEndian.PutUint32(w.buf.Bytes()[start:], uint32(size))
	if w.buf.Len() < MaxFrameBytes {
		return nil
	}
	return w.Flush()
}

// Flush sends the batch.
func (w *Writer) Flush() error {
	if w.buf.Len() == 0 {
		return nil
	}
	_, err := w.w.Write(w.buf.Bytes())
	w.buf.Reset()
	if w.buf.Cap() > keepBytes {
		w.buf = bytes.Buffer{}
	}
	return err
}

// Reader reads frames from a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
	src bytes.Reader
	dec *msgpack.Decoder
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	fr := &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
	fr.dec = msgpack.NewDecoder(&fr.src)
	return fr
}

// Read fills f with the next frame. It returns io.EOF only between frames.
func (r *Reader) Read(f *Frame) error {
	var head [4]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxFrameBytes {
		return &SizeError{Size: size, Limit: MaxFrameBytes}
	}
	if cap(r.buf) < size || cap(r.buf) > keepBytes {
		r.buf = make([]byte, size)
	}
	r.buf = r.buf[:size]
	if _, err := io.ReadFull(r.r, r.buf); err != nil {
		return &DecodeError{Reason: "cut after " + io.ErrUnexpectedEOF.Error()}
	}
	r.src.Reset(r.buf)
	r.dec.Reset(&r.src)
	if err := f.DecodeMsgpack(r.dec); err != nil {
		return &DecodeError{Reason: err.Error()}
	}
	return nil
}
