package view

import (
	"fmt"
	"testing"

	"github.com/cicadaseam/cicadaseam"
)

// BenchmarkChange measures the cost of one change of membership for a node: a new view, and the
// rank of the node in its zone.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{90, 180, 360, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members []Peer
			for i := range n {
				members = append(members, Peer{Member: cicadaseam.Member{
					ID: fmt.Sprintf("%016x", i), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
					Locality: cicadaseam.Locality{Zone: fmt.Sprintf("zone-%d", i%10)},
					Backend:  cicadaseam.Backend{Service: fmt.Sprintf("service-%d", i%19), Slots: 20, State: cicadaseam.BackendReady},
				}})
			}
			b.ReportAllocs()
			for b.Loop() {
				v := New(members[0].Member, members[1:])
				RendezvousRank("reader zone-0", v.Live("zone-0"), v.Self.ID)
			}
		})
	}
}
