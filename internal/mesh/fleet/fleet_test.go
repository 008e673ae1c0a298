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

var epoch = time.Unix(1000, 0)

// sink is a datagram address that keeps what is sent.
type sink struct{ sent map[string]int }

func (s *sink) Send(addr string, _ []byte) error { s.sent[addr]++; return nil }

func (s *sink) Receive([]byte) (int, error) { select {} }

func (s *sink) LocalAddr() string { return "self" }

func (s *sink) Close() error { return nil }

func newFleet() (*Fleet, *sink) {
	s := &sink{sent: map[string]int{}}
	sample := func(time.Time) Heartbeat { return Heartbeat{Node: "self", Addr: "self"} }
	f := New("self", s, timer.New(rand.New(rand.NewPCG(1, 1))), sample)
	f.now = func() time.Time { return epoch }
	return f, s
}

func beat(addr string, run int64, sequence uint64) Heartbeat {
	return Heartbeat{Node: addr, Addr: addr, Zone: "north", Epoch: run, Sequence: sequence, Service: "desk", Serving: true}
}

func TestBeatsAreTakenInOrder(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(epoch, beat("a", 1, 5))
	old := beat("a", 1, 4)
	old.Serving = false
	f.HandleHeartbeat(epoch, old)
	require.True(t, f.Peers()[0].Heartbeat.Serving)
}

// A process that starts again is believed, also when its clock went back, once the
// one before it is silent.
func TestProcessThatStartedAgain(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(epoch, beat("a", 10, 500))
	f.HandleHeartbeat(epoch.Add(time.Millisecond), beat("a", 11, 1))
	require.Equal(t, int64(11), f.Peers()[0].Heartbeat.Epoch)
	f.HandleHeartbeat(epoch.Add(2*time.Millisecond), beat("a", 10, 501))
	require.Equal(t, int64(11), f.Peers()[0].Heartbeat.Epoch)
	f.HandleHeartbeat(epoch.Add(time.Second), beat("a", 5, 1))
	require.Equal(t, int64(5), f.Peers()[0].Heartbeat.Epoch)
}

func TestSilentNodesAreLeftOutAndStillSentBeats(t *testing.T) {
	f, s := newFleet()
	f.HandleHeartbeat(epoch, beat("a", 1, 1))
	require.Len(t, f.Peers(), 1)
	later := epoch.Add(missedBeats*DefaultPeriod + 1)
	f.expire(later)
	require.Empty(t, f.Peers())
	for range silentShare {
		f.send(epoch.Add(10*time.Second), allZones)
	}
	require.Equal(t, 1, s.sent["a"])
	f.expire(epoch.Add(forgetAfter + time.Second))
	f.send(epoch.Add(forgetAfter+time.Second), allZones)
	require.Equal(t, 1, s.sent["a"])
}

func TestUnknownSendersAreLearned(t *testing.T) {
	f, s := newFleet()
	f.AddAddrs([]string{"self", "", "b"})
	f.HandleHeartbeat(epoch, beat("a", 1, 1))
	f.send(epoch, allZones)
	require.Equal(t, map[string]int{"a": 1, "b": 1}, s.sent)
}

func TestPeriodGrowsWithTheFleet(t *testing.T) {
	f, _ := newFleet()
	require.Equal(t, DefaultPeriod, f.Period())
	for i := range 4 * smallFleet {
		f.AddAddrs([]string{strconv.Itoa(i)})
	}
	require.Equal(t, 4*DefaultPeriod, f.Period())
}

func TestForeignDatagramsAreDropped(t *testing.T) {
	good, err := pack.Marshal(&Heartbeat{Node: "a", Addr: "a"})
	require.NoError(t, err)
	nobody, err := pack.Marshal(&Heartbeat{})
	require.NoError(t, err)
	tests := []struct {
		name string
		data []byte
		want bool
	}{
		{"good", append([]byte{FormatFull}, good...), true},
		{"empty", nil, false},
		{"other format", append([]byte{FormatFull + 1}, good...), false},
		{"cut short", append([]byte{FormatFull}, good[:len(good)/2]...), false},
		{"nobody", append([]byte{FormatFull}, nobody...), false},
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
		known.HandleHeartbeat(epoch, beat("a", 1, 1))
		if b, ok := known.decode(data); ok && b.Addr == "" {
			t.Fatal("a beat without an address")
		}
	})
}

