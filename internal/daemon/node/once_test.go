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

// submit sends a non-idempotent request (the submission of an insurance claim) with an
// idempotency key through the node of a host.
func (f *fleet) submit(h *host, key string) reply {
	return f.callBody(h, "POST", "/claims/file", "solicitor", `{"claim":1}`, "Idempotency-Key", key)
}

// requireAtMostOnce checks that a key ran at most once, and the reported outcomes against
// what ran.
func (f *fleet) requireAtMostOnce(key string, replies ...reply) {
	f.t.Helper()
	runs := f.runs(key)
	require.LessOrEqual(f.t, runs, int64(1), "key %s ran %d times", key, runs)
	for _, r := range replies {
		switch r.outcome {
		case "ran":
			require.Equal(f.t, int64(1), runs, "reported as ran: %+v", r)
		case "notrun":
			// Each reply is about its own attempt. Only if there was no other attempt
			// with the key does notrun mean that nothing ran.
			if len(replies) == 1 {
				require.Zero(f.t, runs, "reported as notrun: %+v", r)
			}
		}
	}
}

// A request that is repeated with its key through any node gets the first answer again. The
// same key with another request is refused.
func TestRepeatedKeyGetsTheFirstAnswer(t *testing.T) {
	withFleet(t, 9, 20, func(f *fleet) {
		key := newKey(t)
		first := f.submit(f.hosts[0], key)
		require.Equal(t, 200, first.status, "%s %s", first.outcome, first.reason)
		for _, h := range f.hosts {
			again := f.submit(h, key)
			require.Equal(t, 200, again.status, "%s %s", again.outcome, again.reason)
			require.Equal(t, first.body, again.body)
			require.Equal(t, "true", again.header.Get("Idempotency-Replayed"))
		}
		f.requireAtMostOnce(key, first)
		other := f.callBody(f.hosts[2], "POST", "/claims/file", "solicitor", `{"claim":2}`, "Idempotency-Key", key)
		require.Equal(t, 422, other.status, "the same key with another request")
		f.requireAtMostOnce(key, first)
	})
}

func TestKeysAreScopedToTheCustomer(t *testing.T) {
	withFleet(t, 6, 21, func(f *fleet) {
		key := newKey(t)
		require.Equal(t, 200, f.submit(f.hosts[0], key).status)
		r := f.callBody(f.hosts[1], "POST", "/claims/file", "caseworker", `{"claim":1}`, "Idempotency-Key", key)
		require.Equal(t, 200, r.status)
		require.Empty(t, r.header.Get("Idempotency-Replayed"))
	})
}

func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	withFleet(t, 12, 22, func(f *fleet) {
		for range 10 {
			key := newKey(t)
			replies := make(chan reply, len(f.hosts))
			for _, h := range f.hosts {
				go func() { replies <- f.submit(h, key) }()
			}
			ran := 0
			outcomes := map[string]int{}
			for range f.hosts {
				r := <-replies
				outcomes[r.outcome+" "+r.reason]++
				if r.outcome == "ran" {
					ran++
				}
			}
			require.Positive(t, ran, "%v", outcomes)
			require.Equal(t, int64(1), f.runs(key))
		}
	})
}

// A submission that was running at a target that dies has the outcome unknown. When its key is
// sent again, it neither runs a second time nor is reported as not run.
func TestTargetDiesDuringSubmissions(t *testing.T) {
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
				replies[i] = f.submit(f.hostsOf("status-portal")[0], keys[i])
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
			f.requireAtMostOnce(key, replies[i])
			again := f.submit(f.hostsOf("flight-records")[1], key)
			f.requireAtMostOnce(key, replies[i], again)
			if replies[i].outcome == "unknown" {
				require.NotEqual(t, "notrun", again.outcome, "a key whose target died stays unknown: %s", again.reason)
			}
		}
		t.Logf("%d of %d submissions unknown after their target died", unknown, len(keys))
		require.Positive(t, unknown)
	})
}

func TestSubmissionsWithLostAppendResponses(t *testing.T) {
	withFleet(t, 9, 24, func(f *fleet) {
		f.log.SetFaults(logstore.Faults{LoseAnswers: 0.5, LoseAppends: 0.2})
		outcomes := map[string]int{}
		for i := range 60 {
			key := newKey(t)
			var replies []reply
			for try := range 4 {
				r := f.submit(f.hosts[(i+try)%len(f.hosts)], key)
				replies = append(replies, r)
				outcomes[r.outcome]++
				if r.outcome == "ran" {
					break
				}
			}
			f.requireAtMostOnce(key, replies...)
		}
		t.Logf("outcomes: %v", outcomes)
		require.Positive(t, outcomes["ran"])
	})
}

func TestSubmissionDuringLogOutageIsNotRun(t *testing.T) {
	withFleet(t, 6, 25, func(f *fleet) {
		f.log.SetFaults(logstore.Faults{Outage: true})
		key := newKey(t)
		r := f.submit(f.hosts[0], key)
		require.Equal(t, 503, r.status)
		require.Equal(t, "notrun", r.outcome)
		require.Equal(t, "ledger-unavailable", r.reason)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		f.requireAtMostOnce(key, r)
		f.log.SetFaults(logstore.Faults{})
		time.Sleep(3 * time.Second)
		again := f.submit(f.hosts[1], key)
		require.Equal(t, 200, again.status, "%s %s", again.outcome, again.reason)
		f.requireAtMostOnce(key, again)
	})
}

