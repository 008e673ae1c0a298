package fleet

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/base/timer"
)

var start = time.Unix(1000, 0)

// sink is a PacketConn that counts the datagrams sent to each address and receives none.
type sink struct{ sent map[string]int }

func (s *sink) Send(addr string, _ []byte) error { s.sent[addr]++; return nil }

func (s *sink) Receive([]byte) (int, error) { select {} }

func (s *sink) LocalAddr() string { return "self" }

func (s *sink) Close() error { return nil }

func newFleet() (*Fleet, *sink) {
	s := &sink{sent: map[string]int{}}
	sample := func(time.Time) Heartbeat { return Heartbeat{Node: "self", Addr: "self"} }
	f := New("self", "north", s, timer.New(rand.New(rand.NewPCG(1, 1))), sample)
	f.now = func() time.Time { return start }
	return f, s
}

func heartbeat(addr string, epoch int64, sequence uint64) Heartbeat {
	return Heartbeat{Node: addr, Addr: addr, Zone: "north", Epoch: epoch, Sequence: sequence, Service: "desk", Serving: true}
}

func TestOlderHeartbeatsAreIgnored(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(start, heartbeat("a", 1, 5))
	old := heartbeat("a", 1, 4)
	old.Serving = false
	f.HandleHeartbeat(start, old)
	require.True(t, f.Peers()[0].Heartbeat.Serving)
}

// The heartbeats of a restarted process are accepted, even if its clock was set back, once
// the process before it is silent.
func TestRestartedProcess(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(start, heartbeat("a", 10, 500))
	f.HandleHeartbeat(start.Add(time.Millisecond), heartbeat("a", 11, 1))
	require.Equal(t, int64(11), f.Peers()[0].Heartbeat.Epoch)
	f.HandleHeartbeat(start.Add(2*time.Millisecond), heartbeat("a", 10, 501))
	require.Equal(t, int64(11), f.Peers()[0].Heartbeat.Epoch)
	f.HandleHeartbeat(start.Add(time.Second), heartbeat("a", 5, 1))
	require.Equal(t, int64(5), f.Peers()[0].Heartbeat.Epoch)
}

func TestSilentNodesAreNotPeersButGetHeartbeats(t *testing.T) {
	f, s := newFleet()
	f.HandleHeartbeat(start, heartbeat("a", 1, 1))
	require.Len(t, f.Peers(), 1)
	later := start.Add(silentPeriods*DefaultPeriod + 1)
	f.expire(later)
	require.Empty(t, f.Peers())
	for range silentSendEvery {
		f.send(start.Add(10*time.Second), allZones, false)
	}
	require.Equal(t, 1, s.sent["a"])
	f.expire(start.Add(forgetAfter + time.Second))
	f.send(start.Add(forgetAfter+time.Second), allZones, false)
	require.Equal(t, 1, s.sent["a"])
}

func TestUnknownSendersAreAdded(t *testing.T) {
	f, s := newFleet()
	for _, addr := range []string{"self", "", "b"} {
		f.AddAddr(addr, "north")
	}
	f.HandleHeartbeat(start, heartbeat("a", 1, 1))
	f.send(start, allZones, false)
	require.Equal(t, map[string]int{"a": 1, "b": 1}, s.sent)
}

// The period is stretched so that the heartbeats of all nodes take a bounded number of
// bytes, and not at all in a small fleet.
func TestPeriodGrowsWithTheFleet(t *testing.T) {
	const zones = 10
	for _, tt := range []struct {
		nodes  int
		period time.Duration
	}{{88, DefaultPeriod}, {194, 700 * time.Millisecond}, {720, 2500 * time.Millisecond}, {2000, maxPeriodFactor * DefaultPeriod}} {
		f, _ := newFleet()
		for i := range tt.nodes {
			f.AddAddr(strconv.Itoa(i), "zone-"+strconv.Itoa(i%zones))
		}
		require.LessOrEqual(t, f.Period(), tt.period, "%d nodes", tt.nodes)
		bytes := tt.nodes/zones*datagramOverhead + tt.nodes*meanSize
		if f.Period() < maxPeriodFactor*DefaultPeriod {
			require.LessOrEqual(t, float64(bytes)/f.Period().Seconds(), float64(heartbeatBytesPerSecond)+1, "%d nodes", tt.nodes)
		}
	}
}