// Exactly one node of a zone does a duty when all agree on who lives; a node that
// cannot do it is passed over, and a slow one while there are others.
func TestOneNodeOfAZoneDoesADuty(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	first := func(blind string, slow ...string) []string {
		var out []string
		for _, self := range names {
			var peers []*Peer
			for _, n := range names {
				if n != self {
					peers = append(peers, &Peer{Heartbeat: Heartbeat{Node: n, Zone: "north", SourceUnavailable: n == blind, SourceSlow: slices.Contains(slow, n)}})
				}
			}
			peers = append(peers, &Peer{Heartbeat: Heartbeat{Node: "far", Zone: "south"}})
			d := ZoneTask{Key: "reader", Node: self, Zone: "north", SourceSlow: slices.Contains(slow, self)}
			if self != blind && d.IsOwner(peers) {
				out = append(out, self)
			}
		}
		return out
	}
	one := first("")
	require.Len(t, one, 1)
	for _, other := range [][]string{first(one[0]), first("", one[0])} {
		require.Len(t, other, 1)
		require.NotEqual(t, one, other)
	}
	require.Equal(t, one, first("", names...), "all are slow")
	for _, n := range names {
		rest := slices.DeleteFunc(slices.Clone(names), func(x string) bool { return x == n })
		require.Equal(t, []string{n}, first("", rest...), "the only quick one")
	}
}

// A short beat stands for the last whole one of the same process, and only for that.
func TestShortBeats(t *testing.T) {
	f, _ := newFleet()
	next := beat("a", 1, 2)
	next.Load.Queued = 7
	data, err := encode(next, false)
	require.NoError(t, err)
	_, ok := f.decode(data)
	require.False(t, ok) // nothing is known of a yet
	f.HandleHeartbeat(epoch, beat("a", 1, 1))
	got, ok := f.decode(data)
	require.True(t, ok)
	require.Equal(t, next, got)
	whole, err := encode(next, true)
	require.NoError(t, err)
	require.Less(t, len(data), len(whole))
	f.HandleHeartbeat(epoch.Add(time.Millisecond), beat("a", 2, 1))
	_, ok = f.decode(data)
	require.False(t, ok) // a is another process now
}

func TestWholeBeatsFollowChanges(t *testing.T) {
	f, _ := newFleet()
	b := beat("self", 1, 1)
	require.True(t, f.isWhole(allZones, b))
	require.False(t, f.isWhole(allZones, b))
	require.True(t, f.isWhole(allZones, b)) // once more, since one may be lost
	require.False(t, f.isWhole(allZones, b))
	b.Serving = false
	require.True(t, f.isWhole(allZones, b))
	whole := 0
	for range 2*wholeEach + 2 {
		if f.isWhole(allZones, b) {
			whole++
		}
	}
	require.Equal(t, 3, whole)
}

// kinds notes the format of what each address gets.
type kinds struct {
	sink
	got map[string][]byte
}

func (k *kinds) Send(addr string, data []byte) error {
	k.got[addr] = append(k.got[addr], data[0])
	return k.sink.Send(addr, data)
}

// A node that is met gets two whole beats, one at once; those that know this one
// already hear nothing of it. A fleet of N that starts at once then sends N beats a
// node and not N for each of N meetings.
func TestOnlyWhoIsMetIsGreeted(t *testing.T) {
	f, s := newFleet()
	k := &kinds{sink: *s, got: map[string][]byte{}}
	f.conn = k
	const old = 20
	for i := range old {
		f.HandleHeartbeat(epoch, beat(strconv.Itoa(i), 1, 1))
	}
	f.greet(epoch)
	f.send(epoch, allZones)
	<-f.greeting
	clear(k.got)
	f.HandleHeartbeat(epoch, beat("new", 1, 1))
	require.Len(t, f.greeting, 1)
	require.Empty(t, f.soon)
	f.greet(epoch)
	require.Equal(t, map[string][]byte{"new": {FormatFull}}, k.got)
	f.greet(epoch)
	f.sinceAll = 0 // the next beat to all is short by itself
	f.send(epoch, allZones)
	f.send(epoch, allZones)
	require.Equal(t, []byte{FormatFull, FormatFull, FormatCompact}, k.got["new"])
	require.Equal(t, []byte{FormatCompact, FormatCompact}, k.got["0"])
	<-f.greeting
	f.HandleHeartbeat(epoch.Add(time.Minute), beat("new", 1, 2)) // met again after its silence
	require.Len(t, f.greeting, 1)
}

