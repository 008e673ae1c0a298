package ledger

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cicadaseam/cicadaseam"
)

// BenchmarkClaim measures what a shard writer does for a claim that is alone in its
// record: encode, decode and apply the record. System calls are not included.
func BenchmarkClaim(b *testing.B) {
	s := NewShard()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := Key{Timestamp: int64(i + 1)}
		binary.BigEndian.PutUint32(k.Hash[:], uint32(i))
		op := Op{Kind: OpClaim, Key: k, AttemptID: fmt.Sprintf("%032d", i), NodeID: "0123456789abcdef", Addr: "10.0.0.1:7000"}
		apply(b, s, cicadaseam.Offset(i+1), Batch{Ops: []Op{op}})
	}
}
