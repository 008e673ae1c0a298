package snapshot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// BenchmarkEncode measures the encoding of a snapshot, which its writer does every 10
// minutes or 256 records. The tree has 19 services with settings for each in 10 zones;
// the state holds the decisions on the last 1,700 changes.
func BenchmarkEncode(b *testing.B) {
	s := fold.State{Position: 5000, Version: 5000, Digest: 7, Objects: map[string]tree.Object{}, Changed: map[string]cicadaseam.Offset{}}
	for service := range 19 {
		for zone := range 10 {
			path := fmt.Sprintf("scope:deployment/zone-%d/service-%d", zone, service)
			s.Objects[path] = tree.Object{"deadline": "1s", "retries": "2", "queue-wait": "100ms", "objective": "0.999"}
			for key := range s.Objects[path] {
				s.Changed[path+"\x00"+key] = 4000
			}
		}
	}
	for i := range 1700 {
		s.Decisions = append(s.Decisions, cicadaseam.Decision{ID: fmt.Sprintf("%036d", i), Version: cicadaseam.Offset(i), Verdict: cicadaseam.VerdictAccepted})
	}
	var data []byte
	var err error
	for b.Loop() {
		data, err = Encode(s)
	}
	require.NoError(b, err)
	b.ReportMetric(float64(len(data)), "bytes")
}
