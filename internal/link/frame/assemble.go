package frame

import (
	"fmt"

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

// Split returns the frames of a message. A message without data is one frame.
func Split(kind Kind, id uint64, method uint8, data []byte) []*Frame {
	total := uint32(len(data))
	frames := make([]*Frame, 0, len(data)/MaxChunkBytes+1)
	for seq := uint32(0); ; seq++ {
		n := min(len(data), MaxChunkBytes)
		f := &Frame{Kind: kind, ID: id, Method: method, Seq: seq, Total: total, Data: data[:n]}
		data = data[n:]
		f.End = len(data) == 0
		frames = append(frames, f)
		if f.End {
			return frames
		}
	}
}
