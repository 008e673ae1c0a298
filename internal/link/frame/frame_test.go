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

func TestSplitMessage(t *testing.T) {
	data := bytes.Repeat([]byte("seam"), MaxChunkBytes)
	r := NewReader(bytes.NewReader(encode(t, Split(Request, 7, 1, data)...)))
	var a Assembler
	var f Frame
	for {
		require.NoError(t, r.Read(&f))
		complete, err := a.Add(&f)
		require.NoError(t, err)
		if complete {
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
		var decodeErr *DecodeError
		require.ErrorAs(t, err, &decodeErr, "cut after %d bytes", cut)
	}
}

func TestFramesOutOfOrder(t *testing.T) {
	frames := Split(Response, 3, 0, make([]byte, 3*MaxChunkBytes))
	cases := map[string][]*Frame{
		"duplicated":    {frames[0], frames[0]},
		"missing":       {frames[0], frames[2]},
		"first missing": {frames[1]},
	}
	for name, input := range cases {
		var a Assembler
		var err error
		for _, f := range input {
			if _, err = a.Add(f); err != nil {
				break
			}
		}
		var sequenceErr *SequenceError
		require.ErrorAs(t, err, &sequenceErr, name)
	}
	var a Assembler
	_, err := a.Add(&Frame{ID: 1, Total: 4, Data: []byte("abc"), End: true})
	var lengthErr *LengthError
	require.ErrorAs(t, err, &lengthErr, "the last frame came before the message was complete")
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
			var decodeErr *DecodeError
			var sizeErr *SizeError
			require.True(t, errors.As(err, &decodeErr) || errors.As(err, &sizeErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
			return
		}
	})
}

// Guards against data that is lost, doubled or copied where the parts of a message meet.
func TestPartsAreSplitLikeOneMessage(t *testing.T) {
	long := bytes.Repeat([]byte("seam"), MaxChunkBytes)
	for _, parts := range [][][]byte{nil, {nil}, {{1}, nil, {2}}, {{1, 2}, long, {3}}, {long, long}, {long, nil}, {nil, long, long[:1], long[:MaxChunkBytes]}} {
		want := Split(Response, 3, 1, bytes.Join(parts, nil))
		got := Split(Response, 3, 1, parts...)
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i].Seq, got[i].Seq)
			require.Equal(t, want[i].End, got[i].End)
			require.Equal(t, want[i].Total, got[i].Total)
			require.True(t, bytes.Equal(want[i].Data, got[i].Data), "frame %d", i)
		}
	}
	require.Same(t, &long[MaxChunkBytes-2], &Split(Response, 3, 1, []byte{1, 2}, long)[1].Data[0])
}
