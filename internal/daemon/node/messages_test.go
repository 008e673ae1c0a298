package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack/packtest"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/member/announce"
	"github.com/cicadaseam/cicadaseam/internal/member/detect"
)

// Guards against calls, datagrams and records of the log that the nodes of an earlier release cannot
// read, or read as something else, while old and new nodes run side by side.
func TestMessagesMatchTheSamplesOfReleases(t *testing.T) {
	member := cicadaseam.Member{
		ID: "m1", Name: "n1", Addr: "10.1.0.8:7620", Locality: cicadaseam.Locality{Region: "r", Deployment: "d", Zone: "z"}, Incarnation: 3, State: cicadaseam.MemberSuspect,
		Backend: cicadaseam.Backend{Service: "desk", Slots: 6, Connections: 120, State: cicadaseam.BackendDraining},
	}
	headers := []cicadaseam.Header{{Name: "Accept", Value: "*/*"}}
	for name, message := range map[string]any{
		"call": &cicadaseam.Call{
			ID: "c1", AttemptID: "a1", Service: "desk", Route: "r", Class: "passenger", Priority: 2, Method: "POST", RequestURI: "/a?b=c", Headers: headers, Body: []byte("body"), Timeout: time.Second,
			Idempotent: true, IdempotencyKey: "k", Customer: "w", Depth: 2, Fingerprint: 1 << 60,
		},
		"answer": &cicadaseam.Answer{
			Outcome: cicadaseam.OutcomeRan, Status: 200, Headers: headers, Body: []byte("done"), Reason: cicadaseam.ReasonQueueFull, RetryAfter: time.Second,
			Load: cicadaseam.Load{InFlight: 5, Limit: 6, Queued: 2, MinPriority: 1}, Replayed: true,
		},
		"members": &[]cicadaseam.Member{member},
		"status":  &statusMessage{Position: 17, Version: 12},
		"records": &[]cicadaseam.Record{{Offset: 17, Data: []byte("record")}},
	} {
		t.Run(name, func(t *testing.T) { packtest.Check(t, name, message) })
	}
	packet := &detect.Packet{
		Kind: detect.Gossip, Seq: 9, From: "m1", FromAddr: "10.1.0.8:7620", To: "m2", ProbeAddr: "10.1.0.9:7620", ConfigStatus: cicadaseam.ConfigStatus{Latest: 17, Age: time.Second, Applied: 16, Digest: 1 << 60},
		ZoneDigests: []detect.ZoneDigest{{Zone: "z", Digest: 5}}, Updates: []cicadaseam.Member{member}, Marks: []cicadaseam.CrashMark{{Fingerprint: 1 << 60, CrashID: "n1-2", Cleared: true}},
	}
	data, err := detect.Encode(packet)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "packet", data, func(sample []byte) {
		got, err := detect.Decode(sample)
		require.NoError(t, err)
		require.Equal(t, packet, got)
	})
	batch := &ledger.Batch{ExpiredThrough: 1700000000000, MaxTimestamp: 1700000000001, ReadThrough: 17, Ops: []ledger.Op{{Kind: ledger.OpClaim, Key: ledger.Key{Hash: [16]byte{1, 2}, Timestamp: 1700000000002}, AttemptID: "a1", NodeID: "m1", Addr: "10.1.0.8:7620", Fingerprint: 1 << 60}}}
	data, err = ledger.Encode(batch)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "ledger", data, func(sample []byte) {
		got, err := ledger.Decode(sample)
		require.NoError(t, err)
		require.Equal(t, batch, got)
	})
	announcement := announce.Announcement{ID: "m1", Addr: "10.1.0.8:7620", Zone: "z"}
	data, err = announce.Encode(announcement)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "announcement", data, func(sample []byte) {
		got, ok := announce.Decode(sample)
		require.True(t, ok)
		require.Equal(t, announcement, got)
	})
	edits := cicadaseam.Change{ID: "the-tree", Base: 16, Author: "examples", Edits: []cicadaseam.Edit{{Path: "route:status", Key: "prefix", Value: "/status/"}, {Path: "route:old", Delete: true}}}
	data, err = change.Encode(edits)
	require.NoError(t, err)
	packtest.CheckEncoded(t, "change", data, func(sample []byte) {
		got, err := change.Decode(sample)
		require.NoError(t, err)
		require.Equal(t, edits, got)
	})
}
