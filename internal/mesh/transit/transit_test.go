package transit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// message has the times of a common clock at which it was sent and received, and the
// expected excess delay.
type message struct {
	sent, received, excess time.Duration
}

func TestLate(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name     string
		offset   time.Duration // of the sender's clock
		messages []message
	}{
		{"steady", time.Hour, []message{{1000 * ms, 1001 * ms, 0}, {1100 * ms, 1101 * ms, 0}}},
		{"one message is held up", -time.Hour, []message{{1000 * ms, 1001 * ms, 0}, {1100 * ms, 2000 * ms, 899 * ms}, {2000 * ms, 2001 * ms, 0}}},
		{"a faster message lowers the minimum", 0, []message{{1000 * ms, 1400 * ms, 0}, {1100 * ms, 1200 * ms, 0}, {1200 * ms, 1800 * ms, 500 * ms}}},
		{"the minimum outlives one window", 0, []message{{1000 * ms, 1001 * ms, 0}, {1000*ms + window, 2000*ms + window, 999 * ms}}},
		{"the minimum is forgotten after two windows", 0, []message{{1000 * ms, 1001 * ms, 0}, {2000*ms + window, 3000*ms + window, 999 * ms}, {3000*ms + 2*window, 4000*ms + 2*window, 0}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := New()
			for i, m := range tt.messages {
				require.Equal(t, m.excess, e.ExcessDelay(m.received+2*time.Hour, 7, m.sent+2*time.Hour+tt.offset), "message %d", i)
			}
		})
	}
}

func TestSendersAreIndependent(t *testing.T) {
	e := New()
	require.Zero(t, e.ExcessDelay(time.Hour, SenderID("a", 1), time.Minute))
	require.Zero(t, e.ExcessDelay(time.Hour, SenderID("a", 2), time.Second), "a restarted process at the same address has a clock of its own")
	require.Zero(t, e.ExcessDelay(time.Hour, SenderID("b", 1), time.Millisecond))
}

// Without the time of sending, or without a clock at the receiver, there is no estimate.
func TestZeroTimesAreIgnored(t *testing.T) {
	e := New()
	require.Zero(t, e.ExcessDelay(time.Hour, 7, time.Hour))
	require.Zero(t, e.ExcessDelay(2*time.Hour, 7, 0))
	require.Zero(t, e.ExcessDelay(0, 7, time.Minute))
}

func TestMemoryIsBounded(t *testing.T) {
	e := New()
	for i := range uint64(3 * maxSenders) {
		e.ExcessDelay(time.Hour, i, time.Minute)
	}
	require.LessOrEqual(t, len(e.minOffsets)+len(e.previousMinOffsets), 2*maxSenders)
}

func TestNowIsMonotonic(t *testing.T) {
	first := Now()
	require.NotZero(t, first)
	require.GreaterOrEqual(t, Now(), first)
}

func BenchmarkLate(b *testing.B) {
	e := New()
	for b.Loop() {
		e.ExcessDelay(Now(), 7, time.Minute)
	}
}
