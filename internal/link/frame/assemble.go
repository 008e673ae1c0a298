package frame

import "fmt"

// SequenceError reports frames of a message that are lost, doubled or out of
// order.
type SequenceError struct {
	ID   uint64
	Want uint32
	Got  uint32
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("message %d: frame %d came in place of %d", e.ID, e.Got, e.Want)
}

// LengthError reports a message whose length differs from its Total.
type LengthError struct {
	ID   uint64
	Want uint32
	Got  int
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("message %d has %d bytes of %d", e.ID, e.Got, e.Want)
}

// Assembly joins the frames of one message.
type Assembler struct {
	next  uint32
	total uint32
	data  []byte
}

// Add takes the next frame. It returns true when the message is whole.
func (a *Assembler) Add(f *Frame) (bool, error) {
	if f.Seq != a.next {
		return false, &SequenceError{ID: f.ID, Want: a.next, Got: f.Seq}
	}
	if f.Total > MaxMessageBytes {
		return false, &SizeError{Size: int(f.Total), Limit: MaxMessageBytes}
	}
	if a.next == 0 {
		a.total = f.Total
	}
	a.next++
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

// Data returns the message. It is whole only after Add returned true.
func (a *Assembler) Data() []byte { return a.data }

// Split returns the frames of a message.
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
