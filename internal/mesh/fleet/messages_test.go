package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/pack/packtest"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
)

// sampleHeartbeat has a value in each field.
func sampleHeartbeat() Heartbeat {
	return Heartbeat{
		Node: "n1", Addr: "10.1.0.8:7620", Zone: "z1", Epoch: 1700000000000000000, Sequence: 12, Revision: 40, Written: cicadaseam.Position{Epoch: 3, Offset: 17}, SourceEpoch: 3,
		Leaving: true, SourceUnavailable: true, SourceSlow: true, Service: "desk", Instance: "i-1", Serving: true,
		Load:     cicadaseam.MeshLoad{InFlight: 5, Queued: 2, Slots: 6, LatencyPermille: 410, FailurePermille: 30, RateLimit: &cicadaseam.MeshRateLimit{Interval: 50 * time.Millisecond, Wait: 70 * time.Millisecond}},
		Departed: []cicadaseam.Departure{{ID: "i-0", StartUnixMilli: 1700000000000}}, Marks: []cicadaseam.CrashMark{{Fingerprint: 1 << 60, CrashID: "n1-2", Cleared: true}},
		SentAt: time.Hour, Relays: true, Known: true,
		Rollout: &rollout.Report{Sequence: 3, Version: "v2", Evidence: rollout.Counts{"r": {Responses: 7, Failures: 1}}},
	}
}

// Guards against datagrams that the nodes of an earlier release drop, or read as something else.
func TestDatagramsMatchTheSamplesOfReleases(t *testing.T) {
	hb := sampleHeartbeat()
	f, _ := newFleet()
	full, err := encode(hb, true)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "heartbeat", full, func(sample []byte) {
		got, ok := f.decode(sample)
		require.True(t, ok)
		require.Equal(t, hb, got)
	})
	f.HandleHeartbeat(f.now(), hb)
	compact, err := encode(hb, false)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "heartbeat-compact", compact, func(sample []byte) {
		got, ok := f.decode(sample)
		require.True(t, ok)
		require.Equal(t, hb.Load, got.Load)
		require.Equal(t, hb.Sequence, got.Sequence)
	})
	batch, err := batches([][]byte{full, compact})
	require.NoError(t, err)
	packtest.CheckEncoded(t, "batch", batch[0], func(sample []byte) { require.Equal(t, [][]byte{full, compact}, f.unwrap(sample)) })
	packtest.Check(t, "query", &query{Addr: "10.1.0.8:7620", SenderIDs: []uint64{1 << 60, 2}})
}

// Guards against a heartbeat of a later release that this one drops: it may have further fields in
// its extension.
func TestLaterExtensionsAreSkipped(t *testing.T) {
	hb := sampleHeartbeat()
	body, err := pack.Marshal(&hb)
	require.NoError(t, err)
	later := struct {
		Rollout *rollout.Report `msgpack:"r"`
		Build   string          `msgpack:"b"`
		Later   []int           `msgpack:"later"`
	}{hb.Rollout, "1234567", []int{1, 2}}
	data, err := pack.AppendExtension(append([]byte{FormatFull}, body...), &later)
	require.NoError(t, err)
	f, _ := newFleet()
	got, ok := f.decode(data)
	require.True(t, ok)
	hb.Build = "1234567"
	require.Equal(t, hb, got)
}

// Guards against a datagram of another release, or a damaged one, that stops the receiver or is
// taken for a heartbeat of nobody.
func FuzzDatagram(f *testing.F) {
	hb := sampleHeartbeat()
	full, err := encode(hb, true)
	require.NoError(f, err)
	compact, err := encode(hb, false)
	require.NoError(f, err)
	for _, data := range [][]byte{full, compact, append([]byte{FormatRelay}, full...), append([]byte{FormatQuery}, 0x92), {FormatBatch, 0x91, 0xc4, 0x01, FormatFull}, {FormatQuery + 1, 1, 2}, append(full, 0xc1)} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fl, _ := newFleet()
		for _, message := range fl.unwrap(data) {
			if got, ok := fl.decode(message); ok && (got.Addr == "" || got.Node == "") {
				t.Fatalf("a heartbeat of nobody: %+v", got)
			}
		}
	})
}
