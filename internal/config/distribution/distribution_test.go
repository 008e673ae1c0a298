package distribution

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// A node that starts during an outage of the log has learned of no response. If its start counted
// as one, its peers would take the log for available and poll it again at once.
func TestStartDuringAnOutageIsNoResponseOfTheLog(t *testing.T) {
	start := time.Unix(1000, 0)
	newScheduler := func() *Scheduler { return New(rand.New(rand.NewPCG(1, 1))) }
	started, peer := newScheduler(), newScheduler()
	started.Tick(start, Input{})
	peer.Tick(start.Add(-time.Minute), Input{})
	peer.PollDone(start.Add(-time.Minute), true)
	for range 8 {
		peer.PollDone(start, false)
	}
	now := start.Add(2 * time.Second)
	require.Equal(t, UnknownLogAge, started.LogAge(now))
	retryAt := peer.nextPoll
	peer.ObservePeer(now, "10.0.0.1:1", cicadaseam.ConfigStatus{Latest: 5, Applied: 5, Age: started.LogAge(now)}, 5)
	require.Equal(t, retryAt, peer.nextPoll)
	require.Equal(t, time.Minute+2*time.Second, peer.LogAge(now))
	started.ObserveLogResponse(now, peer.LogAge(now))
	require.Equal(t, peer.LogAge(now), started.LogAge(now))
}
