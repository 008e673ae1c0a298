package sidecar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// answerMargin is how much longer than the target's time an answer is waited for.
const answerMargin = 10 * time.Millisecond

// linkCaller sends calls to other nodes.
type linkCaller struct{ node *Node }

// Run implements dispatch.Links.
func (c linkCaller) Run(ctx context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	call.SenderID, call.SentAt = c.node.sender, transit.Now()
	payload, err := method.Encode(call)
	if err != nil {
		c.node.logger.Error("call not encoded", zap.String("request", call.ID), logging.Error(err))
		return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+answerMargin)
	defer cancel()
	data, err := c.node.pool.Request(ctx, addr, method.MeshCall, payload)
	if err != nil {
		return c.lost(ctx, addr, call, err)
	}
	answer := &cicadaseam.MeshAnswer{}
	if err := method.Decode(data, answer); err != nil {
		c.node.logger.Error("answer not decoded", zap.String("request", call.ID), zap.String("peer", addr), logging.Error(err))
		return &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonLinkLost, ReachedBackend: true}
	}
	return answer
}

// lost tells what is known of a call without an answer.
func (c linkCaller) lost(ctx context.Context, addr string, call *cicadaseam.MeshCall, err error) *cicadaseam.MeshAnswer {
	var le *mux.LinkError
	a := &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonLinkLost, ReachedBackend: true}
	if errors.As(err, &le) && !le.Sent {
		a.Outcome = cicadaseam.OutcomeNotRun
		a.ReachedBackend = false
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Reason = cicadaseam.ReasonDeadline
	case ctx.Err() != nil:
		a.Reason = cicadaseam.ReasonCanceled
	default:
		c.node.logger.Info("link failed", zap.String("request", call.ID), zap.String("peer", addr), logging.Error(err))
	}
	return a
}

// serveLink serves the requests of other nodes.
func (n *Node) serveLink(ctx context.Context, m uint8, payload []byte) ([]byte, error) {
	switch m {
	case method.MeshCall:
		var call cicadaseam.MeshCall
		if err := method.Decode(payload, &call); err != nil {
			return nil, err
		}
		if n.closing.Load() {
			return method.Encode(&cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonDraining})
		}
		n.age(&call)
		return method.Encode(n.target.Run(ctx, &call))
	case method.Document:
		var have uint64
		if err := method.Decode(payload, &have); err != nil {
			return nil, err
		}
		return n.keeper.UpdateSince(have)
	case method.Departed:
		var addr string
		if err := method.Decode(payload, &addr); err != nil {
			return nil, err
		}
		left := n.fleet.Departed(addr)
		return method.Encode(&left)
	}
	return nil, errors.Newf("unknown method %d", m)
}

// lateCall is the time on the way from which on a call is logged and counted as late.
const lateCall = 100 * time.Millisecond

// age takes the time that a call was on its way off the times that it has left.
func (n *Node) age(call *cicadaseam.MeshCall) {
	late := n.gauge.ExcessDelay(transit.Now(), call.SenderID, call.SentAt)
	if late >= lateCall {
		n.meter.ObserveLateCall()
		n.logger.Info("call came late", zap.String("request", call.ID), zap.Duration("late", late), zap.Duration("budget", call.Timeout), zap.Duration("wait", call.MaxWait))
	}
	call.Timeout -= late
	call.MaxWait = max(call.MaxWait-late, 0)
	call.LatencyBudget -= late
}

// fetch asks another node for what follows a revision.
func (n *Node) fetch(ctx context.Context, addr string, have uint64) ([]byte, error) {
	payload, err := method.Encode(&have)
	if err != nil {
		return nil, err
	}
	return n.bulk.Request(ctx, addr, method.Document, payload)
}
