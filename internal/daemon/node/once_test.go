package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// file sends one claim with a key through a host.
func (f *fleet) file(h *host, key string) reply {
	return f.callBody(h, "POST", "/claims/file", "solicitor", `{"claim":1}`, "Idempotency-Key", key)
}

// requireOnce checks what a caller was told about a key against what ran.
func (f *fleet) requireOnce(key string, replies ...reply) {
	f.t.Helper()
	runs := f.runs(key)
	require.LessOrEqual(f.t, runs, int64(1), "key %s ran %d times", key, runs)
	for _, r := range replies {
		switch r.outcome {
		case "ran":
			require.Equal(f.t, int64(1), runs, "told ran: %+v", r)
		case "notrun":
			// Each reply is about its own attempt; only when no other attempt
			// of the key may have run does notrun mean that nothing ran.
			if len(replies) == 1 {
				require.Zero(f.t, runs, "told notrun: %+v", r)
			}
		}
	}
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	withFleet(t, 9, 20, func(f *fleet) {
		key := newKey(t)
		first := f.file(f.hosts[0], key)
		require.Equal(t, 200, first.status, "%s %s", first.outcome, first.reason)
		for _, h := range f.hosts {
			again := f.file(h, key)
			require.Equal(t, 200, again.status, "%s %s", again.outcome, again.reason)
			require.Equal(t, first.body, again.body)
			require.Equal(t, "true", again.header.Get("Idempotency-Replayed"))
		}
		f.requireOnce(key, first)
		other := f.callBody(f.hosts[2], "POST", "/claims/file", "solicitor", `{"claim":2}`, "Idempotency-Key", key)
		require.Equal(t, 422, other.status, "the same key for another request")
		f.requireOnce(key, first)
	})
}

func TestKeyOfAnotherCustomerIsAnotherKey(t *testing.T) {
	withFleet(t, 6, 21, func(f *fleet) {
		key := newKey(t)
		require.Equal(t, 200, f.file(f.hosts[0], key).status)
		r := f.callBody(f.hosts[1], "POST", "/claims/file", "caseworker", `{"claim":1}`, "Idempotency-Key", key)
		require.Equal(t, 200, r.status)
		require.Empty(t, r.header.Get("Idempotency-Replayed"))
	})
}

func TestSimultaneousSendsRunOnce(t *testing.T) {
	withFleet(t, 12, 22, func(f *fleet) {
		for range 10 {
			key := newKey(t)
			replies := make(chan reply, len(f.hosts))
			for _, h := range f.hosts {
				go func() { replies <- f.file(h, key) }()
			}
			ran := 0
			told := map[string]int{}
			for range f.hosts {
				r := <-replies
				told[r.outcome+" "+r.reason]++
				if r.outcome == "ran" {
					ran++
				}
			}
			require.Positive(t, ran, "%v", told)
			require.Equal(t, int64(1), f.runs(key))
		}
	})
}

