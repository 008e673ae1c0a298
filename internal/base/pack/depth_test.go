package pack

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

type numbered struct{ Number int64 }

type named struct {
	Name string `msgpack:"n"`
}

// Guards against a message with a field that this release does not know, nested so deep that to skip
// it takes more memory than a machine has.
func TestDeeplyNestedMessageIsRejected(t *testing.T) {
	deep := append([]byte{0x81, 0xa1, 'x'}, append(bytes.Repeat([]byte{0x91}, 1<<20), 0xc0)...)
	var depth *DepthError
	var m numbered
	require.ErrorAs(t, Unmarshal(deep, &m), &depth)
	require.ErrorAs(t, Unmarshal(append(deep, make([]byte, largeMessage)...), &m), &depth)
	data, err := Marshal(&numbered{7})
	require.NoError(t, err)
	err = UnmarshalExtended(append(data, deep...), &m, &named{})
	require.True(t, errors.Is(err, ErrExtension))
	require.Equal(t, numbered{7}, m, "the message itself counts")
}

// drawValue returns a value that is nested up to a depth.
func drawValue(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 8).Draw(t, "kind")
	if depth == 0 {
		kind %= 6
	}
	switch kind {
	case 0:
		return rapid.Int64().Draw(t, "int")
	case 1:
		return rapid.Uint64().Draw(t, "uint")
	case 2:
		return rapid.Float64().Draw(t, "float")
	case 3:
		return make([]byte, rapid.SampledFrom([]int{0, 31, 255, 256, 65535, 65536}).Draw(t, "bytes"))
	case 4:
		return string(make([]byte, rapid.SampledFrom([]int{0, 31, 32, 256, 65536}).Draw(t, "text")))
	case 5:
		return rapid.Bool().Draw(t, "bool")
	case 6:
		return map[string]any{"a": drawValue(t, depth-1), "b": drawValue(t, depth-1)}
	}
	list := make([]any, rapid.SampledFrom([]int{0, 1, 3, 16, 20}).Draw(t, "length"))
	for i := range list {
		list[i] = i
	}
	return append(list, drawValue(t, depth-1))
}

// Guards against messages that are rejected though they are not nested deep, and the reverse: a value
// in lists in each other is accepted up to the limit, whatever stands beside it.
func TestDepthIsThatOfTheDeepestValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		beside := drawValue(t, 3)
		lists := rapid.IntRange(1, 2*maxDepth).Draw(t, "lists")
		var v any = []any{}
		for range lists {
			v = []any{beside, v}
		}
		data, err := msgpack.Marshal(v)
		require.NoError(t, err)
		if lists <= maxDepth-3 {
			require.NoError(t, checkDepth(data))
		}
		if lists > maxDepth {
			require.Error(t, checkDepth(data))
		}
	})
}

// Guards against messages that end the check or keep it from ending.
func FuzzCheckDepth(f *testing.F) {
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xdf, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) { _ = checkDepth(data) })
}
