package logging

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// output records lines. If stall is set, writes block until it is closed.
type output struct {
	mu    sync.Mutex
	lines []string
	stall chan struct{}
}

func (o *output) Write(b []byte) (int, error) {
	if o.stall != nil {
		<-o.stall
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, string(b))
	return len(b), nil
}

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func TestLineBudgetPerMessageAndDropSummary(t *testing.T) {
	out := &output{}
	c := &clock{at: time.Unix(1000, 0)}
	w := New(out, WithLinesPerSecond(3), WithClock(c.now))
	logger := zap.New(w.Core(zapcore.InfoLevel))
	for range 10 {
		logger.Info("many")
		logger.Debug("never")
	}
	logger.Info("rare", zap.String("request", "q1"))
	for range 5 {
		logger.Warn("urgent")
	}
	c.at = c.at.Add(time.Second)
	logger.Info("many")
	w.Close()
	counts := map[string]int{}
	for _, l := range out.lines {
		var x struct {
			Msg     string
			Dropped map[string]int
		}
		require.NoError(t, json.Unmarshal([]byte(l), &x))
		counts[x.Msg]++
		if x.Dropped != nil {
			require.Equal(t, map[string]int{"many": 7}, x.Dropped)
		}
	}
	require.Equal(t, map[string]int{"many": 4, "rare": 1, "urgent": 5, "log lines dropped": 1}, counts)
	require.Equal(t, int64(7), w.Dropped())
}

func TestByteBudget(t *testing.T) {
	out := &output{}
	c := &clock{at: time.Unix(1000, 0)}
	w := New(out, WithBytesPerSecond(10*estimatedLineSize), WithClock(c.now))
	logger := zap.New(w.Core(zapcore.InfoLevel))
	for range 50 {
		logger.Warn(strings.Repeat("x", 10))
	}
	w.Close()
	require.Len(t, out.lines, 10)
}

// With a stalled output lines are dropped, and the code that logs is not blocked.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	out := &output{stall: make(chan struct{})}
	w := New(out, WithLinesPerSecond(1<<30), WithBytesPerSecond(1<<40))
	logger := zap.New(w.Core(zapcore.InfoLevel))
	done := make(chan struct{})
	go func() {
		for range 3 * ringSize {
			logger.Info("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a stalled output blocked the code that logs")
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(ringSize))
	w.Close() // returns although the output is stalled
	close(out.stall)
}

func BenchmarkLine(b *testing.B) {
	w := New(&output{}, WithLinesPerSecond(1<<30), WithBytesPerSecond(1<<40))
	defer w.Close()
	logger := zap.New(w.Core(zapcore.InfoLevel)).With(zap.String("node", "sidecar-1"))
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("attempt failed", zap.String("request", "9c41d07be2a35f68"), zap.String("target", "sidecar-2"),
			zap.Duration("queued", time.Millisecond), zap.Duration("ran", time.Second), zap.Uint64("revision", 12))
	}
}

func BenchmarkDroppedLine(b *testing.B) {
	w := New(&output{}, WithLinesPerSecond(0))
	defer w.Close()
	logger := zap.New(w.Core(zapcore.InfoLevel)).With(zap.String("node", "sidecar-1"))
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("attempt failed", zap.String("request", "9c41d07be2a35f68"), zap.Duration("ran", time.Second))
	}
}
