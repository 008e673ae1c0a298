package revision

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// revisionOf returns a revision with customers, or none, that is keyed or not.
func revisionOf(n uint64, keyed bool, customers ...string) *cicadaseam.Revision {
	r := &cicadaseam.Revision{RevisionID: numbered(n), Routes: []cicadaseam.MeshRoute{routeNamed("a", 1)}, Keyed: keyed}
	for i, name := range customers {
		r.Customers = append(r.Customers, cicadaseam.Customer{Name: name, KeyHashes: []cicadaseam.KeyHash{{byte(i), 1}}})
	}
	return r
}

// send applies the update that one syncer has for another one. An earlier release does not tell which
// revisions are keyed.
func send(t *testing.T, from, to *Syncer, earlierRelease bool) error {
	from.mu.Lock()
	u := from.update(to.ID())
	from.mu.Unlock()
	u.untold = u.untold || earlierRelease
	data, err := u.encode()
	require.NoError(t, err)
	return to.applyUpdate(data, "peer")
}

// Guards against a revision without customers that opens all routes, because its way to a node loses
// that its list of customers is empty: as a whole, as a delta, or through a node in between.
func TestEmptyListOfCustomersReachesEachNode(t *testing.T) {
	whole, later := New(newSource(), noFetch), New(newSource(), noFetch)
	steps := []*cicadaseam.Revision{revisionOf(1, false), revisionOf(2, true), revisionOf(3, true, "c1", "c2"), revisionOf(4, true), revisionOf(5, false), revisionOf(6, true)}
	for _, r := range steps {
		source, between := New(newSource(), noFetch), New(newSource(), noFetch)
		require.NoError(t, whole.applyRevision(arrival{Revision: r, from: fromSource}))
		require.NoError(t, send(t, whole, later, false))
		require.NoError(t, source.applyRevision(arrival{Revision: r, from: fromSource}))
		require.NoError(t, send(t, source, between, false))
		for _, s := range []*Syncer{whole, later, between} {
			require.Equal(t, r.Keyed, s.Table().IsKeyed(), "revision %d", r.Number)
			require.Equal(t, r.Keyed, s.Current().Keyed, "revision %d", r.Number)
		}
	}
	require.NotEmpty(t, later.update(numbered(1)).Deltas)
}

// Guards against two revisions under one number that count as equal though one of them is keyed.
func TestKeyedIsPartOfTheContent(t *testing.T) {
	require.False(t, sameContent(revisionOf(4, false), revisionOf(4, true)))
}

// Guards against open routes where a node of an earlier release does not tell whether a revision is
// keyed: the last customer that leaves leaves them closed.
func TestNodeOfAnEarlierReleaseDoesNotOpenRoutes(t *testing.T) {
	old, node := New(newSource(), noFetch), New(newSource(), noFetch)
	require.NoError(t, old.applyRevision(arrival{Revision: revisionOf(3, true, "c1")}))
	require.NoError(t, send(t, old, node, true), "a revision with customers is keyed")
	require.True(t, node.Table().IsKeyed())
	require.NoError(t, old.applyRevision(arrival{Revision: revisionOf(4, true)}))
	require.NoError(t, send(t, old, node, true))
	require.Equal(t, uint64(4), node.Number())
	require.True(t, node.Table().IsKeyed())
	next := New(newSource(), noFetch, WithKeysExpected(true))
	require.NoError(t, next.applyRevision(arrival{Revision: revisionOf(3, false)}))
	require.NoError(t, send(t, node, next, false))
	require.True(t, next.keyedAssumed, "what is assumed is not told on")
}

// Guards against a started node that takes the word of a node of an earlier release while the source
// can tell, and against one that keeps what it assumed.
func TestStartedNodeLearnsFromTheSourceWhetherARevisionIsKeyed(t *testing.T) {
	for _, expected := range []bool{false, true} {
		old, node := New(newSource(), noFetch), New(newSource(), noFetch, WithKeysExpected(expected))
		require.NoError(t, old.applyRevision(arrival{Revision: revisionOf(4, !expected)}))
		var untold *UntoldKeysError
		require.ErrorAs(t, send(t, old, node, true), &untold)
		require.Nil(t, node.Table())
		node.sourceUnavailable.Store(true)
		require.NoError(t, send(t, old, node, true))
		require.Equal(t, expected, node.Table().IsKeyed(), "what is expected where nothing tells")
		confirmed := New(newSource(), noFetch, WithKeysExpected(expected))
		confirmed.sourceUnavailable.Store(true)
		require.NoError(t, send(t, old, confirmed, true))
		require.NoError(t, confirmed.applyRevision(arrival{Revision: revisionOf(4, expected), from: fromSource}))
		require.False(t, confirmed.keyedAssumed, "the source tells the same")
		require.NoError(t, node.applyRevision(arrival{Revision: revisionOf(4, !expected), from: fromSource}))
		require.Equal(t, !expected, node.Table().IsKeyed())
		require.False(t, node.keyedAssumed)
	}
}
