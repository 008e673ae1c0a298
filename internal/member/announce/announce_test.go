package announce

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	data, err := Encode(Announcement{ID: "a", Addr: "10.0.0.1:7000", Zone: "z"})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{Format, 0x83})
	f.Fuzz(func(t *testing.T, data []byte) {
		announcement, ok := Decode(data)
		if ok {
			require.NotEmpty(t, announcement.Addr)
		}
	})
}
