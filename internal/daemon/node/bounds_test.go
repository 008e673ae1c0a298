package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// Targets of the letter.
const (
	controlTarget  = 30 << 10 // bytes a second a node
	convergeTarget = 3 * time.Second
	// flatTarget is how much the load on the log may differ between fleets
	// whose zones all have more nodes than readers.
	flatTarget = 0.20
)

// The load on the log does not grow with the fleet, a change is in force in
// time, and control stays within its bytes.
func TestLoadOnTheLogIsFlat(t *testing.T) {
	reads, rejected := map[int]float64{}, map[int]float64{}
	for _, n := range []int{12, 24, 48} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			withFleet(t, n, 50, func(f *fleet) {
				time.Sleep(10 * time.Second)
				before, control := f.log.Stats(), f.control()
				const length = 30 * time.Second
				began := time.Now()
				time.Sleep(length)
				after := f.log.Stats()
				reads[n] = float64(after.Reads-before.Reads) / length.Seconds()
				t.Logf("%d nodes in 4 zones: %.2f reads a second", n, reads[n])
				f.requireControl(control, time.Since(began))

				began = time.Now()
				d := f.publish(f.hosts[n/2], "4s")
				require.True(t, f.eventually(convergeTarget, func() bool { return f.atVersion(d.Version) }))
				t.Logf("a change is in force after %s of virtual time", time.Since(began))

				f.log.SetFaults(logstore.Faults{Outage: true})
				time.Sleep(length)
				rejected[n] = float64(f.log.Stats().Rejected) / length.Seconds()
				t.Logf("during an outage: %.2f requests a second", rejected[n])
				f.log.SetFaults(logstore.Faults{})
			})
		})
	}
	for n, r := range reads {
		require.InEpsilon(t, reads[12], r, flatTarget, "%d nodes", n)
		// Nodes that lose patience come on top of the readers' requests.
		require.LessOrEqual(t, rejected[n], 2*reads[12], "%d nodes during an outage", n)
	}
}

// Endpoint churn stays within the bytes: a backend server leaves and returns
// twice a second.
func TestControlBytesUnderChurn(t *testing.T) {
	withFleet(t, 24, 51, func(f *fleet) {
		time.Sleep(5 * time.Second)
		control, began := f.control(), time.Now()
		for i := range 60 {
			h := f.hosts[i%24]
			require.NoError(t, h.backend.Drain(context.Background()))
			time.Sleep(250 * time.Millisecond)
			require.NoError(t, h.backend.Reannounce(context.Background()))
			time.Sleep(250 * time.Millisecond)
		}
		f.requireControl(control, time.Since(began))
	})
}

// A herd's return costs the log a bounded number of requests a node.
// A change is in force everywhere within 3 s also where regions are far apart:
// 1 ms in a zone, 5 ms in a region, 80 ms between regions and to the log.
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
			case a/2 == b/2: // two zones are a region
				return 5 * time.Millisecond
			}
			return 80 * time.Millisecond
		})
		f.log.SetFaults(logstore.Faults{Delay: 80 * time.Millisecond})
		f.silenceAll() // connections opened without latency
		time.Sleep(30 * time.Second)
		worst := time.Duration(0)
		for i := range 10 {
			began := time.Now()
			d := f.publish(f.hosts[i*4], fmt.Sprintf("%ds", 4+i))
			require.True(t, f.eventually(convergeTarget, func() bool { return f.atVersion(d.Version) }))
			t.Logf("change %d: %s", i, time.Since(began))
			worst = max(worst, time.Since(began))
			time.Sleep(time.Second)
		}
		t.Logf("worst of 10 changes, from the operator's request on: %s", worst)
		require.LessOrEqual(t, worst, convergeTarget)
	})
}

// A change is in force everywhere within 3 s also where each link went silent since it
// was last used.
func TestChangeOverSilentLinks(t *testing.T) {
	withFleet(t, 48, 54, func(f *fleet) {
		for i := range 20 {
			f.silenceAll()
			time.Sleep(10 * time.Second)
			began := time.Now()
			d := f.publish(f.hosts[i*2], fmt.Sprintf("%ds", 4+i))
			require.True(t, f.eventually(convergeTarget, func() bool { return f.atVersion(d.Version) }), "change %d", i)
			t.Logf("change %d: %s", i, time.Since(began))
		}
	})
}

// silenceAll loses what is sent on the connections between nodes from now on.
func (f *fleet) silenceAll() {
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if other != h {
				f.net.BlackholeConns(h.ip, other.ip)
			}
		}
	}
}

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
		f.settle()
		after := f.log.Stats()
		seconds := time.Since(began).Seconds()
		appends := float64(after.Appends - before.Appends)
		t.Logf("48 nodes back after %.1f s: %.0f appends, %.0f reads and looks, %.0f bytes", seconds, appends,
			float64(after.Reads+after.Bounds-before.Reads-before.Bounds), float64(after.ReadBytes-before.ReadBytes))
		// The log takes several hundred appends a second from all of us, also
		// from 720 nodes that append as much each.
		require.LessOrEqual(t, appends/seconds*720/48, 400.0)
	})
}

func (f *fleet) control() []int64 {
	var out []int64
	for _, h := range f.hosts {
		out = append(out, h.node.Metrics().Value("control.bytes"))
	}
	return out
}

func (f *fleet) requireControl(before []int64, over time.Duration) {
	f.t.Helper()
	worst, sum := int64(0), int64(0)
	for i, now := range f.control() {
		worst = max(worst, now-before[i])
		sum += now - before[i]
	}
	seconds := over.Seconds()
	f.t.Logf("control bytes both ways: mean %.0f, busiest %.0f B/s", float64(sum)/seconds/float64(len(before)), float64(worst)/seconds)
	require.LessOrEqual(f.t, float64(worst)/seconds, float64(controlTarget))
}
