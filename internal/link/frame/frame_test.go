package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func encode(t testing.TB, frames ...*Frame) []byte {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	for _, f := range frames {
		require.NoError(t, w.Write(f))
	}
	require.NoError(t, w.Flush())
	return buf.Bytes()
}

func TestMessageOfManyFrames(t *testing.T) {
	data := bytes.Repeat([]byte("seam"), MaxChunkBytes)
	r := NewReader(bytes.NewReader(encode(t, Split(Request, 7, 1, data)...)))
	var a Assembler
	var f Frame
	for {
		require.NoError(t, r.Read(&f))
		whole, err := a.Add(&f)
		require.NoError(t, err)
		if whole {
			break
		}
	}
	require.Equal(t, data, a.Data())
	require.ErrorIs(t, r.Read(&f), io.EOF)
}

func TestTruncatedFrame(t *testing.T) {
	data := encode(t, &Frame{Kind: Request, ID: 1, Data: []byte("hello"), Total: 5, End: true})
	for cut := 5; cut < len(data); cut++ {
		var f Frame
		err := NewReader(bytes.NewReader(data[:cut])).Read(&f)
		var bad *DecodeError
		require.ErrorAs(t, err, &bad, "cut after %d bytes", cut)
	}
}

func TestFramesOutOfOrder(t *testing.T) {
	frames := Split(Response, 3, 0, make([]byte, 3*MaxChunkBytes))
	cases := map[string][]*Frame{
		"doubled": {frames[0], frames[0]},
		"lost":    {frames[0], frames[2]},
		"late":    {frames[1]},
	}
	for name, list := range cases {
		var a Assembler
		var err error
		for _, f := range list {
			if _, err = a.Add(f); err != nil {
				break
			}
		}
		var sequence *SequenceError
		require.ErrorAs(t, err, &sequence, name)
	}
	var a Assembler
	_, err := a.Add(&Frame{ID: 1, Total: 4, Data: []byte("abc"), End: true})
	var length *LengthError
	require.ErrorAs(t, err, &length, "an end before the whole length")
}

func FuzzRead(f *testing.F) {
	f.Add(encode(f, &Frame{Kind: Request, ID: 1, Data: []byte("hello"), Total: 5, End: true}))
	f.Add([]byte{0, 0, 0, 3, 0x97, 1, 2})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		var frame Frame
		for {
			err := r.Read(&frame)
			if err == nil {
				require.LessOrEqual(t, len(frame.Data), MaxFrameBytes)
				continue
			}
			var bad *DecodeError
			var size *SizeError
			require.True(t, errors.As(err, &bad) || errors.As(err, &size) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
			return
		}
	})
}
