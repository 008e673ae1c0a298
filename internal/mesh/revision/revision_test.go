package revision

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// source is a RevisionSource whose documents are revision numbers.
type source struct {
	mu      sync.Mutex
	log     []string
	first   int
	down    bool
	hang    bool // calls are accepted and never answered
	calls   int
	changed chan struct{}
}

func newSource() *source { return &source{changed: make(chan struct{})} }

func (s *source) write(doc string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, doc)
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns how many calls were made.
func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// forget trims the log, and writes documents without waking the polls that wait.
func (s *source) forget(docs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = len(s.log) + 1
	s.log = append(s.log, docs...)
}

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *source) Newest(context.Context) (cicadaseam.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return cicadaseam.Document{}, &cicadaseam.UnavailableError{Op: "newest"}
	}
	d := cicadaseam.Document{NextOffset: cicadaseam.Offset(len(s.log))}
	if len(s.log) > 0 {
		d.Data = []byte(s.log[len(s.log)-1])
	}
	return d, nil
}

func (s *source) LongPoll(ctx context.Context, from cicadaseam.Offset, wait time.Duration) (cicadaseam.Document, error) {
	s.mu.Lock()
	s.calls++
	if s.hang {
		s.mu.Unlock()
		<-ctx.Done()
		return cicadaseam.Document{}, &cicadaseam.UnavailableError{Op: "read", Reason: ctx.Err().Error()}
	}
	changed := s.changed
	if int(from) == len(s.log) && !s.down {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	switch {
	case s.down:
		return cicadaseam.Document{}, &cicadaseam.UnavailableError{Op: "read"}
	case int(from) < s.first:
		return cicadaseam.Document{}, &cicadaseam.TrimmedError{}
	case int(from) >= len(s.log):
		return cicadaseam.Document{NextOffset: from}, nil
	}
	return cicadaseam.Document{Data: []byte(s.log[len(s.log)-1]), NextOffset: cicadaseam.Offset(len(s.log))}, nil
}

func (s *source) Decode(data []byte) (*cicadaseam.Revision, error) {
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	r := &cicadaseam.Revision{Number: n, Routes: []cicadaseam.MeshRoute{{
		Name: "r", Host: "a.example", PathPrefix: "/", Timeout: time.Second, TrafficSplit: []cicadaseam.WeightedService{{Service: "s", Weight: 1}},
	}}}
	if n%10 == 9 { // an invalid one
		r.Routes[0].TrafficSplit = nil
	}
	return r, nil
}

func noFetch(context.Context, string, uint64) ([]byte, error) { return nil, errors.New("no peer") }

func TestNeverBackAndNeverInPart(t *testing.T) {
	syncer := New(newSource(), noFetch)
	require.NoError(t, syncer.ApplyDocument([]byte("5")))
	first := syncer.Table()
	require.NoError(t, syncer.ApplyDocument([]byte("3")))
	require.NoError(t, syncer.ApplyDocument([]byte("5")))
	require.Error(t, syncer.ApplyDocument([]byte("19")))
	require.Error(t, syncer.ApplyDocument([]byte("garbage")))
	require.Same(t, first, syncer.Table())
	require.NoError(t, syncer.ApplyDocument([]byte("7")))
	require.Equal(t, uint64(7), syncer.Number())
}

func TestReaderFollowsTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		syncer := New(s, noFetch)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go syncer.Run(ctx)
		time.Sleep(time.Second)
		for n := 1; n <= 8; n++ {
			s.write(strconv.Itoa(n))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(coalesceDelay)
		require.Equal(t, uint64(8), syncer.Number())
		require.Less(t, s.count(), 8) // a quick succession of documents costs fewer polls
		s.forget("12", "13")
		time.Sleep(pollWait + time.Second)
		require.Equal(t, uint64(13), syncer.Number())
	})
}

func TestReaderComesBackAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.write("1")
		syncer := New(s, noFetch)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go syncer.Run(ctx)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(pollWait + time.Second)
		require.True(t, syncer.SourceUnavailable())
		s.write("2")
		s.setDown(false)
		time.Sleep(2 * maxBackoff)
		require.False(t, syncer.SourceUnavailable())
		require.Equal(t, uint64(2), syncer.Number())
	})
}

// A node that the source does not serve gets revisions from other nodes.
func TestNodeThatIsBehindFetchesFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.setDown(true)
		var asked atomic.Value
		other := New(newSource(), noFetch)
		require.NoError(t, other.ApplyDocument([]byte("4")))
		syncer := New(s, func(_ context.Context, addr string, have uint64) ([]byte, error) {
			asked.Store(addr)
			return other.UpdateSince(have)
		})
		go syncer.Run(t.Context())
		time.Sleep(time.Second)
		require.True(t, syncer.SourceUnavailable())
		syncer.ObservePeer(t.Context(), "far", 4, false)
		time.Sleep(time.Millisecond)
		// Without a table and the source, it does not wait for a node of its own zone.
		require.Equal(t, uint64(4), syncer.Number())
		require.NoError(t, other.ApplyDocument([]byte("5")))
		syncer.ObservePeer(t.Context(), "far", 5, false)
		time.Sleep(otherZoneDelay / 2)
		require.Equal(t, uint64(4), syncer.Number())
		syncer.ObservePeer(t.Context(), "near", 5, true)
		time.Sleep(otherZoneDelay)
		require.Equal(t, "near", asked.Load())
		require.Equal(t, uint64(5), syncer.Number())
	})
}

