package sidecar

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// Guards against a node that tells others, as those of its own server, the departures at other nodes,
// which then push out those that it needs after its next start.
func TestDeparturesAtOtherNodesAreNotTakenForOwnOnes(t *testing.T) {
	n := newTestNode(t)
	own, err := n.departureEntry(cicadaseam.Departure{ID: "own", StartUnixMilli: 100})
	require.NoError(t, err)
	other := newTestNode(t)
	other.settings.Advertise = "10.0.0.2:7620"
	var entries []cicadaseam.DirectoryEntry
	for i := range 100 {
		d := cicadaseam.Departure{ID: "other-" + strconv.Itoa(i), StartUnixMilli: 200}
		entry, err := other.departureEntry(d)
		require.NoError(t, err)
		earlier, err := pack.Marshal(&departureRecord{StartUnixMilli: 200}) // by an earlier release
		require.NoError(t, err)
		entries = append(entries, entry, cicadaseam.DirectoryEntry{Key: departedPrefix + "earlier-" + strconv.Itoa(i), Value: earlier})
	}
	n.applyDirectory(append(entries, own))
	require.Equal(t, []cicadaseam.Departure{{ID: "own", StartUnixMilli: 100}}, n.target.Departed())
	n.target.Announce(time.Now(), cicadaseam.Instance{ID: "earlier-7", Service: "s", Slots: 1, Sequence: 9, StartUnixMilli: 200, State: cicadaseam.BackendReady})
	_, serving := n.target.Instance(time.Now())
	require.False(t, serving, "it may have been here")
}

// Guards against records of another writer that count as nodes: heartbeats are sent to them, and a part
// of what the fleet may do is set aside for them.
func TestRecordsThatNoNodeWritesAreSkipped(t *testing.T) {
	n := newTestNode(t)
	var entries []cicadaseam.DirectoryEntry
	for i, addr := range []string{"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:http", "[::1", ":7000",
		strings.Repeat("a", 300) + ":7000", "127.0.0.7:7000", "[::7]:7000", "node-7.example:7000"} {
		value, err := pack.Marshal(&nodeRecord{Addr: addr, Zone: "z"})
		require.NoError(t, err)
		entries = append(entries, cicadaseam.DirectoryEntry{Key: nodePrefix + strconv.Itoa(i), Value: value})
	}
	n.applyDirectory(entries)
	require.Equal(t, 1+3, n.fleet.Size(), "this node and the last three")
}
