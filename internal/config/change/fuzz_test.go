package change

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func TestRoundTrip(t *testing.T) {
	c := cicadaseam.Change{ID: "x", Base: 7, Author: "me", Edits: []cicadaseam.Edit{{Path: "scope:*", Key: "retries", Value: "1"}}}
	data, err := Encode(c)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, c, got)
	_, err = Decode(data[:len(data)-3])
	var bad *DecodeError
	require.ErrorAs(t, err, &bad, "a truncated record does not decode")
	_, err = Decode(append([]byte{Format + 1}, data[1:]...))
	var unknown *FormatError
	require.ErrorAs(t, err, &unknown)
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(cicadaseam.Change{ID: "x", Edits: []cicadaseam.Edit{{Path: "scope:*", Key: "k", Value: "v"}}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{Format, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			require.Empty(t, c.ID)
			return
		}
		reencoded, err := Encode(c)
		require.NoError(t, err)
		redecoded, err := Decode(reencoded)
		require.NoError(t, err)
		require.Equal(t, c, redecoded)
	})
}
