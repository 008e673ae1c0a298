package frame

import (
	"fmt"
	"slices"

	"github.com/cicadaseam/cicadaseam/internal/base/alloc"
)

// SequenceError reports that a frame of a message is missing, duplicated or out of order.
type SequenceError struct {
	ID   uint64
	Want uint32
	Got  uint32
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("message %d: got frame %d, want frame %d", e.ID, e.Got, e.Want)
}

// LengthError reports a message whose length differs from the total length in its frames.
type LengthError struct {
	ID   uint64
	Want uint32
	Got  int
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("message %d: got %d bytes, want %d", e.ID, e.Got, e.Want)
}

// firstBufferBytes bounds the first buffer for a message, so that a peer that claims a large total
// length takes no more memory until its frames arrive. Downloads of up to 540 kB fit in it.
const firstBufferBytes = 1 << 20

// Assembler reassembles one message from its frames. The zero value is ready to use.
type Assembler struct {
	nextSeq uint32 // sequence number that the next frame must have
	total   uint32 // length of the message, as its first frame says
	data    []byte
}

// Add appends the data of the next frame. It returns true when the message is complete.
func (a *Assembler) Add(f *Frame) (bool, error) {
	if f.Seq != a.nextSeq {
		return false, &SequenceError{ID: f.ID, Want: a.nextSeq, Got: f.Seq}
	}
	if f.Total > MaxMessageBytes {
		return false, &SizeError{Size: int(f.Total), Limit: MaxMessageBytes}
	}
	if a.nextSeq == 0 {
		a.total = f.Total
		a.data = make([]byte, 0, min(f.Total, firstBufferBytes))
	}
	a.nextSeq++
	if len(a.data)+len(f.Data) > cap(a.data) {
		a.grow() // the peer sends as much as it said
	}
	a.data = append(a.data, f.Data...)
	if f.Total != a.total || len(a.data) > int(a.total) {
		return false, &LengthError{ID: f.ID, Want: a.total, Got: len(a.data)}
	}
	if !f.End {
		return false, nil
	}
	if len(a.data) != int(a.total) {
		return false, &LengthError{ID: f.ID, Want: a.total, Got: len(a.data)}
	}
	return true, nil
}

// grow makes room for the whole message.
func (a *Assembler) grow() {
	data := alloc.Bytes(max(int(a.total), len(a.data)))
	a.data = data[:copy(data, a.data)]
}

// Data returns the message. It is complete only after Add returned true.
func (a *Assembler) Data() []byte { return a.data }

// Size returns the size in bytes of a message in parts.
func Size(parts [][]byte) (size int) {
	for _, p := range parts {
		size += len(p)
	}
	return size
}

// Split returns the frames of a message whose data is that of all parts. A message without data is one
// frame. The frames share the memory of the parts.
func Split(kind Kind, id uint64, method uint8, parts ...[]byte) []*Frame {
	total := Size(parts)
	parts = slices.Clone(parts)
	frames := make([]*Frame, 0, total/MaxChunkBytes+1)
	left := total
	for seq := uint32(0); ; seq++ {
		f := &Frame{Kind: kind, ID: id, Method: method, Seq: seq, Total: uint32(total)}
		f.Data, parts = cutChunk(parts)
		left -= len(f.Data)
		f.End = left == 0
		frames = append(frames, f)
		if f.End {
			return frames
		}
	}
}

// cutChunk cuts the data of one frame off the front of parts, and returns the rest. It copies only where
// parts meet.
func cutChunk(parts [][]byte) (chunk []byte, rest [][]byte) {
	if len(parts) == 1 || len(parts) > 1 && len(parts[0]) >= MaxChunkBytes {
		n := min(len(parts[0]), MaxChunkBytes)
		chunk, parts[0] = parts[0][:n], parts[0][n:]
		return chunk, parts
	}
	for len(parts) > 0 && len(chunk) < MaxChunkBytes {
		n := min(len(parts[0]), MaxChunkBytes-len(chunk))
		chunk = append(chunk, parts[0][:n]...)
		if parts[0] = parts[0][n:]; len(parts[0]) == 0 {
			parts = parts[1:]
		}
	}
	return chunk, parts
}