func TestTargetDiesUnderAFiling(t *testing.T) {
	withFleet(t, 12, 23, func(f *fleet) {
		desks := f.hostsOf("claims-desk")
		for _, h := range desks {
			h.backend.SetFaults(backend.Faults{ServiceTimeFactor: 200}) // 400 ms a call
		}
		keys := make([]string, 30)
		replies := make([]reply, len(keys))
		done := make(chan struct{})
		for i := range keys {
			keys[i] = newKey(t)
			go func() {
				replies[i] = f.file(f.hostsOf("status-portal")[0], keys[i])
				done <- struct{}{}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		f.kill(desks[0])
		for range keys {
			<-done
		}
		unknown := 0
		for i, key := range keys {
			if replies[i].outcome == "unknown" {
				unknown++
			}
			f.requireOnce(key, replies[i])
			again := f.file(f.hostsOf("flight-records")[1], key)
			f.requireOnce(key, replies[i], again)
			if replies[i].outcome == "unknown" {
				require.NotEqual(t, "notrun", again.outcome, "a claim whose target died stays unknown: %s", again.reason)
			}
		}
		t.Logf("%d of %d filings unknown after their target died", unknown, len(keys))
		require.Positive(t, unknown)
	})
}

func TestFilingsThroughLostAppendAnswers(t *testing.T) {
	withFleet(t, 9, 24, func(f *fleet) {
		f.log.SetFaults(logstore.Faults{LoseAnswers: 0.5, LoseAppends: 0.2})
		told := map[string]int{}
		for i := range 60 {
			key := newKey(t)
			var replies []reply
			for try := range 4 {
				r := f.file(f.hosts[(i+try)%len(f.hosts)], key)
				replies = append(replies, r)
				told[r.outcome]++
				if r.outcome == "ran" {
					break
				}
			}
			f.requireOnce(key, replies...)
		}
		t.Logf("told: %v", told)
		require.Positive(t, told["ran"])
	})
}

func TestFilingDuringLogOutageIsNotRun(t *testing.T) {
	withFleet(t, 6, 25, func(f *fleet) {
		f.log.SetFaults(logstore.Faults{Outage: true})
		key := newKey(t)
		r := f.file(f.hosts[0], key)
		require.Equal(t, 503, r.status)
		require.Equal(t, "notrun", r.outcome)
		require.Equal(t, "ledger-unavailable", r.reason)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		f.requireOnce(key, r)
		f.log.SetFaults(logstore.Faults{})
		time.Sleep(3 * time.Second)
		again := f.file(f.hosts[1], key)
		require.Equal(t, 200, again.status, "%s %s", again.outcome, again.reason)
		f.requireOnce(key, again)
	})
}

// A node paused for longer than any timeout wakes up and believes that it
// still owns its shards and its claims.
func TestPausedNodesAndShardOwners(t *testing.T) {
	withFleet(t, 9, 26, func(f *fleet) {
		rng := rand.New(rand.NewPCG(26, 26))
		for round := range 6 {
			lost := f.hosts[rng.IntN(len(f.hosts))]
			for _, h := range f.hosts {
				if h != lost {
					f.net.Partition(lost.ip, h.ip)
				}
			}
			// Both sides of the cut write shards: each believes it owns them.
			var keys []string
			replies := map[string][]reply{}
			for range 5 {
				key := newKey(t)
				keys = append(keys, key)
				for _, h := range []*host{lost, f.hosts[(round+1)%len(f.hosts)], f.hosts[(round+5)%len(f.hosts)]} {
					replies[key] = append(replies[key], f.file(h, key))
				}
			}
			time.Sleep(time.Duration(round) * 8 * time.Second)
			f.net.HealAll()
			time.Sleep(3 * time.Second)
			for _, key := range keys {
				replies[key] = append(replies[key], f.file(f.hosts[round], key))
				f.requireOnce(key, replies[key]...)
			}
		}
	})
}

// The window: a key as old as the window is refused with the outcome unknown,
// and a key whose records the log no longer keeps never runs again.
func TestOldKeysNeverRunAgain(t *testing.T) {
	withFleet(t, 6, 27, func(f *fleet) {
		key := newKey(t)
		first := f.file(f.hosts[0], key)
		require.Equal(t, 200, first.status)
		old := newKey(t)
		time.Sleep(150 * time.Second)
		for i := range 40 { // later filings move the floor of each shard
			require.Equal(t, 200, f.file(f.hosts[i%6], newKey(t)).status)
		}
		late := f.file(f.hosts[3], key)
		require.Equal(t, 410, late.status, "%s %s", late.outcome, late.reason)
		require.Equal(t, "unknown", late.outcome)
		require.Equal(t, 410, f.file(f.hosts[3], old).status, "a key that was never used is too old all the same")
		f.requireOnce(key, first)
		fresh := newKey(t)
		require.Equal(t, 200, f.file(f.hosts[3], fresh).status)
	}, func(s *node.Settings) { s.KeyLifetime = 2 * time.Minute })
}

// A key grows old also where nothing else is filed that moves the floor of its
// shard.
func TestOldKeyOfAQuietShard(t *testing.T) {
	withFleet(t, 6, 29, func(f *fleet) {
		key := newKey(t)
		first := f.file(f.hosts[0], key)
		require.Equal(t, 200, first.status)
		time.Sleep(150 * time.Second)
		for _, h := range f.hosts {
			late := f.file(h, key)
			require.Equal(t, 410, late.status, "%s %s", late.outcome, late.reason)
			require.Equal(t, "unknown", late.outcome)
		}
		f.requireOnce(key, first)
	}, func(s *node.Settings) { s.KeyLifetime = 2 * time.Minute })
}

func TestTrimmedLedgerNeverRunsAKeyAgain(t *testing.T) {
	withFleet(t, 6, 28, func(f *fleet) {
		var keys []string
		for i := range 20 {
			key := newKey(t)
			keys = append(keys, key)
			require.Equal(t, 200, f.file(f.hosts[i%6], key).status)
			time.Sleep(time.Second)
		}
		for shard := range 8 {
			f.log.Trim(fmt.Sprintf("ledger-%d", shard), 2)
		}
		for _, h := range f.hosts { // all memory of the fleet is lost
			f.kill(h)
		}
		for i, h := range f.hosts {
			f.start(h, uint64(500+i))
		}
		f.settle()
		for i, key := range keys {
			r := f.file(f.hosts[i%6], key)
			require.NotEqual(t, "notrun", r.outcome, "a key that ran is told notrun: %s", r.reason)
			require.Zero(t, f.runs(key), "ran again after all memory was lost")
		}
	})
}

func TestFilingWithoutKeyIsSentOnce(t *testing.T) {
	withFleet(t, 9, 29, func(f *fleet) {
		desks := f.hostsOf("claims-desk")
		for _, h := range desks {
			h.backend.SetFaults(backend.Faults{FailureRate: 1})
		}
		for i := range 20 {
			token := uuid.NewString()
			r := f.callBody(f.hosts[i%9], "POST", "/claims/file", "solicitor", "x", backend.HeaderToken, token)
			require.Equal(t, 500, r.status)
			require.Equal(t, "ran", r.outcome)
			require.Equal(t, int64(1), f.runs(token))
		}
	})
}

// Appends for each filing at several rates, against the append budget of 200 a
// second for all shards together.
func TestAppendsPerFiling(t *testing.T) {
	const budget = 200.0 // appends a second
	for _, rate := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			withFleet(t, 12, 30, func(f *fleet) {
				for _, h := range f.hostsOf("claims-desk") {
					h.backend.SetFaults(backend.Faults{ServiceTimeFactor: 0.01})
				}
				const seconds = 5
				before := f.log.Stats().Appends
				replies := f.background(rate, func(i int) reply { return f.file(f.hosts[i%len(f.hosts)], newKey(t)) })
				time.Sleep(seconds * time.Second)
				ran := 0
				for _, r := range replies() {
					if r.outcome == "ran" {
						ran++
					}
				}
				appends := f.log.Stats().Appends - before
				perSecond := float64(appends) / seconds
				t.Logf("%d filings a second: %.1f appends a second, %.2f a filing, %d ran", rate, perSecond, float64(appends)/float64(ran), ran)
				require.LessOrEqual(t, perSecond, budget)
				require.GreaterOrEqual(t, ran, rate*seconds*95/100)
			})
		})
	}
}
