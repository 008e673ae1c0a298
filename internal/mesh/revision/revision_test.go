package revision

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// source is a RevisionSource. Its documents are revision numbers, with a letter if the contents
// differ, or empty for a record that is no revision.
type source struct {
	mu      sync.Mutex
	epoch   uint64
	log     []string
	first   int
	down    bool
	hang    bool // calls are accepted and never answered
	calls   int
	changed chan struct{}
}

func newSource() *source { return &source{epoch: 1, changed: make(chan struct{})} }

func (s *source) write(doc string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, doc)
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore drops the records from an offset on, as a copy from before them does. It wakes no poll
// that waits.
func (s *source) restore(offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.log = s.log[:offset]
}

// document returns the last revision from an offset on. The lock is held.
func (s *source) document(from int) cicadaseam.Document {
	d := cicadaseam.Document{Next: cicadaseam.Position{Epoch: s.epoch, Offset: cicadaseam.Offset(len(s.log))}}
	for i := from; i < len(s.log); i++ {
		if s.log[i] != "" {
			d.Data, d.Written = []byte(s.log[i]), cicadaseam.Position{Epoch: s.epoch, Offset: cicadaseam.Offset(i)}
		}
	}
	return d
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
	return s.document(0), nil
}

func (s *source) LongPoll(ctx context.Context, from cicadaseam.Position, wait time.Duration) (cicadaseam.Document, error) {
	s.mu.Lock()
	s.calls++
	if s.hang {
		s.mu.Unlock()
		<-ctx.Done()
		return cicadaseam.Document{}, &cicadaseam.UnavailableError{Op: "read", Reason: ctx.Err().Error()}
	}
	changed := s.changed
	if int(from.Offset) == len(s.log) && !s.down {
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
	case int(from.Offset) < s.first || int(from.Offset) > len(s.log):
		return cicadaseam.Document{}, &cicadaseam.TrimmedError{}
	}
	return s.document(int(from.Offset)), nil
}

func (s *source) Decode(d cicadaseam.Document) (*cicadaseam.Revision, error) {
	digits := strings.TrimRight(string(d.Data), "abc")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return nil, err
	}
	service := "s" + strings.TrimPrefix(string(d.Data), digits)
	r := &cicadaseam.Revision{RevisionID: cicadaseam.RevisionID{Number: n, Written: d.Written}, Routes: []cicadaseam.MeshRoute{{
		Name: "r", Host: "a.example", PathPrefix: "/", Timeout: time.Second, TrafficSplit: []cicadaseam.WeightedService{{Service: service, Weight: 1}},
	}}}
	if n%10 == 9 { // an invalid one
		r.Routes[0].TrafficSplit = nil
	}
	return r, nil
}

func noFetch(context.Context, string, cicadaseam.RevisionID) ([]byte, error) {
	return nil, errors.New("no peer")
}

// document returns a document whose position is not known.
func document(text string) cicadaseam.Document { return cicadaseam.Document{Data: []byte(text)} }

// numbered returns the ID of a revision that document returned.
func numbered(n uint64) cicadaseam.RevisionID { return cicadaseam.RevisionID{Number: n} }

