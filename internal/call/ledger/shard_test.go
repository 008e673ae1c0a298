package ledger

import (
	"encoding/binary"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadaseam/cicadaseam"
)

func init() {
	// A fixed seed makes the runs reproducible.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

func key(n byte, timestamp int64) Key { return Key{Hash: [16]byte{n}, Timestamp: timestamp} }

func claim(k Key, id string) Op { return Op{Kind: OpClaim, Key: k, AttemptID: id, NodeID: "n"} }

func void(k Key, id string) Op { return Op{Kind: OpVoid, Key: k, AttemptID: id} }

func apply(t require.TestingT, s *Shard, at cicadaseam.Offset, b Batch) {
	data, err := Encode(&b)
	require.NoError(t, err)
	require.NoError(t, s.Apply(cicadaseam.Record{Offset: at, Data: data}))
}

func TestFirstClaimWinsUntilVoid(t *testing.T) {
	s := NewShard()
	k := key(1, 100)
	apply(t, s, 1, Batch{Ops: []Op{claim(k, "a"), claim(k, "b")}})
	require.Equal(t, "a", s.Lookup(k).AttemptID)
	apply(t, s, 2, Batch{Ops: []Op{claim(k, "a")}})
	require.Equal(t, "a", s.Lookup(k).AttemptID, "applying a claim twice changes nothing")
	apply(t, s, 3, Batch{Ops: []Op{void(k, "b")}})
	require.Equal(t, "a", s.Lookup(k).AttemptID, "a void concerns one attempt only")
	apply(t, s, 4, Batch{Ops: []Op{void(k, "a"), claim(k, "c")}})
	require.Equal(t, "c", s.Lookup(k).AttemptID)
	apply(t, s, 5, Batch{Ops: []Op{claim(k, "a"), void(k, "c"), claim(k, "a"), claim(k, "b")}})
	require.Nil(t, s.Lookup(k), "an attempt that was voided never wins")
}

func TestParseKey(t *testing.T) {
	now := time.Now()
	v7, err := uuid.NewV7()
	require.NoError(t, err)
	k, err := ParseKey("c", "s", v7.String(), now)
	require.NoError(t, err)
	require.InDelta(t, now.UnixMilli(), k.Timestamp, 1000)
	other, err := ParseKey("d", "s", v7.String(), now)
	require.NoError(t, err)
	require.NotEqual(t, k.Hash, other.Hash, "two customers have different keys for the same text")
	for text, reason := range map[string]string{
		"abc": "is not a UUID of version 7", uuid.NewString(): "is not a UUID of version 7",
	} {
		_, err := ParseKey("c", "s", text, now)
		var bad *KeyError
		require.ErrorAs(t, err, &bad)
		require.Contains(t, err.Error(), reason)
	}
	_, err = ParseKey("c", "s", v7.String(), now.Add(-time.Hour))
	require.ErrorContains(t, err, "was made in the future")
}

// Each writer has read only a prefix of the stream, and a reader finds the beginning of
// the stream trimmed. A key that is held in the complete stream is never free for the
// reader.
func TestTrimmedReaderNeverFreesAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "records")
		complete := NewShard()
		var stream []cicadaseam.Record
		for at := cicadaseam.Offset(1); int(at) <= n; at++ {
			// The writer of this record has read only a prefix of the stream.
			readThrough := cicadaseam.Offset(rapid.IntRange(0, int(at)-1).Draw(t, "seen"))
			writer := NewShard()
			for _, r := range stream[:readThrough] {
				require.NoError(t, writer.Apply(r))
			}
			b := Batch{MaxTimestamp: max(writer.MaxTimestamp(), writer.ExpiredThrough()), ReadThrough: readThrough}
			for range rapid.IntRange(0, 3).Draw(t, "ops") {
				k := key(byte(rapid.IntRange(1, 12).Draw(t, "key")), 0)
				k.Timestamp = 1000 + int64(k.Hash[0])*10
				b.Ops = append(b.Ops, claim(k, fmt.Sprint(at)))
			}
			data, err := Encode(&b)
			require.NoError(t, err)
			r := cicadaseam.Record{Offset: at, Data: data}
			stream = append(stream, r)
			require.NoError(t, complete.Apply(r))
		}
		first := rapid.IntRange(1, n).Draw(t, "trimmed")
		trimmed := NewShard()
		trimmed.ResetTrimmed(cicadaseam.Offset(first+1), 1_000_000)
		for _, r := range stream[first:] {
			require.NoError(t, trimmed.Apply(r))
		}
		for i := byte(1); i <= 12; i++ {
			k := key(i, 1000+int64(i)*10)
			if complete.Lookup(k) == nil {
				continue
			}
			free := !trimmed.Expired(k) && trimmed.Lookup(k) == nil
			require.False(t, free, "key %d is held in the complete stream and free in the trimmed one", i)
		}
	})
}

// The keys of one of the 8 shards, for a key lifetime of 12 hours and 10 requests with a
// key a second, take at most half of the 64 MB that the control plane of a node may use.
func TestMemoryOfAWindow(t *testing.T) {
	const keys = 10 * 12 * 3600 / NumShards
	var before, after runtime.MemStats
	s := NewShard()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range keys {
		k := Key{Timestamp: int64(i + 1)}
		binary.BigEndian.PutUint32(k.Hash[:], uint32(i))
		apply(t, s, cicadaseam.Offset(i+1), Batch{Ops: []Op{{Kind: OpClaim, Key: k, AttemptID: fmt.Sprintf("%032d", i), NodeID: fmt.Sprintf("%016d", i%720), Addr: "10.0.0.1:7000"}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d keys: %.1f MB, %d bytes a key", s.Len(), float64(used)/(1<<20), used/int64(s.Len()))
	require.Equal(t, keys, s.Len())
	const maxControlBytes = 64 << 20 // bytes
	require.LessOrEqual(t, used, int64(maxControlBytes/2))
	runtime.KeepAlive(s)
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(&Batch{Ops: []Op{claim(key(1, 5), "a")}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{Format, 0x94})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewShard()
		if err := s.Apply(cicadaseam.Record{Offset: 1, Data: data}); err != nil {
			require.Zero(t, s.LastOffset())
			return
		}
		require.Equal(t, cicadaseam.Offset(1), s.LastOffset())
	})
}
