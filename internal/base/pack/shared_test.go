package pack

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

type call struct {
	ID      string
	Headers []named
	Body    []byte
	Number  int64
}

// Guards against messages that differ when their bytes are not copied, from those of a release that
// copies them.
func TestPartsAreTheEncodedMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := []int{0, 1, 255, 256, sharedBytes - 1, sharedBytes, sharedBytes + 1, 300_000}
		message := call{
			ID:      string(make([]byte, rapid.SampledFrom(sizes).Draw(t, "id"))),
			Headers: make([]named, rapid.SampledFrom([]int{0, 3, 40}).Draw(t, "headers")),
			Body:    bytes.Repeat([]byte{7}, rapid.SampledFrom(sizes).Draw(t, "body")),
			Number:  rapid.Int64().Draw(t, "number"),
		}
		copied, err := Marshal(&message)
		require.NoError(t, err)
		parts, err := MarshalParts(&message)
		require.NoError(t, err)
		require.Equal(t, copied, slices.Concat(parts...))
		var got, want call
		require.NoError(t, Unmarshal(copied, &want))
		require.NoError(t, UnmarshalShared(copied, &got, &got.Body))
		require.Equal(t, want, got)
	})
}

// Guards against a second and third copy of a large body in a process with little memory.
func TestLongBytesAreNotCopied(t *testing.T) {
	message := call{ID: "a", Body: make([]byte, 1<<20)}
	parts, err := MarshalParts(&message)
	require.NoError(t, err)
	require.Same(t, &message.Body[0], &parts[1][0])
	data := slices.Concat(parts...)
	var got call
	require.NoError(t, UnmarshalShared(data, &got, &got.Body))
	require.Same(t, &data[len(parts[0])], &got.Body[0])
	require.Equal(t, len(got.Body), cap(got.Body), "what is appended does not change the payload")
}

// FuzzUnmarshalShared checks that data is accepted only if a decoder that copies accepts it.
func FuzzUnmarshalShared(f *testing.F) {
	for _, size := range []int{3, sharedBytes, 2 * sharedBytes} {
		data, err := msgpack.Marshal([]any{"id", []any{}, make([]byte, size), 7})
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var copied, shared call
		err := UnmarshalShared(data, &shared, &shared.Body)
		if errCopied := Unmarshal(data, &copied); errCopied == nil {
			require.NoError(t, err)
			require.Equal(t, copied, shared)
		}
	})
}
