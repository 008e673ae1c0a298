package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// simulateJoinSync runs a joinSync for a time. Each exchange takes 100 ms, and the n-th one changes
// as many members as changed returns. It returns the times at which the exchanges started.
func simulateJoinSync(seed uint64, length time.Duration, changed func(n int) int) []time.Duration {
	const step, exchangeTime = 50 * time.Millisecond, 100 * time.Millisecond
	s := joinSync{rng: rand.New(rand.NewPCG(seed, 1))}
	begin := time.Unix(1000, 0)
	var starts []time.Duration
	var endsAt time.Time
	for now := begin; now.Before(begin.Add(length)); now = now.Add(step) {
		if !endsAt.IsZero() && !now.Before(endsAt) {
			endsAt = time.Time{}
			s.finish(now, changed(len(starts)))
		}
		if s.start(now) {
			starts = append(starts, now.Sub(begin))
			endsAt = now.Add(exchangeTime)
		}
	}
	return starts
}

func TestJoinSync(t *testing.T) {
	cases := []struct {
		name    string
		changed func(n int) int
		want    int // exchanges
	}{
		{"a node that joins alone", func(int) int { return 0 }, maxUnchanged},
		{"changes in the first three", func(n int) int { return max(0, 4-n) }, 3 + maxUnchanged},
		{"always changes", func(int) int { return 1 }, maxExchanges},
	}
	for _, tc := range cases {
		for seed := range uint64(20) {
			require.Len(t, simulateJoinSync(seed, 5*time.Minute, tc.changed), tc.want, tc.name)
		}
	}
}

func TestLostExchangeDoesNotStopJoinSync(t *testing.T) {
	s := joinSync{rng: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(1000, 0)
	started := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if s.start(now) {
			started++ // none is finished
		}
	}
	require.Greater(t, started, 3)
}

// The exchanges of 720 nodes that start at the same time must stay within the limit of control
// traffic of a node, with the requests and the answers that it sends and receives.
func TestBytesOfAHerdThatSettles(t *testing.T) {
	const nodes, maxBytesPerSecond = 720, 30 << 10
	request := zoneMessage{Known: map[string]uint64{}}
	var members zoneMessage
	for i := range nodes {
		m := cicadaseam.Member{
			ID: fmt.Sprintf("%016x", i*7919), Name: fmt.Sprintf("status-portal-%03d", i), Addr: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250),
			Locality: cicadaseam.Locality{Region: "us-southeast", Deployment: "georgia-east", Zone: "atl-north"},
			Backend:  cicadaseam.Backend{Service: "status-portal", Slots: 20, Connections: 120, State: cicadaseam.BackendReady},
		}
		request.Known[m.ID] = 1
		members.Members = append(members.Members, m)
	}
	known, err := method.Encode(&request)
	require.NoError(t, err)
	all, err := method.Encode(&members)
	require.NoError(t, err)
	for seed := range uint64(20) {
		starts := simulateJoinSync(seed, 5*time.Minute, func(int) int { return 1 })
		// Each node receives as many requests as it sends. It receives and sends each member once.
		total := 2*len(starts)*len(known) + 2*len(all)
		seconds := starts[len(starts)-1].Seconds()
		require.Less(t, float64(total)/seconds, float64(maxBytesPerSecond), "%d exchanges of %d bytes, %d bytes of members in %.0f s", len(starts), len(known), len(all), seconds)
	}
}
