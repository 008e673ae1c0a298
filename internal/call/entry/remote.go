package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
)

const (
	// resolveTimeout bounds the question what became of an attempt.
	resolveTimeout = 2 * time.Second
)

// callMessage is a call for one node: another process at the same address
// refuses it.
type callMessage struct {
	To   string          `msgpack:"t"`
	Call cicadaseam.Call `msgpack:"c"`
}

// resolveMessage asks a node what became of an attempt.
type resolveMessage struct {
	To      string        `msgpack:"t"`
	Attempt string        `msgpack:"a"`
	Wait    time.Duration `msgpack:"w"`
	// Inquire asks without voiding.
	Inquire bool `msgpack:"q,omitempty"`
}

// Remote sends calls to other nodes.
type Remote struct {
	pool *mux.Pool
}

// NewRemote returns a Remote over a pool of links.
func NewRemote(pool *mux.Pool) *Remote { return &Remote{pool: pool} }

// Call sends a call and returns its answer, or what is known without one.
func (r *Remote) Call(ctx context.Context, m cicadaseam.Member, call *cicadaseam.Call) *cicadaseam.Answer {
	payload, err := method.Encode(&callMessage{To: m.ID, Call: *call})
	if err != nil {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	}
	data, err := r.pool.Request(ctx, m.Addr, method.Call, payload)
	if err == nil {
		var answer cicadaseam.Answer
		if err = method.Decode(data, &answer); err == nil {
			return &answer
		}
	}
	return r.lost(ctx, m, call, err)
}

// lost says what is known of a call whose answer did not come.
func (r *Remote) lost(ctx context.Context, m cicadaseam.Member, call *cicadaseam.Call, err error) *cicadaseam.Answer {
	reason := cicadaseam.ReasonLinkLost
	if ctx.Err() != nil {
		reason = cicadaseam.ReasonDeadline
	}
	var link *mux.LinkError
	if errors.As(err, &link) && !link.Sent {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryTarget}
	}
	if call.Idempotent {
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: reason}
	}
	return r.settle(ctx, m, call, reason)
}

// settle asks the target what became of a non-idempotent attempt.
func (r *Remote) settle(ctx context.Context, m cicadaseam.Member, call *cicadaseam.Call, reason cicadaseam.Reason) *cicadaseam.Answer {
	deadline, _ := ctx.Deadline()
	askCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(resolveMargin))
	defer cancel()
	res := r.Resolve(askCtx, m.ID, m.Addr, call.AttemptID, time.Until(deadline))
	switch {
	case res.State == target.ResolutionVoid:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: reason, RetryAfter: retryTarget}
	case res.State == target.ResolutionFinished && res.Answer != nil:
		return res.Answer
	case res.State == target.ResolutionFinished:
		return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeRan, Reason: cicadaseam.ReasonKeyLost}
	}
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeUnknown, Reason: reason}
}

// Resolve asks the target of an own attempt what became of it.
func (r *Remote) Resolve(ctx context.Context, node, addr, attempt string, wait time.Duration) target.Resolution {
	return r.ask(ctx, addr, resolveMessage{To: node, Attempt: attempt, Wait: max(wait, 0)})
}

// Inquire implements target.Resolver.
func (r *Remote) Inquire(ctx context.Context, node, addr, attempt string, wait time.Duration) target.Resolution {
	return r.ask(ctx, addr, resolveMessage{To: node, Attempt: attempt, Wait: max(wait, 0), Inquire: true})
}

func (r *Remote) ask(ctx context.Context, addr string, message resolveMessage) target.Resolution {
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
	var res target.Resolution
	if err := method.Decode(data, &res); err != nil {
		return target.Resolution{}
	}
	return res
}

// Serve answers the call and resolve requests of peers at the node with an id.
// The entry node may be at a newer version than this one. A call of a service
// that the table here does not hold has no limits to run under, and does not
// run.
func (e *Entry) ServePeer(ctx context.Context, m uint8, payload []byte) ([]byte, error) {
	if m == method.Resolve {
		return e.serveResolve(ctx, payload)
	}
	var message callMessage
	if err := method.Decode(payload, &message); err != nil {
		return nil, err
	}
	call := &message.Call
	if message.To != e.fleet.View().Self.ID {
		return method.Encode(&cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonDraining})
	}
	table := e.config.Table()
	if !e.ready() || !table.Services[call.Service] {
		return method.Encode(&cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonNotReady, RetryAfter: retryTarget})
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
	if message.To != e.fleet.View().Self.ID {
		return method.Encode(&target.Resolution{State: target.ResolutionLost})
	}
	ask := e.local.Resolve
	if message.Inquire {
		ask = e.local.Inquire
	}
	res := ask(ctx, message.Attempt, message.Wait)
	return method.Encode(&res)
}
