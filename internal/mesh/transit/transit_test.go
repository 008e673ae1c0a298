package transit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// step is a message that was sent and received at times of a common clock.
type step struct {
	sent, received, late time.Duration
}

func TestLate(t *testing.T) {
	const ms = time.Millisecond
	for _, x := range []struct {
		name   string
		offset time.Duration // of the sender's clock
		steps  []step
	}{
		{"steady", time.Hour, []step{{1000 * ms, 1001 * ms, 0}, {1100 * ms, 1101 * ms, 0}}},
		{"one lay for long", -time.Hour, []step{{1000 * ms, 1001 * ms, 0}, {1100 * ms, 2000 * ms, 899 * ms}, {2000 * ms, 2001 * ms, 0}}},
		{"a quicker one lowers the least", 0, []step{{1000 * ms, 1400 * ms, 0}, {1100 * ms, 1200 * ms, 0}, {1200 * ms, 1800 * ms, 500 * ms}}},
		{"the least outlives one span", 0, []step{{1000 * ms, 1001 * ms, 0}, {1000*ms + span, 2000*ms + span, 999 * ms}}},
		{"the least is forgotten after two", 0, []step{{1000 * ms, 1001 * ms, 0}, {2000*ms + span, 3000*ms + span, 999 * ms}, {3000*ms + 2*span, 4000*ms + 2*span, 0}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := New()
			for i, s := range x.steps {
				require.Equal(t, s.late, g.ExcessDelay(s.received+2*time.Hour, 7, s.sent+2*time.Hour+x.offset), "step %d", i)
			}
		})
	}
}

func TestSendersAreToldApart(t *testing.T) {
	g := New()
	require.Zero(t, g.ExcessDelay(time.Hour, SenderID("a", 1), time.Minute))
	require.Zero(t, g.ExcessDelay(time.Hour, SenderID("a", 2), time.Second), "another process at the address has its own clock")
	require.Zero(t, g.ExcessDelay(time.Hour, SenderID("b", 1), time.Millisecond))
}

// A message without a stamp, or a node without a clock, tells nothing.
func TestNoStamp(t *testing.T) {
	g := New()
	require.Zero(t, g.ExcessDelay(time.Hour, 7, time.Hour))
	require.Zero(t, g.ExcessDelay(2*time.Hour, 7, 0))
	require.Zero(t, g.ExcessDelay(0, 7, time.Minute))
}

func TestMemoryIsBounded(t *testing.T) {
	g := New()
	for i := range uint64(3 * maxSenders) {
		g.ExcessDelay(time.Hour, i, time.Minute)
	}
	require.LessOrEqual(t, len(g.least)+len(g.before), 2*maxSenders)
}

func TestNowGoesOn(t *testing.T) {
	a := Now()
	require.NotZero(t, a)
	require.GreaterOrEqual(t, Now(), a)
}

func BenchmarkLate(b *testing.B) {
	g := New()
	for b.Loop() {
		g.ExcessDelay(Now(), 7, time.Minute)
	}
}
