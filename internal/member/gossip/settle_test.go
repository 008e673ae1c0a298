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

// drive runs the state machine for a time; each exchange takes 100 ms and brings
// what fresh says. It returns when exchanges began.
func drive(seed uint64, length time.Duration, fresh func(n int) int) []time.Duration {
	const step, exchange = 50 * time.Millisecond, 100 * time.Millisecond
	s := settling{rng: rand.New(rand.NewPCG(seed, 1))}
	began := time.Unix(1000, 0)
	var out []time.Duration
	var back time.Time
	for now := began; now.Before(began.Add(length)); now = now.Add(step) {
		if !back.IsZero() && !now.Before(back) {
			back = time.Time{}
			s.ended(now, fresh(len(out)))
		}
		if s.next(now) {
			out = append(out, now.Sub(began))
			back = now.Add(exchange)
		}
	}
	return out
}

func TestSettling(t *testing.T) {
	cases := []struct {
		name  string
		fresh func(n int) int
		want  int
	}{
		{"a node that comes alone", func(int) int { return 0 }, settleQuiet},
		{"news in the first three", func(n int) int { return max(0, 4-n) }, 3 + settleQuiet},
		{"always news", func(int) int { return 1 }, settleMost},
	}
	for _, tc := range cases {
		for seed := range uint64(20) {
			require.Len(t, drive(seed, 5*time.Minute, tc.fresh), tc.want, tc.name)
		}
	}
}

func TestExchangeWithoutAnswerDoesNotStopTheRest(t *testing.T) {
	s := settling{rng: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(1000, 0)
	begun := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if s.next(now) {
			begun++ // none ever ends
		}
	}
	require.Greater(t, begun, 3)
}

// The exchanges of a herd of 720 keep to what control may use, at the node that
// asks and at the one that answers.
func TestBytesOfAHerdThatSettles(t *testing.T) {
	const nodes, target = 720, 30 << 10 // bytes a second
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
		at := drive(seed, 5*time.Minute, func(int) int { return 1 })
		// Each node asks and is asked as often; it learns and tells each member once.
		total := 2*len(at)*len(known) + 2*len(all)
		seconds := at[len(at)-1].Seconds()
		require.Less(t, float64(total)/seconds, float64(target), "%d exchanges of %d bytes, %d bytes of members in %.0f s", len(at), len(known), len(all), seconds)
	}
}