func TestNeverBackAndNeverInPart(t *testing.T) {
	syncer := New(newSource(), noFetch)
	require.NoError(t, syncer.ApplyDocument(document("5")))
	first := syncer.Table()
	require.NoError(t, syncer.ApplyDocument(document("3")))
	require.NoError(t, syncer.ApplyDocument(document("5")))
	require.Error(t, syncer.ApplyDocument(document("19")))
	require.Error(t, syncer.ApplyDocument(document("garbage")))
	require.Same(t, first, syncer.Table())
	require.NoError(t, syncer.ApplyDocument(document("7")))
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
		require.NoError(t, other.ApplyDocument(document("4")))
		syncer := New(s, func(_ context.Context, addr string, have cicadaseam.RevisionID) ([]byte, error) {
			asked.Store(addr)
			return other.UpdateSince(have)
		})
		go syncer.Run(t.Context())
		time.Sleep(time.Second)
		require.True(t, syncer.SourceUnavailable())
		syncer.ObservePeer(t.Context(), "far", numbered(4), false)
		time.Sleep(time.Millisecond)
		// Without a table and the source, it does not wait for a node of its own zone.
		require.Equal(t, uint64(4), syncer.Number())
		require.NoError(t, other.ApplyDocument(document("5")))
		syncer.ObservePeer(t.Context(), "far", numbered(5), false)
		time.Sleep(otherZoneDelay / 2)
		require.Equal(t, uint64(4), syncer.Number())
		syncer.ObservePeer(t.Context(), "near", numbered(5), true)
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
	old := &cicadaseam.Revision{RevisionID: numbered(3), Routes: []cicadaseam.MeshRoute{routeNamed("a", 1), routeNamed("b", 1), routeNamed("c", 1)}}
	next := &cicadaseam.Revision{RevisionID: numbered(8), Limits: cicadaseam.Limits{MaxBodyBytes: 5}, Routes: []cicadaseam.MeshRoute{routeNamed("a", 1), routeNamed("c", 2), routeNamed("d", 1)}}
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
		_ = syncer.ApplyDocument(document(strconv.Itoa(n))) // each tenth is invalid
		if n == 55 {
			require.NoError(t, behind.ApplyDocument(document("55")))
		}
	}
	require.Len(t, syncer.update(numbered(55)).Deltas, 4)
	require.NotNil(t, syncer.update(numbered(0)).Full)
	require.NotNil(t, syncer.update(numbered(3)).Full)
	for _, x := range []*Syncer{behind, New(newSource(), noFetch)} {
		data, err := syncer.UpdateSince(x.ID())
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

// After a restore, offsets are given out again. A reader that goes on at its old offset would miss
// what was written below it.
func TestReaderMissesNothingThatIsWrittenBelowItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		for _, doc := range []string{"1", "2", "3", "4"} {
			s.write(doc)
		}
		syncer := New(s, noFetch)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go syncer.Run(ctx)
		for round := range 2 { // two restores in a row, the second without any poll in between
			time.Sleep(time.Second)
			s.restore(2)
			if round == 1 {
				s.restore(1)
			}
			s.write(strconv.Itoa(10 + round))
			for range 6 {
				s.write("")
			}
			time.Sleep(time.Second)
			require.Equal(t, uint64(10+round), syncer.Number())
		}
	})
}

func TestRevisionsUnderOneNumberAreToldApart(t *testing.T) {
	at := func(text string, epoch uint64, offset cicadaseam.Offset) cicadaseam.Document {
		return cicadaseam.Document{Data: []byte(text), Written: cicadaseam.Position{Epoch: epoch, Offset: offset}}
	}
	for _, tt := range []struct {
		name string
		docs []cicadaseam.Document
		want string
	}{
		{"later epoch", []cicadaseam.Document{at("5", 1, 7), at("5b", 2, 4)}, "sb"},
		{"late answer of an older epoch", []cicadaseam.Document{at("5b", 2, 4), at("5", 1, 7)}, "sb"},
		{"same epoch", []cicadaseam.Document{at("5", 2, 4), at("5b", 2, 6), at("5", 2, 4)}, "sb"},
		{"lower number of a later epoch", []cicadaseam.Document{at("5", 1, 7), at("4b", 2, 8)}, "s"},
		{"older number of the copy, then written again", []cicadaseam.Document{at("5", 1, 7), at("4", 2, 5), at("6b", 2, 6)}, "sb"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			syncer := New(newSource(), noFetch)
			for _, d := range tt.docs {
				require.NoError(t, syncer.ApplyDocument(d))
			}
			require.Equal(t, tt.want, syncer.Current().Routes[0].TrafficSplit[0].Service)
		})
	}
}

// Nodes that have the same number with other contents never get a delta on top of these.
func TestPeersAgreeAfterARevisionWasReplacedUnderItsNumber(t *testing.T) {
	ahead, behind := New(newSource(), noFetch), New(newSource(), noFetch)
	for i, text := range []string{"4", "5", "5b", "7b"} {
		d := cicadaseam.Document{Data: []byte(text), Written: cicadaseam.Position{Epoch: 1 + uint64(i)/2, Offset: 9}}
		require.NoError(t, ahead.ApplyDocument(d))
		if i < 2 {
			require.NoError(t, behind.ApplyDocument(d))
		}
		require.Equal(t, i >= 2, ahead.ID().After(behind.ID()), text)
	}
	data, err := ahead.UpdateSince(behind.ID())
	require.NoError(t, err)
	require.NoError(t, behind.applyUpdate(data, "peer"))
	require.Equal(t, ahead.ID(), behind.ID())
	require.True(t, sameContent(ahead.Current(), behind.Current()))
	rewritten := *ahead.Current()
	rewritten.Written.Epoch++
	require.NoError(t, behind.applyRevision(arrival{Revision: &rewritten, from: "peer"}))
	require.Equal(t, rewritten.RevisionID, behind.ID())
	require.Nil(t, behind.deltas)
}
