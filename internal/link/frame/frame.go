// Package frame encodes the messages between nodes as frames on a byte stream.
//
// # Model
//
// A frame is a big-endian length of four bytes, followed by a msgpack array. A message is sent
// as one or more frames with the same id: Seq numbers them from 0, End is set on the last one,
// and Total is the length of the complete message. A message that is not complete is an error;
// no part of it is delivered.
//
// # Usage
//
//	w := frame.NewWriter(conn)
//	err := w.Write(&frame.Frame{Kind: frame.Ping})
//	err = w.Flush()
//	r := frame.NewReader(conn)
//	err = r.Read(&f)
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is sent as the method of the Hello frame, the first frame on each connection.
// A server closes a connection whose Hello has another version and runs none of its requests.
const ProtocolVersion = 4

// Limits on sizes.
const (
	// MaxChunkBytes bounds the data in one frame, so that a reader needs only one small
	// buffer for each connection, however long a message is.
	MaxChunkBytes = 32 << 10
	// MaxFrameBytes bounds an encoded frame.
	MaxFrameBytes = MaxChunkBytes + 1<<10
	// MaxMessageBytes bounds the data of a message. It leaves room for the rest of an answer
	// beside a body of 64 MiB, the largest that a node of either kind takes from a backend server.
	MaxMessageBytes = 80 << 20
)

// Sizes of the buffers of a connection. A node is connected to hundreds of peers, and most of
// these connections carry little traffic. Buffers are therefore small, and a buffer that had to
// grow beyond maxKeptBufferBytes is not kept.
const (
	readBufferBytes    = 1 << 10
	maxKeptBufferBytes = 2 << 10
)

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frames. The numbers are part of the protocol.
const (
	// Hello is the first frame that a client sends; its Method is the ProtocolVersion.
	Hello Kind = iota + 1
	Request
	Response
	// Failure answers a request whose handler failed. Its data is the error text.
	Failure
	// Refused answers a request that was not passed to a handler. Its data is the reason.
	Refused
	// Cancel notifies the server that the client no longer waits for the answer to a request.
	Cancel
	Ping
	Pong
)

// Frame is a frame of a message. Its fields are encoded in this order.
type Frame struct {
	Kind Kind
	// ID identifies the message among those on its connection; an answer has the id of its
	// request.
	ID uint64
	// Method is the number of the requested operation.
	Method uint8
	// Seq is the position of the frame in its message, from 0.
	Seq uint32
	// End is set on the last frame of a message.
	End bool
	// Total is the length of the message in bytes.
	Total uint32
	Data  []byte
}

// fieldCount is the length of the array that a frame is encoded as.
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
	var numbers [4]uint64
	for i := range numbers {
		if numbers[i], err = dec.DecodeUint64(); err != nil {
			return err
		}
	}
	f.Kind, f.ID, f.Method, f.Seq = Kind(numbers[0]), numbers[1], uint8(numbers[2]), uint32(numbers[3])
	if f.End, err = dec.DecodeBool(); err != nil {
		return err
	}
	if f.Total, err = dec.DecodeUint32(); err != nil {
		return err
	}
	f.Data, err = dec.DecodeBytes()
	return err
}

// SizeError reports a frame or a message that exceeds its limit, in bytes.
type SizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("size %d bytes is over the limit of %d", e.Size, e.Limit)
}

// DecodeError reports bytes that are not a valid frame.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "invalid frame: " + e.Reason }

// Writer writes frames to a stream. Frames are buffered until Flush is called or the buffer
// holds at least MaxFrameBytes.
type Writer struct {
	w   io.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{w: w}
	writer.enc = msgpack.NewEncoder(&writer.buf)
	writer.enc.UseCompactInts(true)
	return writer
}

// lengthBytes is the size of the length that precedes each frame.
const lengthBytes = 4

// Write adds a frame to the buffer. A frame that cannot be encoded or is too large is an error
// and leaves the buffer unchanged.
func (w *Writer) Write(f *Frame) error {
	start := w.buf.Len()
	var length [lengthBytes]byte
	w.buf.Write(length[:])
	if err := f.EncodeMsgpack(w.enc); err != nil {
		w.buf.Truncate(start)
		return err
	}
	size := w.buf.Len() - start - lengthBytes
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

// Flush writes the buffered frames to the stream.
func (w *Writer) Flush() error {
	if w.buf.Len() == 0 {
		return nil
	}
	_, err := w.w.Write(w.buf.Bytes())
	w.buf.Reset()
	if w.buf.Cap() > maxKeptBufferBytes {
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
	reader := &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
	reader.dec = msgpack.NewDecoder(&reader.src)
	return reader
}

// Read reads the next frame into f. It returns io.EOF only if the stream ends between frames.
func (r *Reader) Read(f *Frame) error {
	var length [4]byte
	if _, err := io.ReadFull(r.r, length[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > MaxFrameBytes {
		return &SizeError{Size: size, Limit: MaxFrameBytes}
	}
	if cap(r.buf) < size || cap(r.buf) > maxKeptBufferBytes {
		r.buf = make([]byte, size)
	}
	r.buf = r.buf[:size]
	if _, err := io.ReadFull(r.r, r.buf); err != nil {
		return &DecodeError{Reason: "truncated: " + io.ErrUnexpectedEOF.Error()}
	}
	r.src.Reset(r.buf)
	r.dec.Reset(&r.src)
	if err := f.DecodeMsgpack(r.dec); err != nil {
		return &DecodeError{Reason: err.Error()}
	}
	return nil
}
