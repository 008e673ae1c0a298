package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// fakeMesh is a fleet in which each target gives a fixed answer.
type fakeMesh struct {
	table   *route.Table
	peers   []*fleet.Peer
	answers map[string]func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer
	sentTo  []string
	// probed are the targets that were asked for a free slot and had none.
	probed []string
}

func (m *fakeMesh) Table() *route.Table { return m.table }

func (m *fakeMesh) Peers() []*fleet.Peer { return m.peers }

func (m *fakeMesh) Size() int { return len(m.peers) + 1 }

func (m *fakeMesh) Run(_ context.Context, addr string, call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
	answer := m.answers[addr](call)
	if call.MaxWait == 0 && answer.Reason == cicadaseam.ReasonQueueFull {
		m.probed = append(m.probed, addr)
		return answer
	}
	m.sentTo = append(m.sentTo, addr)
	return answer
}

// attempts returns the targets to which requests were sent, those that had no free slot first.
func (m *fakeMesh) attempts() []string { return append(slices.Clone(m.probed), m.sentTo...) }

// noLocal stands for a node without a backend server.
type noLocal struct{}

func (noLocal) Run(context.Context, *cicadaseam.MeshCall) *cicadaseam.MeshAnswer { return nil }

func (noLocal) Instance(time.Time) (cicadaseam.Instance, bool) { return cicadaseam.Instance{}, false }

func (noLocal) Running(string) (running, isRetry bool) { return false, false }

func (noLocal) RecordRefusedCall(string) {}

func (noLocal) Load(time.Time) cicadaseam.MeshLoad { return cicadaseam.MeshLoad{} }

func newFakeMesh(t *testing.T, idempotent bool) *fakeMesh {
	table, err := route.New(&cicadaseam.Revision{RevisionID: cicadaseam.RevisionID{Number: 1}, Routes: []cicadaseam.MeshRoute{{
		Name: "filing", Host: "a.example", PathPrefix: "/x/", Idempotent: idempotent, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond,
		MaxAttempts: 2, TrafficSplit: []cicadaseam.WeightedService{{Service: "desk", Weight: 1}},
	}}})
	require.NoError(t, err)
	return &fakeMesh{table: table, answers: map[string]func(*cicadaseam.MeshCall) *cicadaseam.MeshAnswer{}}
}

// add adds a target. Each one has a higher latency than those before it, so that they
// are selected in the order in which they were added.
func (m *fakeMesh) add(addr string, answer cicadaseam.MeshAnswer) {
	heartbeat := fleet.Heartbeat{Addr: addr, Node: addr, Zone: "north", Service: "desk", Serving: true, Instance: "i-" + addr}
	heartbeat.Load = cicadaseam.MeshLoad{Slots: 10, LatencyPermille: 200 + 200*len(m.peers)}
	m.peers = append(m.peers, &fleet.Peer{Heartbeat: heartbeat, LastHeard: time.Now()})
	m.answers[addr] = func(*cicadaseam.MeshCall) *cicadaseam.MeshAnswer { a := answer; return &a }
}

func (m *fakeMesh) serve(t *testing.T, change func(*Request), opts ...Option) *Reply {
	t.Helper()
	budget := NewRetryBudget(time.Now().Add(-time.Minute), RetryBudgetConfig{Ratio: 1, Slack: 100, Window: 10 * time.Second})
	d := New("self", "north", "portal", m, m, noLocal{}, m, rand.New(rand.NewPCG(1, 1)), append(opts, WithRetryBudget(budget))...)
	r := &Request{Method: "POST", Host: "a.example", Path: "/x/1", RequestURI: "/x/1", Header: http.Header{}, Arrived: time.Now()}
	r.Header.Set(d.Headers.RequestID, "q1")
	r.Header.Set(d.Headers.Timeout, "2000")
	if change != nil {
		change(r)
	}
	return d.Serve(context.Background(), r)
}

