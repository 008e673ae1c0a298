package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/client/http1"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
)

const (
	// resolveTimeout bounds the request that asks for the outcome of an attempt.
	resolveTimeout = 2 * time.Second
)

// callMessage sends a call to the node with the ID To. Another process that has
// taken over the address refuses it.
type callMessage struct {
	To   string          `msgpack:"t"`
	Call cicadaseam.Call `msgpack:"c"`
}

// resolveMessage asks the node with the ID To for the outcome of an attempt. Wait
// bounds how long that node waits for the attempt to finish.
type resolveMessage struct {
	To        string        `msgpack:"t"`
	AttemptID string        `msgpack:"a"`
	Wait      time.Duration `msgpack:"w"`
	// Inquire asks without voiding an attempt that has not started.
	Inquire bool `msgpack:"q,omitempty"`
}

// Remote sends calls to other nodes.
type Remote struct {
	pool *mux.Pool
}

// NewRemote returns a Remote over a pool of links.
func NewRemote(pool *mux.Pool) *Remote { return &Remote{pool: pool} }

// Call sends a call to a member and returns the member's answer. If none arrives, Call
// returns an answer with the outcome as far as it is known.
func (r *Remote) Call(ctx context.Context, member cicadaseam.Member, call *cicadaseam.Call) *cicadaseam.Answer {
	payload, err := method.Encode(&callMessage{To: member.ID, Call: *call})
	if err != nil {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	}
	data, err := r.pool.Request(ctx, member.Addr, method.Call, payload)
	if err == nil {
		var answer cicadaseam.Answer
		if err = method.Decode(data, &answer); err == nil {
			err = http1.CheckHeaders(answer.Status, answer.Headers) // a node of an earlier release may pass on more
		}
		if err == nil {
			return &answer
		}
	}
	return r.handleLost(ctx, member, call, err)
}

// handleLost returns an answer that says what is known of a call whose answer did not
// arrive.
func (r *Remote) handleLost(ctx context.Context, member cicadaseam.Member, call *cicadaseam.Call, err error) *cicadaseam.Answer {
	reason := cicadaseam.ReasonLinkLost
	if ctx.Err() != nil {
		reason = cicadaseam.ReasonDeadline
	}
	var linkErr *mux.LinkError
	if errors.As(err, &linkErr) && !linkErr.Sent {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryAfterUnavailable}
	}
	if call.Idempotent {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: reason}
	}
	return r.resolveLost(ctx, member, call, reason)
}

// resolveLost asks the target for the outcome of a non-idempotent attempt whose answer
// did not arrive.
func (r *Remote) resolveLost(ctx context.Context, member cicadaseam.Member, call *cicadaseam.Call, reason cicadaseam.Reason) *cicadaseam.Answer {
	deadline, _ := ctx.Deadline()
	resolveCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(resolveMargin))
	defer cancel()
	resolution := r.Resolve(resolveCtx, member.ID, member.Addr, call.AttemptID, time.Until(deadline))
	switch {
	case resolution.State == target.ResolutionVoid:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryAfterUnavailable}
	case resolution.State == target.ResolutionFinished && resolution.Answer != nil && http1.CheckHeaders(resolution.Answer.Status, resolution.Answer.Headers) == nil:
		return resolution.Answer
	case resolution.State == target.ResolutionFinished:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Reason: cicadaseam.ReasonKeyLost}
	}
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: reason}
}

// Resolve asks the target of an attempt of this node for its outcome. The target voids
// an attempt that has not started or not even arrived.
func (r *Remote) Resolve(ctx context.Context, nodeID, addr, attemptID string, wait time.Duration) target.Resolution {
	return r.sendResolve(ctx, addr, resolveMessage{To: nodeID, AttemptID: attemptID, Wait: max(wait, 0)})
}

// Inquire implements target.Resolver. It asks for the outcome of an attempt without
// voiding it.
func (r *Remote) Inquire(ctx context.Context, nodeID, addr, attemptID string, wait time.Duration) target.Resolution {
	return r.sendResolve(ctx, addr, resolveMessage{To: nodeID, AttemptID: attemptID, Wait: max(wait, 0), Inquire: true})
}

// sendResolve sends a resolve request and returns the answer, or a Resolution with the
// state ResolutionLost when the node does not answer.
func (r *Remote) sendResolve(ctx context.Context, addr string, message resolveMessage) target.Resolution {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	payload, err := method.Encode(&message)
	if err != nil {
		return target.Resolution{}
	}
	data, err := r.pool.Request(ctx, addr, method.Resolve, payload)
	if err != nil {
		return target.Resolution{}
	}
	var resolution target.Resolution
	if err := method.Decode(data, &resolution); err != nil {
		return target.Resolution{}
	}
	return resolution
}

// ServePeer answers the call and resolve requests of other nodes that are addressed to
// the ID of this node. The entry node of a call may have a newer version of the
// configuration than this node. A call of a service that the table of this node does
// not contain would have no limits, and so it is not run.
func (e *Entry) ServePeer(ctx context.Context, methodID uint8, payload []byte) ([]byte, error) {
	if methodID == method.Resolve {
		return e.serveResolve(ctx, payload)
	}
	var message callMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	call := &message.Call
	if message.To != e.membership.View().Self.ID {
		return method.Encode(&cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonDraining})
	}
	table := e.tables.Table()
	if !e.ready() || !table.Services[call.Service] {
		return method.Encode(&cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonNotReady, RetryAfter: retryAfterUnavailable})
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	return method.Encode(e.local.Handle(ctx, call, table.Policy(call.Service, call.Class)))
}

func (e *Entry) serveResolve(ctx context.Context, payload []byte) ([]byte, error) {
	var message resolveMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	if message.To != e.membership.View().Self.ID {
		return method.Encode(&target.Resolution{State: target.ResolutionLost})
	}
	resolve := e.local.Resolve
	if message.Inquire {
		resolve = e.local.Inquire
	}
	resolution := resolve(ctx, message.AttemptID, message.Wait)
	return method.Encode(&resolution)
}
