package snapshot

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

func state() fold.State {
	return fold.State{
		Position: 9, Version: 8, Digest: 7,
		Objects:   map[string]tree.Object{"service:a": {"owner": "x"}, "route:r": {"prefix": "/", "service": "a"}},
		Changed:   map[string]cicadaseam.Offset{"service:a\x00owner": 3},
		Decisions: []cicadaseam.Decision{{ID: "x", Version: 8, Verdict: cicadaseam.VerdictAccepted}},
	}
}

// A corrupt byte either makes the decoding fail or leaves the state unchanged.
func TestRoundTripAndCorruption(t *testing.T) {
	data, err := Encode(state())
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, state(), got)
	for i := 1; i < len(data); i++ {
		corrupt := append([]byte(nil), data...)
		corrupt[i] ^= 0x40
		if got, err := Decode(corrupt); err == nil {
			require.Equal(t, state(), got, "corruption of byte %d is not detected", i)
		}
	}
	_, err = Decode(append([]byte{Format + 1}, data[1:]...))
	var unknown *change.FormatError
	require.ErrorAs(t, err, &unknown)
}

func TestDanglingRouteIsRefused(t *testing.T) {
	s := state()
	delete(s.Objects, "service:a")
	data, err := Encode(s)
	require.NoError(t, err)
	_, err = Decode(data)
	require.ErrorContains(t, err, `there is no service "a"`)
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(state())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{Format})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err == nil {
			require.Empty(t, tree.FromObjects(s.Objects).Validate())
		}
	})
}