var (
	ran     = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, ReachedBackend: true, Status: 200, Body: []byte("done")}
	failure = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, ReachedBackend: true, Status: 500, Body: []byte("sealed")}
	// starved failed because a call of it was refused for lack of retry budget.
	starved  = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeRan, ReachedBackend: true, Status: 500, CallRefused: true}
	rejected = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, ReachedBackend: true, Reason: cicadaseam.ReasonBackendRejected}
	full     = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonQueueFull, RetryAfter: 200 * time.Millisecond}
	lost     = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeUnknown, ReachedBackend: true, Reason: cicadaseam.ReasonLinkLost}
	unsent   = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonLinkLost}
	// quarantined was refused by a target that knows that the request crashes servers.
	quarantined = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeNotRun, Reason: cicadaseam.ReasonQuarantine, RetryAfter: time.Second}
	timedOut    = cicadaseam.MeshAnswer{Outcome: cicadaseam.OutcomeUnknown, ReachedBackend: true, Reason: cicadaseam.ReasonDeadline}
)

func TestWhatIsSentAgainAndWhatTheCallerHears(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		targets    []cicadaseam.MeshAnswer
		status     int
		sent       int
	}{
		{"success", false, []cicadaseam.MeshAnswer{ran, ran}, 200, 1},
		{"non-idempotent: rejected by a backend server, sent again", false, []cicadaseam.MeshAnswer{rejected, ran}, 200, 2},
		{"non-idempotent: unsent, sent again", false, []cicadaseam.MeshAnswer{unsent, ran}, 200, 2},
		{"non-idempotent: lost, never again", false, []cicadaseam.MeshAnswer{lost, ran}, 502, 1},
		{"non-idempotent: timed out, never again", false, []cicadaseam.MeshAnswer{timedOut, ran}, 504, 1},
		{"non-idempotent: a failure that ran is passed on", false, []cicadaseam.MeshAnswer{failure, ran}, 500, 1},
		{"non-idempotent: all queues are full", false, []cicadaseam.MeshAnswer{full, full, full}, 503, 3},
		{"non-idempotent: no more than two backend servers", false, []cicadaseam.MeshAnswer{rejected, rejected, ran}, 503, 2},
		{"idempotent: lost, sent again", true, []cicadaseam.MeshAnswer{lost, ran}, 200, 2},
		{"idempotent: lost, then a full queue does not prove that it did not run", true, []cicadaseam.MeshAnswer{lost, full}, 502, 2},
		{"idempotent: failed, sent again", true, []cicadaseam.MeshAnswer{failure, ran}, 200, 2},
		{"idempotent: failed, then a full queue; the failure is passed on", true, []cicadaseam.MeshAnswer{failure, full}, 500, 2},
		{"idempotent: failed for lack of retry budget; a retry would need more of it", true, []cicadaseam.MeshAnswer{starved, ran}, 500, 1},
		{"idempotent: no more than two backend servers", true, []cicadaseam.MeshAnswer{failure, failure, ran}, 500, 2},
		{"quarantined: other servers would crash too", true, []cicadaseam.MeshAnswer{quarantined, ran}, 503, 1},
		{"no target", true, nil, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newFakeMesh(t, tt.idempotent)
			for i, a := range tt.targets {
				m.add(strconv.Itoa(i), a)
			}
			reply := m.serve(t, nil)
			require.Equal(t, tt.status, reply.Status)
			require.Len(t, m.sentTo, tt.sent)
			slices.Sort(m.probed)
			require.LessOrEqual(t, len(m.probed), maxProbes)
			require.Equal(t, m.probed, slices.Compact(slices.Clone(m.probed)), "a target is asked for a free slot once")
		})
	}
}

// refuseAfter refuses every request once the target has been sent one.
type refuseAfter struct{ *fakeMesh }

func (g refuseAfter) Refused(time.Time, uint64) (time.Duration, bool) {
	return time.Second, len(g.sentTo) > 0
}

// Guards against the retry of a request that is refused since its first attempt crashed a server.
func TestRequestThatIsRefusedMeanwhileIsNotRetried(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("0", lost)
	m.add("1", ran)
	require.Equal(t, http.StatusBadGateway, m.serve(t, nil, WithGuard(refuseAfter{m})).Status)
	require.Equal(t, []string{"0"}, m.sentTo)
}

