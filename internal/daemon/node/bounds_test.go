package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

const (
	// maxControlRate bounds the control traffic of a node, sent and received, in bytes
	// per second.
	maxControlRate = 30 << 10
	// maxConvergenceTime bounds the time that a published change takes until all nodes
	// have reached its version.
	maxConvergenceTime = 3 * time.Second
	// maxLogLoadDeviation bounds the relative difference of the load on the log between
	// fleets whose zones all have more nodes than readers.
	maxLogLoadDeviation = 0.20
)

// The load on the log does not grow with the fleet, a change takes effect everywhere in
// time, and the control traffic stays within its bound.
func TestLoadOnTheLogIsFlat(t *testing.T) {
	reads, rejected := map[int]float64{}, map[int]float64{}
	for _, n := range []int{12, 24, 48} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			withFleet(t, n, 50, func(f *fleet) {
				time.Sleep(10 * time.Second)
				before, control := f.log.Stats(), f.controlBytes()
				const length = 30 * time.Second
				began := time.Now()
				time.Sleep(length)
				after := f.log.Stats()
				reads[n] = float64(after.Reads-before.Reads) / length.Seconds()
				t.Logf("%d nodes in 4 zones: %.2f log reads per second", n, reads[n])
				f.requireControlRate(control, time.Since(began))

				began = time.Now()
				d := f.publishDeadline(f.hosts[n/2], "4s")
				require.True(t, f.eventually(maxConvergenceTime, func() bool { return f.atVersion(d.Version) }))
				t.Logf("a change took effect after %s of virtual time", time.Since(began))

				f.log.SetFaults(logstore.Faults{Outage: true})
				time.Sleep(length)
				rejected[n] = float64(f.log.Stats().Rejected) / length.Seconds()
				t.Logf("during an outage: %.2f requests to the log per second", rejected[n])
				f.log.SetFaults(logstore.Faults{})
			})
		})
	}
	for n, r := range reads {
		require.InEpsilon(t, reads[12], r, maxLogLoadDeviation, "%d nodes", n)
		// Nodes that have known of no response of the log for too long poll it themselves,
		// in addition to the readers.
		require.LessOrEqual(t, rejected[n], 2*reads[12], "%d nodes during an outage", n)
	}
}

// The control traffic stays within its bound under endpoint churn: twice a second a
// backend server drains and registers again.
func TestControlBytesUnderChurn(t *testing.T) {
	withFleet(t, 24, 51, func(f *fleet) {
		time.Sleep(5 * time.Second)
		control, began := f.controlBytes(), time.Now()
		for i := range 60 {
			h := f.hosts[i%24]
			require.NoError(t, h.backend.Drain(context.Background()))
			time.Sleep(250 * time.Millisecond)
			require.NoError(t, h.backend.Reannounce(context.Background()))
			time.Sleep(250 * time.Millisecond)
		}
		f.requireControlRate(control, time.Since(began))
	})
}

// A change takes effect everywhere within 3 s even if regions are far apart: the one-way
// latency is 1 ms in a zone, 5 ms in a region and 80 ms between regions, and the log
// delays each request by 80 ms.
func TestChangeAcrossRegions(t *testing.T) {
	withFleet(t, 48, 53, func(f *fleet) {
		zoneOf := map[string]int{}
		for i, h := range f.hosts {
			zoneOf[h.ip] = (i / 3) % len(zones)
		}
		f.net.SetLatency(func(from, to string) time.Duration {
			a, knownA := zoneOf[from]
			b, knownB := zoneOf[to]
			switch {
			case !knownA || !knownB || from == to:
				return 0 // the test's own client, and loopback
			case a == b:
				return time.Millisecond
			case a/2 == b/2: // two zones make a region
				return 5 * time.Millisecond
			}
			return 80 * time.Millisecond
		})
		f.log.SetFaults(logstore.Faults{Delay: 80 * time.Millisecond})
		f.blackholeAll() // replaces the connections that were opened without latency
		time.Sleep(30 * time.Second)
		worst := time.Duration(0)
		for i := range 10 {
			began := time.Now()
			d := f.publishDeadline(f.hosts[i*4], fmt.Sprintf("%ds", 4+i))
			require.True(t, f.eventually(maxConvergenceTime, func() bool { return f.atVersion(d.Version) }))
			t.Logf("change %d: %s", i, time.Since(began))
			worst = max(worst, time.Since(began))
			time.Sleep(time.Second)
		}
		t.Logf("slowest of 10 changes, from the operator's request on: %s", worst)
		require.LessOrEqual(t, worst, maxConvergenceTime)
	})
}

// A change takes effect everywhere within 3 s even if every link has gone silent since it
// was last used.
func TestChangeOverSilentLinks(t *testing.T) {
	withFleet(t, 48, 54, func(f *fleet) {
		for i := range 20 {
			f.blackholeAll()
			time.Sleep(10 * time.Second)
			began := time.Now()
			d := f.publishDeadline(f.hosts[i*2], fmt.Sprintf("%ds", 4+i))
			require.True(t, f.eventually(maxConvergenceTime, func() bool { return f.atVersion(d.Version) }), "change %d", i)
			t.Logf("change %d: %s", i, time.Since(began))
		}
	})
}

// blackholeAll makes the open connections between all hosts swallow everything that is
// sent on them from now on.
func (f *fleet) blackholeAll() {
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if other != h {
				f.net.BlackholeConns(h.ip, other.ip)
			}
		}
	}
}

// When all nodes restart at once, the number of appends per node is bounded, so that the log
// can handle the appends of a large fleet.
func TestHerdAtTheLog(t *testing.T) {
	withFleet(t, 48, 52, func(f *fleet) {
		time.Sleep(15 * time.Second)
		for _, h := range f.hosts {
			f.kill(h)
		}
		before, began := f.log.Stats(), time.Now()
		for i, h := range f.hosts {
			f.start(h, uint64(2000+i))
		}
		f.waitSettled()
		after := f.log.Stats()
		seconds := time.Since(began).Seconds()
		appends := float64(after.Appends - before.Appends)
		t.Logf("48 nodes ready again after %.1f s: %.0f appends, %.0f reads and bounds, %.0f bytes read", seconds, appends,
			float64(after.Reads+after.Bounds-before.Reads-before.Bounds), float64(after.ReadBytes-before.ReadBytes))
		// The log takes several hundred appends a second in total. It must be able to take
		// those of 720 nodes, each of which appends as often.
		require.LessOrEqual(t, appends/seconds*720/48, 400.0)
	})
}

// controlBytes returns the bytes of control traffic of each node so far.
func (f *fleet) controlBytes() []int64 {
	var out []int64
	for _, h := range f.hosts {
		out = append(out, h.node.Metrics().Value("control.bytes"))
	}
	return out
}

// requireControlRate checks the rate of control traffic of each node. The values in before
// were returned by controlBytes, and the time over has passed since then.
func (f *fleet) requireControlRate(before []int64, over time.Duration) {
	f.t.Helper()
	worst, sum := int64(0), int64(0)
	for i, now := range f.controlBytes() {
		worst = max(worst, now-before[i])
		sum += now - before[i]
	}
	seconds := over.Seconds()
	f.t.Logf("control traffic, sent and received: mean %.0f, busiest node %.0f B/s", float64(sum)/seconds/float64(len(before)), float64(worst)/seconds)
	require.LessOrEqual(f.t, float64(worst)/seconds, float64(maxControlRate))
}
