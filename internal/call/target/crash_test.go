package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
)

// Guards against a request that crashes backend servers while they drain and is never refused,
// because such a crash has the ID of the one before it.
func TestCrashesOfDrainingServersCountEach(t *testing.T) {
	const poison = 7
	target := New("n1", "127.0.0.1:1", nil, nil)
	for range 2 {
		r := runner.New("127.0.0.1:1")
		target.Attach(r, cicadaseam.Backend{Service: "desk", Slots: 1, State: cicadaseam.BackendReady})
		target.Drain()
		for range 2 { // two requests break with the same crash
			target.recordLost(time.Now(), poison)
			target.recordCrash(r)
		}
	}
	_, refused := target.Quarantined(poison, time.Minute)
	require.True(t, refused)
	require.Equal(t, int64(2), target.Counters().Crashes.Load())
}
