package sidecar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/logging"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/mesh/transit"
)

// answerMargin is added to the timeout of a call, so that the answer of a target that
// uses the whole timeout still arrives.
const answerMargin = 10 * time.Millisecond

// remoteTargets runs calls at other nodes. It implements dispatch.RemoteTargets.
type remoteTargets struct{ node *Node }

// Run sends a call to the node at an address and waits for the answer.
func (r remoteTargets) Run(ctx context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	call.SenderID, call.SentAt = r.node.senderID, transit.Now()
	payload, err := method.EncodeParts(call)
	if err != nil {
		r.node.logger.Error("call not encoded", zap.String("request", call.ID), logging.Error(err))
		return &cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+answerMargin)
	defer cancel()
	data, err := r.node.pool.RequestParts(ctx, addr, method.MeshCall, payload)
	if err != nil {
		return r.lostAnswer(ctx, addr, call, err)
	}
	answer := &cicadaseam.MeshAnswer{}
	err = method.DecodeShared(data, answer, &answer.Body)
	if err == nil {
		err = http1.CheckHeaders(answer.Status, answer.Headers) // a node of an earlier release may pass on more
	}
	if err != nil {
		r.node.logger.Error("answer not decoded", zap.String("request", call.ID), zap.String("peer", addr), logging.Error(err))
		return &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonLinkLost, ReachedBackend: true}
	}
	return answer
}

// lostAnswer returns the answer for a call that failed with err, for which no answer came
// from the other node. A call that was sent may have reached the backend server and counts
// as if it had.
func (r remoteTargets) lostAnswer(ctx context.Context, addr string, call *cicadaseam.MeshCall, err error) *cicadaseam.MeshAnswer {
	var linkErr *mux.LinkError
	answer := &cicadaseam.MeshAnswer{Reason: cicadaseam.ReasonLinkLost, ReachedBackend: true}
	if errors.As(err, &linkErr) && !linkErr.Sent {
		answer.Outcome = cicadaseam.OutcomeNotRun
		answer.ReachedBackend = false
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		answer.Reason = cicadaseam.ReasonDeadline
	case ctx.Err() != nil:
		answer.Reason = cicadaseam.ReasonCanceled
	case linkErr != nil && linkErr.Refused:
		answer.Reason = cicadaseam.ReasonQueueFull // the peer has no room for the request
	default:
		r.node.logger.Info("link failed", zap.String("request", call.ID), zap.String("peer", addr), logging.Error(err))
	}
	return answer
}

// handleLinkRequest handles a request of another node.
func (n *Node) handleLinkRequest(ctx context.Context, methodID uint8, payload []byte) ([][]byte, error) {
	if methodID == method.MeshCall {
		return n.runCall(ctx, payload)
	}
	data, err := n.handleControlRequest(methodID, payload)
	return [][]byte{data}, err
}

// runCall runs a call of another node at the backend server, and returns the encoded answer.
func (n *Node) runCall(ctx context.Context, payload []byte) ([][]byte, error) {
	var call cicadaseam.MeshCall
	if err := method.DecodeShared(payload, &call, &call.Body); err != nil {
		return nil, err
	}
	if n.refusingCalls.Load() {
		return method.EncodeParts(&cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonDraining})
	}
	n.deductDelay(&call)
	return method.EncodeParts(n.target.Run(ctx, &call))
}

// handleControlRequest handles a request of another node that is no call.
func (n *Node) handleControlRequest(methodID uint8, payload []byte) ([]byte, error) {
	switch methodID {
	case method.Document:
		var have cicadaseam.RevisionID
		if err := method.Decode(payload, &have); err != nil {
			return nil, err
		}
		return n.syncer.UpdateSince(have)
	case method.Departed:
		var addr string
		if err := method.Decode(payload, &addr); err != nil {
			return nil, err
		}
		departed := n.fleet.Departed(addr)
		return method.Encode(&departed)
	case method.Suspicions:
		suspicions := n.guard.Suspicions(time.Now())
		return method.Encode(&suspicions)
	case method.Proof:
		return n.answerProof(payload)
	case method.Token:
		return n.serveToken(payload)
	}
	return nil, errors.Newf("unknown method %d", methodID)
}

// lateThreshold is the excess delay from which on a call is logged and counted as late.
const lateThreshold = 100 * time.Millisecond

// deductDelay subtracts the time that a call was held up in transit from its timeout, the
// wait for a slot and the latency budget, which its sender computed when it sent the call.
func (n *Node) deductDelay(call *cicadaseam.MeshCall) {
	delay := n.delayEstimator.ExcessDelay(transit.Now(), call.SenderID, call.SentAt)
	if delay >= lateThreshold {
		n.meter.ObserveLateCall()
		n.logger.Info("call delayed in transit", zap.String("request", call.ID), zap.Duration("late", delay), zap.Duration("budget", call.Timeout), zap.Duration("wait", call.MaxWait))
	}
	call.Timeout -= delay
	call.MaxWait = max(call.MaxWait-delay, 0)
	call.LatencyBudget -= delay
}

// fetchUpdate asks another node for what changed since the revision have, and returns the
// encoded update.
func (n *Node) fetchUpdate(ctx context.Context, addr string, have cicadaseam.RevisionID) ([]byte, error) {
	payload, err := method.Encode(&have)
	if err != nil {
		return nil, err
	}
	return n.bulkPool.Request(ctx, addr, method.Document, payload)
}
