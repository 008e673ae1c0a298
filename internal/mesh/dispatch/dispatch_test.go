package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// world is a fleet in which each target answers by a script.
type world struct {
	table   *route.Table
	peers   []*fleet.Peer
	answers map[string]func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
	asked   []string
}

func (w *world) Table() *route.Table { return w.table }

func (w *world) Peers() []*fleet.Peer { return w.peers }

func (w *world) Run(_ context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	w.asked = append(w.asked, addr)
	return w.answers[addr](call)
}

// noLocal is a node without a backend server.
type noLocal struct{}

func (noLocal) Run(context.Context, *cicadaseam.MeshCall) *cicadaseam.MeshAnswer { return nil }

func (noLocal) Instance(time.Time) (cicadaseam.Instance, bool) { return cicadaseam.Instance{}, false }

func (noLocal) IsRunning(string) bool { return false }

func (noLocal) Load(time.Time) cicadaseam.MeshLoad { return cicadaseam.MeshLoad{} }

func newWorld(t *testing.T, idempotent bool) *world {
	table, err := route.New(&cicadaseam.Revision{Number: 1, Routes: []cicadaseam.MeshRoute{{
		Name: "filing", Host: "a.example", PathPrefix: "/x/", Idempotent: idempotent, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond,
		MaxAttempts: 2, TrafficSplit: []cicadaseam.WeightedService{{Service: "desk", Weight: 1}},
	}}})
	require.NoError(t, err)
	return &world{table: table, answers: map[string]func(*cicadaseam.MeshCall) *cicadaseam.MeshAnswer{}}
}

// add adds a target; the first ones are chosen first.
func (w *world) add(addr string, answer cicadaseam.MeshAnswer) {
	beat := fleet.Heartbeat{Addr: addr, Node: addr, Zone: "north", Service: "desk", Serving: true, Instance: "i-" + addr}
	beat.Load = cicadaseam.MeshLoad{Slots: 10, LatencyPermille: 200 + 200*len(w.peers)}
	w.peers = append(w.peers, &fleet.Peer{Heartbeat: beat, LastHeard: time.Now()})
	w.answers[addr] = func(*cicadaseam.MeshCall) *cicadaseam.MeshAnswer { a := answer; return &a }
}

func (w *world) serve(t *testing.T, change func(*Request)) *Reply {
	t.Helper()
	d := New("self", "north", "portal", w, w, noLocal{}, w, rand.New(rand.NewPCG(1, 1)),
		WithRetryBudget(NewRetryBudget(time.Now(), RetryBudgetConfig{Ratio: 1, Slack: 100, Window: 10 * time.Second})))
	r := &Request{Method: "POST", Host: "a.example", Path: "/x/1", Target: "/x/1", Header: http.Header{}, Arrived: time.Now()}
	r.Header.Set(d.Headers.RequestID, "q1")
	r.Header.Set(d.Headers.Timeout, "2000")
	if change != nil {
		change(r)
	}
	return d.Serve(context.Background(), r)
}

var (
	ran      = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, ReachedBackend: true, Status: 200, Body: []byte("done")}
	failure  = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, ReachedBackend: true, Status: 500, Body: []byte("sealed")}
	rejected = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, ReachedBackend: true, Reason: cicadaseam.ReasonBackendRejected}
	full     = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonQueueFull, RetryAfter: 200 * time.Millisecond}
	lost     = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeUnknown, ReachedBackend: true, Reason: cicadaseam.ReasonLinkLost}
	unsent   = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	timedOut = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeUnknown, ReachedBackend: true, Reason: cicadaseam.ReasonDeadline}
)

func TestWhatIsSentAgainAndWhatTheCallerHears(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		targets    []cicadaseam.MeshAnswer
		status     int
		asked      int
	}{
		{"success", false, []cicadaseam.MeshAnswer{ran, ran}, 200, 1},
		{"once: rejected by a backend server, sent again", false, []cicadaseam.MeshAnswer{rejected, ran}, 200, 2},
		{"once: unsent, sent again", false, []cicadaseam.MeshAnswer{unsent, ran}, 200, 2},
		{"once: lost, never again", false, []cicadaseam.MeshAnswer{lost, ran}, 502, 1},
		{"once: timed out, never again", false, []cicadaseam.MeshAnswer{timedOut, ran}, 504, 1},
		{"once: a failure that ran is passed on", false, []cicadaseam.MeshAnswer{failure, ran}, 500, 1},
		{"once: full everywhere", false, []cicadaseam.MeshAnswer{full, full, full}, 503, 3},
		{"once: rejected twice is the most", false, []cicadaseam.MeshAnswer{rejected, rejected, ran}, 503, 2},
		{"repeatable: lost, sent again", true, []cicadaseam.MeshAnswer{lost, ran}, 200, 2},
		{"repeatable: lost and then full is not a promise", true, []cicadaseam.MeshAnswer{lost, full}, 502, 2},
		{"repeatable: failed, sent again", true, []cicadaseam.MeshAnswer{failure, ran}, 200, 2},
		{"repeatable: failed and then full passes the failure on", true, []cicadaseam.MeshAnswer{failure, full}, 500, 2},
		{"repeatable: no more than two backend servers", true, []cicadaseam.MeshAnswer{failure, failure, ran}, 500, 2},
		{"nobody", true, nil, 503, 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			w := newWorld(t, x.idempotent)
			for i, a := range x.targets {
				w.add(strconv.Itoa(i), a)
			}
			reply := w.serve(t, nil)
			require.Equal(t, x.status, reply.Status)
			require.Len(t, w.asked, x.asked)
		})
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	w := newWorld(t, true)
	w.add("a", full)
	reply := w.serve(t, nil)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Equal(t, "Retry-After", reply.Headers[0].Name)
	after, err := strconv.ParseFloat(reply.Headers[0].Value, 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.1)
	require.Less(t, after, 0.4)
}

// What the system sets itself is never taken from a caller.
func TestHeadersOfTheSystemAreNotTakenFromCallers(t *testing.T) {
	w := newWorld(t, true)
	w.add("a", ran)
	var got *cicadaseam.MeshCall
	w.answers["a"] = func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer { got = call; return &ran }
	h := cicadaseam.DefaultMeshHeaders()
	w.serve(t, func(r *Request) {
		r.Header.Set(h.CallerService, "forged")
		r.Header.Set(h.ExpectedInstance, "forged")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
	})
	require.ElementsMatch(t, []cicadaseam.Header{{Name: "X-Kept", Value: "1"}, {Name: h.CallerService, Value: "portal"}}, got.Headers)
	require.Equal(t, "q1", got.ID)
	require.LessOrEqual(t, got.Timeout, time.Second) // the route's timeout is the shorter one
}

func TestNoTableAndNoRoute(t *testing.T) {
	w := newWorld(t, true)
	require.Equal(t, http.StatusNotFound, w.serve(t, func(r *Request) { r.Path = "/y/" }).Status)
	w.table = nil
	require.Equal(t, http.StatusServiceUnavailable, w.serve(t, nil).Status)
}
