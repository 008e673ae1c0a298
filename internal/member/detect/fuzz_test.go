package detect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func FuzzDecode(f *testing.F) {
	data, err := Encode(&Packet{Kind: Ping, From: "a", Updates: []cicadaseam.Member{{ID: "b", Addr: "10.0.0.1:1"}}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{Format, 0x9b})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		if err != nil {
			return
		}
		d := New(cicadaseam.Member{ID: "self", Addr: "10.0.0.9:1"}, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		d.Receive(now, p)
		d.Tick(now.Add(time.Second))
		require.Equal(t, "self", d.Self().ID)
	})
}
