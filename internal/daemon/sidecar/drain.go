package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// endMargin is kept of the grace time, so that the process ends by itself.
	endMargin = 700 * time.Millisecond
	// flushTime lets the last answers leave the links.
	flushTime = 50 * time.Millisecond
)

// drain ends the work of this node. It reports whether all was answered.
func (n *Node) drain() bool {
	began := time.Now()
	end := began.Add(n.settings.Grace - endMargin)
	n.leaving.Store(true)
	n.fleet.Tell()
	n.front.Drain()
	n.logger.Info("node leaves", zap.Int64("open", n.front.Open()), zap.Int("running", n.target.Load(began).Running))
	time.Sleep(min(n.settings.Notice, time.Until(end)))
	n.closing.Store(true)
	n.fleet.Tell()
	_ = n.listeners.calls.Close() // no new connection is taken
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	done := n.front.Close(ctx)
	done = n.links.Drain(ctx) && done
	time.Sleep(flushTime)
	return done
}
