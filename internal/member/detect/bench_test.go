package detect

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// BenchmarkPeriod is the work of one node in one period: its ticks, a probe
// that it answers and the answer to its own, with a change of one member.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{90, 180, 360, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(&testing.T{}, n, 1)
			p, other := c.nodes[0], c.nodes[1]
			member := c.nodes[2].d.Self()
			now := c.now
			for b.Loop() {
				member.Incarnation++
				for range ticksAPeriod {
					now = now.Add(tickStep)
					p.d.Tick(now)
					p.d.Gossip()
				}
				ping := &Packet{Kind: Ping, From: other.d.Self().ID, FromAddr: other.addr, To: p.d.Self().ID, Updates: []cicadaseam.Member{member}}
				data, err := Encode(ping)
				if err != nil {
					b.Fatal(err)
				}
				for range 2 {
					decoded, err := Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					p.d.Receive(now, decoded)
				}
			}
		})
	}
}

const ticksAPeriod = int(time.Second / tickStep)
