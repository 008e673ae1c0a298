package sidecar

import (
	"context"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
)

// lossPeriod is the time between two log lines about the requests of a route that were lost.
const lossPeriod = time.Second

// logLosses logs the requests that were not served on time until the context ends.
func (n *Node) logLosses(ctx context.Context) {
	tick := n.timers.Subscribe(lossPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			n.meter.losses.Flush(n.logger)
		case <-ctx.Done():
			n.meter.losses.Flush(n.logger)
			return
		}
	}
}

// recordLoss counts a reply by what it lost.
func (m *Meter) recordLoss(r *dispatch.ReplyStats) {
	if m.losses == nil || r.Route == "" {
		return
	}
	m.losses.Record(losses.Reply{
		Route: r.Route, Outcome: r.Outcome, Status: r.Status, Reason: r.Reason, Returning: r.Returning, Budget: r.Budget,
		Latency: r.Latency, QueueTime: r.QueueTime, BackendTime: r.BackendTime,
	})
}
