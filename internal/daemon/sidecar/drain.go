package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// giveUpShare is the part of the grace time after which requests that are still
	// open are given up, so that the answers behind them are delivered.
	giveUpShare = 0.85
	// lastAnswers is the time for these answers. The rest of the grace time is kept, so
	// that the process ends by itself.
	lastAnswers = 200 * time.Millisecond
	// flushTime lets the last answers leave the links.
	flushTime = 50 * time.Millisecond
)

// drain ends the work of this node. It reports whether all was answered.
func (n *Node) drain() bool {
	began := time.Now()
	giveUp := began.Add(time.Duration(giveUpShare * float64(n.settings.GracePeriod)))
	n.leaving.Store(true)
	n.fleet.NotifyAll()
	n.front.Drain()
	n.logger.Info("node leaves", zap.Int64("open", n.front.InFlight()), zap.Int("running", n.target.Load(began).InFlight))
	time.Sleep(min(n.settings.DrainDelay, time.Until(giveUp)))
	n.closing.Store(true)
	n.fleet.NotifyAll()
	_ = n.listeners.calls.Close() // no new connection is taken
	ctx, cancel := context.WithDeadline(context.Background(), giveUp)
	defer cancel()
	done := n.front.Shutdown(ctx)
	done = n.links.Drain(ctx) && done
	if !done {
		n.giveUpOpen()
	}
	time.Sleep(flushTime)
	return done
}

// giveUpOpen answers what is still open.
func (n *Node) giveUpOpen() {
	n.logger.Warn("requests given up", zap.Int64("open", n.front.InFlight()))
	n.front.CancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	n.front.Shutdown(ctx)
}
