package node

import (
	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/metrics"
	"github.com/cicadaseam/cicadaseam/internal/config/distribution"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
)

// newMetrics returns the set of all metrics of the node.
func (n *Node) newMetrics() *metrics.Set {
	s := metrics.New()
	n.configMetrics(s)
	n.callMetrics(s)
	n.trafficMetrics(s)
	return s
}

func (n *Node) configMetrics(s *metrics.Set) {
	s.Gauge("config.version", func() int64 { return int64(n.store.Table().Version) })
	s.Gauge("config.position", func() int64 {
		position, _ := n.store.Position()
		return int64(position)
	})
	s.Gauge("config.halted", func() int64 {
		if n.store.Halted() != nil {
			return 1
		}
		return 0
	})
	s.Gauge("config.log-age-ms", n.logAgeMillis)
	c := n.feed.Counters()
	s.Gauge("config.log-reads", c.LogReads.Load)
	s.Gauge("config.log-errors", c.LogErrors.Load)
	s.Gauge("config.pushes-out", c.PushesSent.Load)
	s.Gauge("config.pushes-in", c.PushesReceived.Load)
	s.Gauge("config.pushes-new", c.PushesNew.Load)
	s.Gauge("config.fetches", c.Fetches.Load)
	s.Gauge("config.snapshots", c.Snapshots.Load)
	s.Gauge("config.divergence", c.Divergences.Load)
}

func (n *Node) callMetrics(s *metrics.Set) {
	e := n.entry.Counters()
	s.Gauge("entry.calls", e.Calls.Load)
	s.Gauge("entry.attempts", e.Attempts.Load)
	s.Gauge("entry.retries", e.Retries.Load)
	s.Gauge("entry.shed", e.Shed.Load)
	t := n.target.Counters()
	s.Gauge("target.ran", t.Ran.Load)
	s.Gauge("target.not-run", t.NotRun.Load)
	s.Gauge("target.unknown", t.Unknown.Load)
	s.Gauge("target.crashes", t.Crashes.Load)
	s.Gauge("target.voids", t.Voids.Load)
	s.Gauge("target.in-flight", func() int64 { return int64(n.target.Load().InFlight) })
	s.Gauge("target.queued", func() int64 { return int64(n.target.Load().Queued) })
	s.Gauge("target.limit", func() int64 { return int64(n.target.Load().Limit) })
	s.Gauge("target.level", func() int64 { return int64(n.target.Load().MinPriority) })
	w := n.writer.Counters()
	s.Gauge("ledger.ops", w.Ops.Load)
	s.Gauge("ledger.appends", w.Appends.Load)
	s.Gauge("ledger.reads", w.Reads.Load)
	s.Gauge("ledger.errors", w.Errors.Load)
}

func (n *Node) trafficMetrics(s *metrics.Set) {
	p := n.pool.Counters()
	s.Gauge("link.bytes-out", func() int64 { return p.BytesOut.Load() + n.links.Counters().BytesOut.Load() })
	s.Gauge("link.bytes-in", func() int64 { return p.BytesIn.Load() + n.links.Counters().BytesIn.Load() })
	for m, name := range method.Names {
		s.Gauge("link.bytes."+name, func() int64 { return n.methodBytes(m) })
	}
	s.Gauge("link.dials", p.Dials.Load)
	s.Gauge("link.silent", p.PingTimeouts.Load)
	s.Gauge("link.late-frames", p.DroppedFrames.Load)
	s.Gauge("control.bytes", n.controlBytes)
	g := n.gossip.Counters()
	s.Gauge("gossip.bytes-out", g.BytesOut.Load)
	s.Gauge("gossip.bytes-in", g.BytesIn.Load)
	s.Gauge("gossip.packets-out", g.PacketsOut.Load)
	s.Gauge("gossip.packets-in", g.PacketsIn.Load)
	s.Gauge("gossip.syncs", g.Syncs.Load)
	s.Gauge("gossip.bad-packets", g.BadPackets.Load)
	s.Gauge("member.alive", func() int64 { return n.countMembers(cicadaseam.MemberAlive) })
	s.Gauge("member.suspect", func() int64 { return n.countMembers(cicadaseam.MemberSuspect) })
	s.Gauge("member.unreachable", func() int64 { return n.countMembers(cicadaseam.MemberUnreachable) })
	s.Gauge("member.self-doubt", func() int64 {
		_, score := n.gossip.DetectorStats()
		return int64(score)
	})
}

// controlBytes returns the bytes of control traffic sent and received: gossip, and all
// requests between nodes other than calls and their resolution.
func (n *Node) controlBytes() int64 {
	g := n.gossip.Counters()
	total := g.BytesIn.Load() + g.BytesOut.Load()
	for m := range method.Names {
		if m == method.Call || m == method.Resolve {
			continue
		}
		total += n.methodBytes(m)
	}
	return total
}

// methodBytes returns the bytes of one method sent and received, requests and answers.
func (n *Node) methodBytes(m uint8) int64 {
	return n.pool.Counters().MethodBytes[m].Load() + n.links.Counters().MethodBytes[m].Load()
}

// countMembers returns the number of other members in a state.
func (n *Node) countMembers(state cicadaseam.MemberState) int64 {
	count := int64(0)
	for _, peer := range n.gossip.View().Peers {
		if peer.Member.State == state {
			count++
		}
	}
	return count
}

// logAgeMillis returns the time since the last known response of the log in milliseconds, or -1 if
// none is known.
func (n *Node) logAgeMillis() int64 {
	age := n.feed.Status().Age
	if age == distribution.UnknownLogAge {
		return -1
	}
	return age.Milliseconds()
}