func TestInvalidDatagramsAreDropped(t *testing.T) {
	good, err := pack.Marshal(&Heartbeat{Node: "a", Addr: "a"})
	require.NoError(t, err)
	anonymous, err := pack.Marshal(&Heartbeat{})
	require.NoError(t, err)
	tests := []struct {
		name string
		data []byte
		want bool
	}{
		{"good", append([]byte{FormatFull}, good...), true},
		{"empty", nil, false},
		{"unknown format", append([]byte{FormatFull + 1}, good...), false},
		{"truncated", append([]byte{FormatFull}, good[:len(good)/2]...), false},
		{"no sender", append([]byte{FormatFull}, anonymous...), false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			f, _ := newFleet()
			_, ok := f.decode(x.data)
			require.Equal(t, x.want, ok)
		})
	}
}

func FuzzDecode(f *testing.F) {
	good, err := pack.Marshal(&Heartbeat{Node: "a", Addr: "a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{FormatFull}, good...))
	f.Add([]byte{FormatCompact, 0x95})
	f.Fuzz(func(t *testing.T, data []byte) {
		known, _ := newFleet()
		known.HandleHeartbeat(start, heartbeat("a", 1, 1))
		if b, ok := known.decode(data); ok && b.Addr == "" {
			t.Fatal("decoded a heartbeat without an address")
		}
	})
}

// Exactly one node of a zone owns a task while all nodes agree on who is alive. A node
// that does not reach the source is passed over, and so is a slow one while there are
// others.
func TestOneNodeOfAZoneDoesADuty(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	owners := func(unavailable string, slow ...string) []string {
		var out []string
		for _, self := range names {
			var peers []*Peer
			for _, n := range names {
				if n != self {
					peers = append(peers, &Peer{Heartbeat: Heartbeat{Node: n, Zone: "north", SourceUnavailable: n == unavailable, SourceSlow: slices.Contains(slow, n)}})
				}
			}
			peers = append(peers, &Peer{Heartbeat: Heartbeat{Node: "far", Zone: "south"}})
			task := ZoneTask{Key: "reader", Node: self, Zone: "north", SourceSlow: slices.Contains(slow, self)}
			if self != unavailable && task.IsOwner(peers) {
				out = append(out, self)
			}
		}
		return out
	}
	one := owners("")
	require.Len(t, one, 1)
	for _, other := range [][]string{owners(one[0]), owners("", one[0])} {
		require.Len(t, other, 1)
		require.NotEqual(t, one, other)
	}
	require.Equal(t, one, owners("", names...), "all nodes are slow")
	for _, n := range names {
		rest := slices.DeleteFunc(slices.Clone(names), func(x string) bool { return x == n })
		require.Equal(t, []string{n}, owners("", rest...), "the only node that is not slow")
	}
}

// A compact heartbeat is completed from the last full one of the same process, and only
// of that process.
func TestCompactHeartbeats(t *testing.T) {
	f, _ := newFleet()
	next := heartbeat("a", 1, 2)
	next.Load.Queued = 7
	data, err := encode(next, false)
	require.NoError(t, err)
	_, ok := f.decode(data)
	require.False(t, ok) // a is not known yet
	f.HandleHeartbeat(start, heartbeat("a", 1, 1))
	got, ok := f.decode(data)
	require.True(t, ok)
	require.Equal(t, next, got)
	full, err := encode(next, true)
	require.NoError(t, err)
	require.Less(t, len(data), len(full))
	f.HandleHeartbeat(start.Add(time.Millisecond), heartbeat("a", 2, 1))
	_, ok = f.decode(data)
	require.False(t, ok) // a has restarted
}

func TestFullHeartbeatsFollowChanges(t *testing.T) {
	f, _ := newFleet()
	b := heartbeat("self", 1, 1)
	require.True(t, f.needsFull(allZones, b))
	require.False(t, f.needsFull(allZones, b))
	require.True(t, f.needsFull(allZones, b)) // again, in case the first one is lost
	require.False(t, f.needsFull(allZones, b))
	b.Serving = false
	require.True(t, f.needsFull(allZones, b))
	full := 0
	for range 2*fullEvery + 2 {
		if f.needsFull(allZones, b) {
			full++
		}
	}
	require.Equal(t, 3, full)
}

// formatRecorder records the formats of the heartbeats that each address gets.
type formatRecorder struct {
	sink
	got map[string][]byte
}

func (r *formatRecorder) Send(addr string, data []byte) error {
	r.got[addr] = append(r.got[addr], data[0])
	return r.sink.Send(addr, data)
}

// A discovered node gets two full heartbeats, the first one at once. The other nodes get
// nothing extra: in a fleet of N nodes that start at once, each node sends N extra
// heartbeats, and not N for each of the N nodes that it discovers.
func TestOnlyWhoIsMetIsGreeted(t *testing.T) {
	f, s := newFleet()
	recorder := &formatRecorder{sink: *s, got: map[string][]byte{}}
	f.conn = recorder
	const known = 20
	for i := range known {
		f.HandleHeartbeat(start, heartbeat(strconv.Itoa(i), 1, 1))
	}
	f.sendInitial(start)
	f.send(start, allZones, false)
	<-f.initialDue
	clear(recorder.got)
	f.HandleHeartbeat(start, heartbeat("new", 1, 1))
	require.Len(t, f.initialDue, 1)
	require.Empty(t, f.notify)
	f.sendInitial(start)
	require.Equal(t, map[string][]byte{"new": {FormatFull}}, recorder.got)
	f.sendInitial(start)
	f.sinceFull = 0 // the next heartbeat to all is a compact one
	f.send(start, allZones, false)
	f.send(start, allZones, false)
	require.Equal(t, []byte{FormatFull, FormatFull, FormatCompact}, recorder.got["new"])
	require.Equal(t, []byte{FormatCompact, FormatCompact}, recorder.got["0"])
	<-f.initialDue
	f.HandleHeartbeat(start.Add(time.Minute), heartbeat("new", 1, 2)) // heard again after its silence
	require.Len(t, f.initialDue, 1)
}

// The departed instances of a node are remembered when the process at its address changes.
func TestLeavingIsRememberedForTheNextProcess(t *testing.T) {
	f, _ := newFleet()
	b := heartbeat("a", 1, 1)
	b.Departed = []cicadaseam.Departure{{ID: "i-1", StartUnixMilli: 5}}
	f.HandleHeartbeat(start, b)
	f.HandleHeartbeat(start.Add(time.Second), heartbeat("a", 2, 1))
	require.Equal(t, b.Departed, f.Departed("a"))
	require.Empty(t, f.Departed("b"))
}

// A node that became silent is removed from the list of peers as heartbeats of others
// arrive, without waiting for a tick, and a list that a request holds does not change.
func TestSilentNodeIsLeftOutAsOthersAreHeard(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(start, heartbeat("a", 1, 1))
	f.HandleHeartbeat(start, heartbeat("b", 1, 1))
	held := f.Peers()
	before := *held[0]
	for i := range 40 {
		f.HandleHeartbeat(start.Add(time.Duration(i)*50*time.Millisecond), heartbeat("b", 1, uint64(i+2)))
	}
	require.Len(t, f.Peers(), 1)
	require.Equal(t, "b", f.Peers()[0].Heartbeat.Addr)
	require.Len(t, held, 2)
	require.Equal(t, before, *held[0])
	f.HandleHeartbeat(start.Add(2*time.Second), heartbeat("a", 1, 2))
	require.Len(t, f.Peers(), 2)
}

// The send time of a full heartbeat does not hold for the compact ones that follow it.
func TestCompactHeartbeatsHaveNoStamp(t *testing.T) {
	f, _ := newFleet()
	b := heartbeat("a", 1, 1)
	b.SentAt = time.Hour
	f.HandleHeartbeat(start, b)
	b.Sequence = 2
	data, err := encode(b, false)
	require.NoError(t, err)
	got, ok := f.decode(data)
	require.True(t, ok)
	require.Zero(t, got.SentAt)
	require.Equal(t, "desk", got.Service)
}

// A heartbeat that changes nothing but the load must not cause a scan of all entries. The
// 240 heartbeats a second of 720 nodes should take less than 1% of a core, 41 us each.
func BenchmarkTake(b *testing.B) {
	for _, nodes := range []int{90, 720} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			f, _ := newFleet()
			for i := range nodes {
				f.HandleHeartbeat(start, heartbeat(strconv.Itoa(i), 1, 1))
			}
			b.ReportAllocs()
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				f.HandleHeartbeat(start, heartbeat(strconv.Itoa(int(sequence)%nodes), 1, sequence))
			}
		})
	}
}

// When more instances have departed at an address than are remembered, the oldest are forgotten.
func TestNewestDeparturesAreRemembered(t *testing.T) {
	e := &entry{}
	for i := range 3 * maxDeparted {
		e.addDeparted([]cicadaseam.Departure{{ID: "i-0"}, {ID: "i-" + strconv.Itoa(i)}})
	}
	got := e.departures()
	require.Len(t, got, maxDeparted)
	require.Contains(t, got, cicadaseam.Departure{ID: "i-0"}, "reported again and again")
	for i := 3*maxDeparted - 1; i > 2*maxDeparted; i-- {
		require.Contains(t, got, cicadaseam.Departure{ID: "i-" + strconv.Itoa(i)})
	}
}