func TestNodeThatIsNoReaderRarelyAsksTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.write("1")
		var reader atomic.Bool
		syncer := New(s, noFetch, WithIsReader(reader.Load))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go syncer.Run(ctx)
		time.Sleep(sourceCheckPeriod + time.Second)
		require.LessOrEqual(t, s.count(), 2)
		reader.Store(true)
		time.Sleep(time.Second)
		s.write("2")
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), syncer.Number())
	})
}

func routeNamed(name string, weight int) cicadaseam.MeshRoute {
	return cicadaseam.MeshRoute{Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Timeout: time.Second, TrafficSplit: []cicadaseam.WeightedService{{Service: "s", Weight: weight}}}
}

func TestDeltasLeadToTheSameRevision(t *testing.T) {
	old := &cicadaseam.Revision{Number: 3, Routes: []cicadaseam.MeshRoute{routeNamed("a", 1), routeNamed("b", 1), routeNamed("c", 1)}}
	next := &cicadaseam.Revision{Number: 8, Limits: cicadaseam.Limits{MaxBodyBytes: 5}, Routes: []cicadaseam.MeshRoute{routeNamed("a", 1), routeNamed("c", 2), routeNamed("d", 1)}}
	d := diff(old, next)
	require.Len(t, d.Changed, 2)
	require.Equal(t, []string{"b"}, d.Removed)
	got, err := d.apply(old)
	require.NoError(t, err)
	require.Equal(t, next.Number, got.Number)
	require.Equal(t, next.Limits, got.Limits)
	require.ElementsMatch(t, next.Routes, got.Routes)
	_, err = d.apply(next)
	var mismatch *BaseMismatchError
	require.ErrorAs(t, err, &mismatch)
}

// A node with a recent revision gets the deltas from that revision. A node without a
// revision, or with a revision that is too old, gets the whole current revision.
func TestUpdateForANodeThatIsBehind(t *testing.T) {
	syncer := New(newSource(), noFetch)
	behind := New(newSource(), noFetch)
	for n := 1; n <= 60; n++ {
		_ = syncer.ApplyDocument([]byte(strconv.Itoa(n))) // each tenth is invalid
		if n == 55 {
			require.NoError(t, behind.ApplyDocument([]byte("55")))
		}
	}
	require.Len(t, syncer.update(55).Deltas, 4)
	require.NotNil(t, syncer.update(0).Full)
	require.NotNil(t, syncer.update(3).Full)
	for _, x := range []*Syncer{behind, New(newSource(), noFetch)} {
		data, err := syncer.UpdateSince(x.Number())
		require.NoError(t, err)
		require.NoError(t, x.applyUpdate(data, "peer"))
		require.Equal(t, uint64(60), x.Number())
		require.Equal(t, syncer.Current(), x.Current())
	}
	require.Error(t, behind.applyUpdate([]byte("garbage"), "peer"))
}

// A poll that the source accepted and will never answer, as when it was silent for a
// moment, must not delay the next document for long.
func TestPollThatIsNeverAnswered(t *testing.T) {
	const bound = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.write("1")
		s.hang = true
		syncer := New(s, noFetch)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go syncer.Run(ctx)
		time.Sleep(time.Second) // the first poll hangs
		s.mu.Lock()
		s.hang = false
		s.mu.Unlock()
		s.write("2")
		time.Sleep(bound)
		require.Equal(t, uint64(2), syncer.Number())
	})
}

func TestSlowSourceIsToldByLargeDocuments(t *testing.T) {
	for _, x := range []struct {
		bytes            int
		took             time.Duration
		slow, conclusive bool
	}{
		{350 << 10, 600 * time.Millisecond, true, true}, // 5 Mbit/s
		{350 << 10, 40 * time.Millisecond, false, true}, // 100 Mbit/s
		{1 << 10, 2 * time.Second, false, false},
		{0, 0, false, false},
	} {
		slow, conclusive := isSlow(x.bytes, x.took)
		require.Equal(t, x.slow, slow, "%d bytes in %s", x.bytes, x.took)
		require.Equal(t, x.conclusive, conclusive, "%d bytes in %s", x.bytes, x.took)
	}
}

// Each document that is large enough decides anew whether the source is slow.
func TestSlowFollowsTheLastTellingDocument(t *testing.T) {
	syncer := New(&source{}, nil)
	for _, x := range []struct {
		d    cicadaseam.Document
		want bool
	}{
		{cicadaseam.Document{TransferSize: 350 << 10, TransferTime: 600 * time.Millisecond}, true},
		{cicadaseam.Document{TransferSize: 100, TransferTime: time.Millisecond}, true},
		{cicadaseam.Document{TransferSize: 350 << 10, TransferTime: 40 * time.Millisecond}, false},
	} {
		syncer.handleDocument(x.d)
		require.Equal(t, x.want, syncer.SourceSlow())
	}
}