// Guards against callers that return before there is room, and against a time that they would
// shorten themselves.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	tests := []struct {
		room            time.Duration
		atLeast, atMost float64 // seconds
	}{
		{200 * time.Millisecond / roomFactor, 0.1, 0.4},
		{5 * time.Second, 0.6, 2*maxRetryAfterShare + 0.0005}, // of a caller that waits for two seconds, in milliseconds
	}
	for _, tt := range tests {
		m := newFakeMesh(t, true)
		answer := full
		answer.RetryAfter = tt.room
		m.add("a", answer)
		reply := m.serve(t, nil)
		require.Equal(t, http.StatusServiceUnavailable, reply.Status)
		require.Equal(t, "Retry-After", reply.Headers[0].Name)
		after, err := strconv.ParseFloat(reply.Headers[0].Value, 64)
		require.NoError(t, err)
		require.Greater(t, after, tt.atLeast)
		require.Less(t, after, tt.atMost)
	}
}

// Header fields that the mesh sets itself, and hop-by-hop fields, are not forwarded from a
// caller.
func TestHeadersOfTheSystemAreNotTakenFromCallers(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("a", ran)
	var got *cicadaseam.MeshCall
	m.answers["a"] = func(call *cicadaseam.MeshCall) *cicadaseam.MeshAnswer { got = call; return &ran }
	h := cicadaseam.DefaultMeshHeaders()
	m.serve(t, func(r *Request) {
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
	m := newFakeMesh(t, true)
	require.Equal(t, http.StatusNotFound, m.serve(t, func(r *Request) { r.Path = "/y/" }).Status)
	m.table = nil
	require.Equal(t, http.StatusServiceUnavailable, m.serve(t, nil).Status)
}

// replyRecorder records the replies that it observes.
type replyRecorder struct{ stats []ReplyStats }

func (r *replyRecorder) ObserveReply(s ReplyStats) { r.stats = append(r.stats, s) }

func (r *replyRecorder) ObserveRetry(string, bool) {}

// refuseAll is a guard that refuses each request.
type refuseAll struct{}

func (refuseAll) Refused(time.Time, uint64) (time.Duration, bool) { return time.Second, true }

// Each reply is counted, also one that is made before a target is selected.
func TestEachReplyIsObserved(t *testing.T) {
	m := newFakeMesh(t, true)
	m.add("a", ran)
	recorder := &replyRecorder{}
	d := New("self", "north", "portal", m, m, noLocal{}, m, rand.New(rand.NewPCG(1, 1)), WithObserver(recorder))
	serve := func(path string) {
		d.Serve(context.Background(), &Request{Method: "GET", Host: "a.example", Path: path, RequestURI: path, Header: http.Header{}, Arrived: time.Now()})
	}
	serve("/x/1")
	serve("/y/")
	d.guard = refuseAll{}
	serve("/x/1")
	m.table = nil
	serve("/x/1")
	var reasons []cicadaseam.Reason
	for _, s := range recorder.stats {
		reasons = append(reasons, s.Reason)
	}
	require.Equal(t, []cicadaseam.Reason{cicadaseam.ReasonNone, cicadaseam.ReasonNoRoute, cicadaseam.ReasonQuarantine, cicadaseam.ReasonNotReady}, reasons)
	require.Equal(t, "desk", recorder.stats[2].Service)
	require.Equal(t, noService, recorder.stats[3].Service)
}

// Guards against callers that are told to wait for room although the backend server turned their
// requests away for another reason: they returned too late for their latency objective.
func TestCallersOfRejectedRequestsReturnSoon(t *testing.T) {
	d := newTestDispatcherForRetryAfter()
	ex := &exchange{arrived: time.Now(), callerTimeout: 3 * time.Second, rejected: true, lastReason: cicadaseam.ReasonRetryBudget}
	require.LessOrEqual(t, d.retryAfter(ex), 2*minRetryAfter)
	ex.retryAfter = 500 * time.Millisecond
	require.Greater(t, d.retryAfter(ex), 300*time.Millisecond, "a target that lacks room says when it has some")
	ex = &exchange{arrived: time.Now(), callerTimeout: 3 * time.Second, lastReason: cicadaseam.ReasonNoTarget}
	require.Greater(t, d.retryAfter(ex), 200*time.Millisecond, "there is no target yet")
}

func newTestDispatcherForRetryAfter() *Dispatcher {
	return &Dispatcher{selector: newTestSelector()}
}
