package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// cancelShare is the part of the grace period after which the requests that are
	// still in flight are canceled, so that their replies, and those queued behind
	// them, are delivered in time.
	cancelShare = 0.85
	// cancelTimeout bounds the time for delivering these replies. The rest of the grace
	// period is kept in reserve, so that the process exits before it is killed.
	cancelTimeout = 200 * time.Millisecond
	// flushDelay is the time for the last answers to be sent on the links.
	flushDelay = 50 * time.Millisecond
)

// drain finishes the work of this node. What is not expected to end before the requests in
// flight are canceled is refused, so that its caller can send it elsewhere. It reports
// whether all requests were answered without being canceled.
func (n *Node) drain() bool {
	start := time.Now()
	cancelAt := start.Add(time.Duration(cancelShare * float64(n.settings.GracePeriod)))
	n.leaving.Store(true)
	n.fleet.NotifyAll()
	n.dispatch.EndBy(cancelAt)
	n.target.StopBy(start, cancelAt)
	n.front.Drain()
	n.logger.Info("node draining", zap.Int64("open", n.front.InFlight()), zap.Int("running", n.target.Load(start).InFlight))
	time.Sleep(min(n.settings.DrainDelay, time.Until(cancelAt)))
	n.refusingCalls.Store(true)
	n.fleet.NotifyAll()
	n.front.StopAccepting(n.listeners.calls)
	ctx, cancel := context.WithDeadline(context.Background(), cancelAt)
	defer cancel()
	allAnswered := n.front.Shutdown(ctx)
	allAnswered = n.links.Drain(ctx) && allAnswered
	if !allAnswered {
		n.cancelRequests()
	}
	time.Sleep(flushDelay)
	return allAnswered
}

// cancelRequests cancels the requests that are still in flight, which answers them.
func (n *Node) cancelRequests() {
	n.logger.Warn("open requests canceled", zap.Int64("open", n.front.InFlight()))
	n.front.CancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	n.front.Shutdown(ctx)
}
