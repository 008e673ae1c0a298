package sidecar

import (
	"strconv"
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
