package ideal

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overload asks for twice the slots with two kinds of one priority, the second three times as long.
func overload() *Load {
	return &Load{Length: 20 * time.Second, Slots: map[string]float64{"s": 10}, Kinds: []Kind{
		{Name: "short", Service: "s", Rate: 100, Hold: 50 * time.Millisecond, Objective: 500 * time.Millisecond},
		{Name: "long", Service: "s", Rate: 100, Hold: 150 * time.Millisecond, Objective: 500 * time.Millisecond},
	}}
}

// Guards against a bound that is below or above what the slots allow.
func TestSlotsBoundWhatIsServed(t *testing.T) {
	most := Run(overload(), Most)
	require.InDelta(t, 1, most[0].Share(), 0.01)
	require.InDelta(t, 1.0/3, most[1].Share(), 0.01, "half of the slots are left")
	alike := Run(overload(), Alike)
	require.InDelta(t, 0.5, alike[0].Share(), 0.02)
	require.InDelta(t, 0.5, alike[1].Share(), 0.02)
}

// Guards against a bound that counts on a lower priority to give way to none.
func TestHigherPriorityIsServedFirst(t *testing.T) {
	load := overload()
	load.Kinds[0].Priority = 1
	results := Run(load, Most)
	require.InDelta(t, 2.0/3, results[1].Share(), 0.01)
	require.Zero(t, results[0].OnTime)
}

// Guards against a bound that leaves out the slots that nested calls take at another service.
func TestNestedCallsTakeSlotsOfTheirService(t *testing.T) {
	load := &Load{Length: 20 * time.Second, Slots: map[string]float64{"s": 10, "t": 1}, Kinds: []Kind{
		{Name: "k", Service: "s", Rate: 50, Hold: 100 * time.Millisecond, Objective: 300 * time.Millisecond, Calls: map[string]time.Duration{"t": 40 * time.Millisecond}},
	}}
	require.InDelta(t, 0.5, Run(load, Most)[0].Share(), 0.01)
}

// Guards against a short burst that counts as lost although requests may wait for its end.
func TestRequestsWaitAsLongAsTheyStayOnTime(t *testing.T) {
	load := &Load{Length: 20 * time.Second, Slots: map[string]float64{"s": 10}, Kinds: []Kind{{Name: "k", Service: "s", Rate: 80, Hold: 100 * time.Millisecond, Objective: 600 * time.Millisecond}},
		Changes: []Change{{At: 5 * time.Second, Factor: 1.5}, {At: 6 * time.Second, Factor: 1}}}
	require.InDelta(t, 1, Run(load, Most)[0].Share(), 0.001, "the burst adds 20 requests and leaves room for 10 a second afterwards")
	load.Changes[1].At = 15 * time.Second
	require.Less(t, Run(load, Most)[0].Share(), 0.95)
}

func TestReadRejectsWhatCannotBePlayed(t *testing.T) {
	const valid = "[load]\nlength = 10s\n[service.s]\nslots = 6\n[kind.k]\nservice = s\nrate = 10\nhold = 100ms\nobjective = 300ms\npriority = 1\n[change.1]\nat = 2s\nslots = s:3\n"
	file := filepath.Join(t.TempDir(), "load.ini")
	read := func(text string) (*Load, error) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return Read(file)
	}
	load, err := read(valid)
	require.NoError(t, err)
	require.Equal(t, 3.0, load.Changes[0].Slots["s"])
	for text, want := range map[string]string{
		valid + "[other]\na = 1\n": "[other]", valid + "[kind.l]\nservice = t\nrate = 1\nhold = 1ms\nobjective = 1s\npriority = 0\n": `service "t" has no slots`,
		"[load]\nlength = soon\n": "[load] length", "[load]\nlength = 1s\n": "needs a length and a kind",
	} {
		_, err := read(text)
		require.ErrorContains(t, err, want)
	}
}