// A node that was isolated for longer than any timeout, as by a pause, still believes that
// it owns its ledger shards and claims. No key runs twice nevertheless.
func TestIsolatedShardOwners(t *testing.T) {
	withFleet(t, 9, 26, func(f *fleet) {
		rng := rand.New(rand.NewPCG(26, 26))
		for round := range 6 {
			isolated := f.hosts[rng.IntN(len(f.hosts))]
			for _, h := range f.hosts {
				if h != isolated {
					f.net.Partition(isolated.ip, h.ip)
				}
			}
			// Both sides of the partition write to shards that they own in their own view.
			var keys []string
			replies := map[string][]reply{}
			for range 5 {
				key := newKey(t)
				keys = append(keys, key)
				for _, h := range []*host{isolated, f.hosts[(round+1)%len(f.hosts)], f.hosts[(round+5)%len(f.hosts)]} {
					replies[key] = append(replies[key], f.submit(h, key))
				}
			}
			time.Sleep(time.Duration(round) * 8 * time.Second)
			f.net.HealAll()
			time.Sleep(3 * time.Second)
			for _, key := range keys {
				replies[key] = append(replies[key], f.submit(f.hosts[round], key))
				f.requireAtMostOnce(key, replies[key]...)
			}
		}
	})
}

// A key older than its lifetime is refused with the outcome unknown, even if it was never
// used, and so never runs again.
func TestExpiredKeysNeverRunAgain(t *testing.T) {
	withFleet(t, 6, 27, func(f *fleet) {
		key := newKey(t)
		first := f.submit(f.hosts[0], key)
		require.Equal(t, 200, first.status)
		unused := newKey(t)
		time.Sleep(150 * time.Second)
		for i := range 40 { // later submissions advance the floor of each shard
			require.Equal(t, 200, f.submit(f.hosts[i%6], newKey(t)).status)
		}
		late := f.submit(f.hosts[3], key)
		require.Equal(t, 410, late.status, "%s %s", late.outcome, late.reason)
		require.Equal(t, "unknown", late.outcome)
		require.Equal(t, 410, f.submit(f.hosts[3], unused).status, "a key that was never used expires, too")
		f.requireAtMostOnce(key, first)
		fresh := newKey(t)
		require.Equal(t, 200, f.submit(f.hosts[3], fresh).status)
	}, func(s *node.Settings) { s.KeyLifetime = 2 * time.Minute })
}

// A key expires even if no other submissions advance the floor of its shard.
func TestKeyExpiresInAnIdleShard(t *testing.T) {
	withFleet(t, 6, 29, func(f *fleet) {
		key := newKey(t)
		first := f.submit(f.hosts[0], key)
		require.Equal(t, 200, first.status)
		time.Sleep(150 * time.Second)
		for _, h := range f.hosts {
			late := f.submit(h, key)
			require.Equal(t, 410, late.status, "%s %s", late.outcome, late.reason)
			require.Equal(t, "unknown", late.outcome)
		}
		f.requireAtMostOnce(key, first)
	}, func(s *node.Settings) { s.KeyLifetime = 2 * time.Minute })
}

// A key whose ledger records the log has trimmed does not run again, even after all nodes
// have lost their state.
func TestTrimmedLedgerNeverRunsAKeyAgain(t *testing.T) {
	withFleet(t, 6, 28, func(f *fleet) {
		var keys []string
		for i := range 20 {
			key := newKey(t)
			keys = append(keys, key)
			require.Equal(t, 200, f.submit(f.hosts[i%6], key).status)
			time.Sleep(time.Second)
		}
		for shard := range 8 {
			f.log.Trim(fmt.Sprintf("ledger-%d", shard), 2)
		}
		for _, h := range f.hosts { // the fleet loses all its state
			f.kill(h)
		}
		for i, h := range f.hosts {
			f.start(h, uint64(500+i))
		}
		f.waitSettled()
		for i, key := range keys {
			r := f.submit(f.hosts[i%6], key)
			require.NotEqual(t, "notrun", r.outcome, "a key that ran is reported as notrun: %s", r.reason)
			require.Zero(t, f.runs(key), "ran again after all state was lost")
		}
	})
}

func TestSubmissionWithoutKeyIsSentOnce(t *testing.T) {
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

// Measures the appends to the log for each submission at several rates. All shards together
// may append 200 times a second.
func TestAppendsPerFiling(t *testing.T) {
	const budget = 200.0 // appends per second
	for _, rate := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			withFleet(t, 12, 30, func(f *fleet) {
				for _, h := range f.hostsOf("claims-desk") {
					h.backend.SetFaults(backend.Faults{ServiceTimeFactor: 0.01})
				}
				const seconds = 5
				before := f.log.Stats().Appends
				replies := f.startLoad(rate, func(i int) reply { return f.submit(f.hosts[i%len(f.hosts)], newKey(t)) })
				time.Sleep(seconds * time.Second)
				ran := 0
				for _, r := range replies() {
					if r.outcome == "ran" {
						ran++
					}
				}
				appends := f.log.Stats().Appends - before
				perSecond := float64(appends) / seconds
				t.Logf("%d submissions per second: %.1f appends per second, %.2f per submission, %d ran", rate, perSecond, float64(appends)/float64(ran), ran)
				require.LessOrEqual(t, perSecond, budget)
				require.GreaterOrEqual(t, ran, rate*seconds*95/100)
			})
		})
	}
}