// What left beside a node is remembered over the processes at its address.
func TestLeavingIsRememberedForTheNextProcess(t *testing.T) {
	f, _ := newFleet()
	b := beat("a", 1, 1)
	b.Departed = []string{"i-1"}
	f.HandleHeartbeat(epoch, b)
	f.HandleHeartbeat(epoch.Add(time.Second), beat("a", 2, 1))
	require.Equal(t, []string{"i-1"}, f.Departed("a"))
	require.Empty(t, f.Departed("b"))
}

// A node that went silent is left out soon after its time, also between two ticks, and
// a list that a request holds does not change under it.
func TestSilentNodeIsLeftOutAsOthersAreHeard(t *testing.T) {
	f, _ := newFleet()
	f.HandleHeartbeat(epoch, beat("a", 1, 1))
	f.HandleHeartbeat(epoch, beat("b", 1, 1))
	held := f.Peers()
	before := *held[0]
	for i := range 40 {
		f.HandleHeartbeat(epoch.Add(time.Duration(i)*50*time.Millisecond), beat("b", 1, uint64(i+2)))
	}
	require.Len(t, f.Peers(), 1)
	require.Equal(t, "b", f.Peers()[0].Heartbeat.Addr)
	require.Len(t, held, 2)
	require.Equal(t, before, *held[0])
	f.HandleHeartbeat(epoch.Add(2*time.Second), beat("a", 1, 2))
	require.Len(t, f.Peers(), 2)
}

// The stamp of a whole beat says nothing of the short ones that follow it.
func TestShortBeatsHaveNoStamp(t *testing.T) {
	f, _ := newFleet()
	b := beat("a", 1, 1)
	b.Stamp = time.Hour
	f.HandleHeartbeat(epoch, b)
	b.Sequence = 2
	data, err := encode(b, false)
	require.NoError(t, err)
	got, ok := f.decode(data)
	require.True(t, ok)
	require.Zero(t, got.Stamp)
	require.Equal(t, "desk", got.Service)
}

// A beat that changes nothing but the load costs no look at the whole fleet: 240 beats
// a second of 720 nodes are to stay under 1% of a core, 41 us each.
func BenchmarkTake(b *testing.B) {
	for _, nodes := range []int{90, 720} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			f, _ := newFleet()
			for i := range nodes {
				f.HandleHeartbeat(epoch, beat(strconv.Itoa(i), 1, 1))
			}
			b.ReportAllocs()
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				f.HandleHeartbeat(epoch, beat(strconv.Itoa(int(sequence)%nodes), 1, sequence))
			}
		})
	}
}

// Beats of 720 nodes, sent and received, leave a third of the 30 KB a second that
// control may use to all else.
func TestBytesOfBeats(t *testing.T) {
	const nodes, control = 720, 30 << 10 // bytes a second
	b := Heartbeat{
		Node: "sidecar-north-720", Addr: "10.14.0.255:7600", Zone: "north-1", Epoch: time.Now().UnixNano(), Sequence: 100_000, Revision: 100_000,
		Service: "submission", Instance: "i-1efcfb8f35", Serving: true, Stamp: time.Hour,
		Load: cicadaseam.MeshLoad{InFlight: 18, Queued: 200, Slots: 18, LatencyPermille: 330, FailurePermille: 10},
	}
	whole, err := encode(b, true)
	require.NoError(t, err)
	short, err := encode(b, false)
	require.NoError(t, err)
	f, _ := newFleet()
	for i := range nodes - 1 {
		f.AddAddrs([]string{strconv.Itoa(i)})
	}
	rate := float64(nodes-1) / f.Period().Seconds()
	each := (float64(len(whole)) + (wholeEach-1)*float64(len(short))) / wholeEach
	t.Logf("whole %d B, short %d B, %.0f B a second each way", len(whole), len(short), rate*each)
	require.Less(t, 2*rate*each, float64(control*2/3))
}
