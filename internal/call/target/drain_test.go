package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/ledger"
	"github.com/cicadaseam/cicadaseam/internal/call/runner"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// slowLedger grants each claim once it is told to.
type slowLedger struct {
	asked  chan ledger.OpKind
	answer chan struct{}
}

func (l *slowLedger) Submit(_ context.Context, op ledger.Op) (ledger.Result, error) {
	l.asked <- op.Kind
	if op.Kind == ledger.OpClaim {
		<-l.answer
	}
	return ledger.Result{Won: true}, nil
}

// Guards against a call that got a slot, waits for the ledger and is then sent to a backend server that
// has been drained meanwhile, or to that of another service at the same node.
func TestCallThatWaitsForTheLedgerIsNotSentToAServerThatLeft(t *testing.T) {
	for name, leave := range map[string]func(target *Target, r *runner.Runner){
		"drained": func(target *Target, _ *runner.Runner) { target.Drain() },
		"gone":    func(target *Target, _ *runner.Runner) { target.Detach() },
		"replaced": func(target *Target, r *runner.Runner) {
			target.Attach(r, cicadaseam.Backend{Service: "other", Slots: 1, State: cicadaseam.BackendReady})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			defer server.Close()
			l := &slowLedger{asked: make(chan ledger.OpKind, 4), answer: make(chan struct{})}
			target := New("n1", "127.0.0.1:1", l, nil)
			r := runner.New(server.Listener.(*net.TCPListener).Addr().String(), runner.WithMaxConnections(1))
			target.Attach(r, cicadaseam.Backend{Service: "desk", Slots: 1, Connections: 1, State: cicadaseam.BackendReady})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answers := make(chan *cicadaseam.Answer, 1)
			call := &cicadaseam.Call{ID: "q", AttemptID: "q/1", Method: "POST", RequestURI: "/x", Service: "desk", IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
			go func() {
				answers <- target.Handle(ctx, call, tree.Policy{QueueWait: time.Second, QueueLength: 1, MaxAnswer: 1 << 10})
			}()
			require.Equal(t, ledger.OpClaim, <-l.asked)
			leave(target, r)
			close(l.answer)
			answer := <-answers
			require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
			require.Equal(t, cicadaseam.ReasonDraining, answer.Reason)
			require.Zero(t, arrived.Load())
			require.NotEqual(t, ledger.OpClaim, <-l.asked, "its claim is voided, so that a retry with the key can run")
			require.True(t, target.Wait(ctx))
		})
	}
}
