package detect

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// BenchmarkPeriod measures the work of one node in one probe period, with a change of one member:
// its ticks and two received packets, which stand for a probe that it answers and the answer to its
// own.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{90, 180, 360, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(&testing.T{}, n, 1)
			p, other := c.nodes[0], c.nodes[1]
			member := c.nodes[2].detector.Self()
			now := c.now
			for b.Loop() {
				member.Incarnation++
				for range ticksPerPeriod {
					now = now.Add(tickStep)
					p.detector.Tick(now)
					p.detector.Gossip()
				}
				ping := &Packet{Kind: Ping, From: other.detector.Self().ID, FromAddr: other.addr, To: p.detector.Self().ID, Updates: []cicadaseam.Member{member}}
				data, err := Encode(ping)
				if err != nil {
					b.Fatal(err)
				}
				for range 2 {
					decoded, err := Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					p.detector.Receive(now, decoded)
				}
			}
		})
	}
}

const ticksPerPeriod = int(time.Second / tickStep)
