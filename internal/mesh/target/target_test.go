package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

var (
	epoch   = time.Unix(1000, 0)
	headers = cicadaseam.DefaultMeshHeaders()
)

func ready(id string, sequence, startUnixMilli int64) cicadaseam.Instance {
	return cicadaseam.Instance{ID: id, Service: "desk", Slots: 2, State: cicadaseam.BackendReady, Sequence: sequence, StartUnixMilli: startUnixMilli}
}

func draining(id string, sequence int64) cicadaseam.Instance {
	x := ready(id, sequence, 0)
	x.State = cicadaseam.BackendDraining
	return x
}

// step is one announcement and its expected result.
type step struct {
	after time.Duration
	x     cicadaseam.Instance
	want  announceResult
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"renewed", []step{{0, ready("a", 1, 0), announceNew}, {1, ready("a", 2, 0), announceRenewed}}},
		{"late", []step{{0, ready("a", 2, 0), announceNew}, {1, ready("a", 1, 0), announceStale}}},
		{"ready after draining", []step{{0, draining("a", 2), announceNew}, {1, ready("a", 1, 0), announceStale}, {2, ready("a", 3, 0), announceStale}}},
		{"restarted under the same id", []step{{0, ready("a", 9, 100), announceNew}, {1, ready("a", 1, 200), announceNew}, {2, ready("a", 10, 100), announceStale}}},
		{"previous instance, late", []step{{0, ready("a", 4, 0), announceNew}, {1, ready("b", 1, 0), announceNew}, {2, ready("a", 5, 0), announceStale}}},
		{"previous instance, started earlier", []step{{0, ready("b", 1, 200), announceNew}, {1, ready("a", 5, 100), announceStale}}},
		{"back after the current one fell silent", []step{
			{0, ready("a", 4, 0), announceNew}, {1, ready("b", 1, 0), announceNew}, {switchBackSilence + 2, ready("a", 6, 0), announceNew}}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			tracker := newTracker()
			current := ""
			for i, s := range x.steps {
				require.Equal(t, s.want, tracker.announce(epoch.Add(s.after), current, s.x), "step %d", i)
				if s.want == announceNew {
					current = s.x.ID
				}
			}
		})
	}
}

// An instance that departed before this process started is not used, even if a later
// announcement says that it is ready.
func TestDepartedInstanceIsNotUsed(t *testing.T) {
	target := New(headers)
	target.MarkDeparted(epoch, []cicadaseam.Departure{{ID: "a"}})
	target.Announce(epoch, ready("a", 7, 0))
	_, serving := target.Instance(epoch)
	require.False(t, serving)
}

// Guards against a departure that is forgotten among those of many other instances, so that a late
// announcement brings the server back.
func TestDepartureIsNotForgottenAmongManyOthers(t *testing.T) {
	const others = 2000
	var list []cicadaseam.Departure
	for i := range others {
		list = append(list, cicadaseam.Departure{ID: strconv.Itoa(i), StartUnixMilli: int64(1000 + i)})
	}
	list = append(list, cicadaseam.Departure{ID: "a", StartUnixMilli: 500})
	for name, mark := range map[string]func(target *Target){
		"own":    func(target *Target) { target.MarkDeparted(epoch, list) },
		"of all": func(target *Target) { target.MarkDeparted(epoch, list) },
		"in turns": func(target *Target) {
			target.MarkDeparted(epoch, list[others:])
			target.MarkDeparted(epoch, list[:others])
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := New(headers)
			mark(target)
			target.Announce(epoch, ready("a", 7, 500))
			_, serving := target.Instance(epoch)
			require.False(t, serving)
			require.LessOrEqual(t, len(target.Departed()), maxInstances)
			target.Announce(epoch, ready("a", 1, 501))
			_, serving = target.Instance(epoch)
			require.True(t, serving, "a later start under the ID")
		})
	}
}

// Guards against the loss of a departure: a server that starts again under its ID and is first heard
// of as draining must be recorded as departed, like any other, so that no later message brings it back.
func TestRestartThatIsFirstHeardOfAsDrainingHasDeparted(t *testing.T) {
	tracker := newTracker()
	require.Equal(t, announceNew, tracker.announce(epoch, "", ready("a", 9, 100)))
	restarted := draining("a", 2)
	restarted.StartUnixMilli = 200
	require.Equal(t, announceNew, tracker.announce(epoch, "a", restarted))
	require.Equal(t, []cicadaseam.Departure{{ID: "a", StartUnixMilli: 200}}, tracker.departures())
	require.Equal(t, announceStale, tracker.announce(epoch, "a", ready("a", 3, 200)))
}

// Guards against the return of a departed start of which this process has only learned from other
// nodes, while it had heard of an earlier start under the same ID itself.
func TestDepartureOfALaterStartIsNotTakenForAnEarlierOne(t *testing.T) {
	tracker := newTracker()
	require.Equal(t, announceNew, tracker.announce(epoch, "", ready("a", 9, 100)))
	require.True(t, tracker.markDeparted(epoch, cicadaseam.Departure{ID: "a", StartUnixMilli: 200}))
	require.Equal(t, announceStale, tracker.announce(epoch, "a", ready("a", 4, 200)))
	require.Equal(t, []cicadaseam.Departure{{ID: "a", StartUnixMilli: 200}}, tracker.departures())
	require.Equal(t, announceNew, tracker.announce(epoch, "a", ready("a", 1, 300)))
}

// A node that has just started may not know yet that the instance departed before.
func TestNothingRunsBeforeTheDeparturesAreKnown(t *testing.T) {
	var known atomic.Bool
	target := New(headers, WithDeparturesKnown(known.Load))
	target.Announce(epoch, ready("a", 1, 0))
	_, serving := target.Instance(epoch)
	require.False(t, serving)
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonNotReady, answer.Reason)
	target.MarkDeparted(epoch, []cicadaseam.Departure{{ID: "a"}})
	known.Store(true)
	require.Equal(t, cicadaseam.ReasonDraining, target.Run(context.Background(), request("q")).Reason)
	target.Announce(epoch, ready("b", 1, 0))
	_, serving = target.Instance(epoch)
	require.True(t, serving)
}

// After an instance announced that it is draining, neither an older announcement that
// arrives late nor a later one makes it ready again.
func TestAcknowledgedLeavingBinds(t *testing.T) {
	target := New(headers)
	target.Announce(epoch, ready("a", 1, 0))
	_, serving := target.Instance(epoch)
	require.True(t, serving)
	target.Announce(epoch, draining("a", 3))
	target.Announce(epoch, ready("a", 2, 0))
	target.Announce(epoch, ready("a", 4, 0))
	_, serving = target.Instance(epoch)
	require.False(t, serving)
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonDraining, answer.Reason)
}

func TestInstanceIsNotUsedAfterItsLease(t *testing.T) {
	target := New(headers, WithLease(time.Second))
	target.Announce(epoch, ready("a", 1, 0))
	_, serving := target.Instance(epoch.Add(time.Second))
	require.True(t, serving)
	_, serving = target.Instance(epoch.Add(time.Second + 1))
	require.False(t, serving)
}

func request(id string) *cicadaseam.MeshCall {
	return &cicadaseam.MeshCall{
		ID: id, Method: "GET", Host: "a.example", RequestURI: "/x", Service: "desk",
		Timeout: 3 * time.Second, MaxWait: time.Second, LatencyObjective: time.Second, Idempotent: true,
	}
}

// fakeServer is a backend server that answers its requests once release is closed.
type fakeServer struct {
	addr       string
	running    atomic.Int64
	maxRunning atomic.Int64
	release    chan struct{}
}

func newFakeServer(t *testing.T) *fakeServer {
	s := &fakeServer{release: make(chan struct{})}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := s.running.Add(1)
		defer s.running.Add(-1)
		s.maxRunning.Store(max(s.maxRunning.Load(), n))
		select {
		case <-s.release:
		case <-r.Context().Done():
			return
		}
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Seal, "s")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(h.Close)
	s.addr = h.Listener.Addr().String()
	return s
}

func newTarget(s *fakeServer) *Target {
	target := New(headers)
	x := ready("a", 1, 0)
	x.Addr = s.addr
	target.Announce(time.Now(), x)
	return target
}

func TestRequestsNeverExceedSlots(t *testing.T) {
	s := newFakeServer(t)
	target := newTarget(s)
	answers := make(chan *cicadaseam.MeshAnswer, 6)
	for range 6 {
		go func() { answers <- target.Run(context.Background(), request("q")) }()
	}
	close(s.release)
	for range 6 {
		require.Equal(t, cicadaseam.OutcomeRan, (<-answers).Outcome)
	}
	require.LessOrEqual(t, s.maxRunning.Load(), int64(2))
}

func TestCancelledQueuedRequestDoesNotRun(t *testing.T) {
	s := newFakeServer(t)
	target := newTarget(s)
	for range 2 {
		go target.Run(context.Background(), request("q"))
	}
	require.Eventually(t, func() bool { return target.Load(time.Now()).InFlight == 2 }, 2*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan *cicadaseam.MeshAnswer)
	go func() { answers <- target.Run(ctx, request("q")) }()
	require.Eventually(t, func() bool { return target.Load(time.Now()).Queued == 1 }, 2*time.Second, time.Millisecond)
	cancel()
	answer := <-answers
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonCanceled, answer.Reason)
	close(s.release)
}

func TestRequestOfAnotherServiceIsNotRun(t *testing.T) {
	target := newTarget(newFakeServer(t))
	x := request("q")
	x.Service = "portal"
	require.Equal(t, cicadaseam.OutcomeNotRun, target.Run(context.Background(), x).Outcome)
}

// A caller that leaves while a connection is dialed says nothing about the backend server.
func TestCallerThatLeavesWhileDialingCausesNoBackoff(t *testing.T) {
	target := newTarget(&fakeServer{addr: "127.0.0.1:1"}) // not dialed: the context has ended
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer := target.Run(ctx, request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonCanceled, answer.Reason)
	_, serving := target.Instance(time.Now())
	require.True(t, serving)
}

// hangingServer takes one connection, reads a request and closes the connection. From then
// on, new connections hang, as those to an instance without power do.
func hangingServer(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	go func() {
		conn, _, err := syscall.Accept(fd)
		if err != nil {
			return
		}
		_, _ = syscall.Read(conn, make([]byte, 4096))
		for range 8 { // fills the queue of connections that nobody accepts
			if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
				t.Cleanup(func() { _ = c.Close() })
			}
		}
		_ = syscall.Close(conn)
	}()
	return addr
}

// After a connection broke and a new one hangs, the backend server gets no requests for a
// moment, although nothing refuses a connection. The request may have run.
func TestBackoffAfterHangingConnection(t *testing.T) {
	target := newTarget(&fakeServer{addr: hangingServer(t)})
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeUnknown, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonBackendLost, answer.Reason)
	now := time.Now()
	_, serving := target.Instance(now)
	require.False(t, serving)
	_, serving = target.Instance(now.Add(maxBackoff))
	require.True(t, serving)
}

// A backend server that refuses connections gets no requests for a moment, and the
// request that was refused a connection did not run.
func TestBackoffAfterRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := newTarget(&fakeServer{addr: l.Addr().String()})
	require.NoError(t, l.Close())
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonBackendLost, answer.Reason)
	require.False(t, answer.ReachedBackend)
	now := time.Now()
	_, serving := target.Instance(now)
	require.False(t, serving)
	_, serving = target.Instance(now.Add(maxBackoff))
	require.True(t, serving)
}

// crashRecorder records the fingerprints of the requests that ran at each crash.
type crashRecorder struct{ fingerprints [][]uint64 }

func (c *crashRecorder) RecordCrash(_ time.Time, _ string, fingerprints []uint64) {
	c.fingerprints = append(c.fingerprints, fingerprints)
}

func (c *crashRecorder) RecordSuccess(time.Time, uint64) {}

func (c *crashRecorder) Refused(time.Time, uint64) (time.Duration, bool) { return 0, false }

// A connection that breaks while the server still listens is not a crash. If the server
// no longer listens, the requests that it was running are reported.
func TestCrashIsDistinguishedFromClosedConnection(t *testing.T) {
	for _, crash := range []bool{false, true} {
		crashes := &crashRecorder{}
		answer := runWhileBreaking(t, New(headers, WithGuard(crashes)), ready("a", 1, 0), 7, crash)
		require.Equal(t, cicadaseam.OutcomeUnknown, answer.Outcome)
		if crash {
			require.Equal(t, [][]uint64{{7}}, crashes.fingerprints)
		} else {
			require.Empty(t, crashes.fingerprints)
		}
	}
}

// A connection that is refused just before the broken ones are noticed delays new requests. The
// crash must be reported all the same, and once.
func TestCrashDuringABackoffIsReportedOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	crashes := &crashRecorder{}
	target := New(headers, WithGuard(crashes))
	x := ready("a", 1, 0)
	x.Addr = l.Addr().String()
	target.Announce(time.Now(), x)
	const running = 2
	answers := make(chan *cicadaseam.MeshAnswer, running)
	var conns []net.Conn
	for i := range running {
		call := request("q" + strconv.Itoa(i))
		call.Fingerprint = uint64(i + 1)
		go func() { answers <- target.Run(context.Background(), call) }()
		nc, err := l.Accept()
		require.NoError(t, err)
		_, err = nc.Read(make([]byte, 1024))
		require.NoError(t, err)
		conns = append(conns, nc)
	}
	target.mu.Lock()
	target.server.backOff(time.Now().Add(time.Second))
	target.mu.Unlock()
	require.NoError(t, l.Close())
	for _, nc := range conns {
		require.NoError(t, nc.Close())
		require.Equal(t, cicadaseam.OutcomeUnknown, (<-answers).Outcome)
		time.Sleep(2 * minBackoff)
	}
	require.Len(t, crashes.fingerprints, 1)
	require.ElementsMatch(t, []uint64{1, 2}, crashes.fingerprints[0])
}

func TestTimeoutOfARunningRequestIsUnknown(t *testing.T) {
	target := newTarget(newFakeServer(t))
	x := request("q")
	x.Timeout = 50 * time.Millisecond
	answer := target.Run(context.Background(), x)
	require.Equal(t, cicadaseam.OutcomeUnknown, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonDeadline, answer.Reason)
}

// A node knows for the calls of its backend server whether the run that makes them is a
// retry.
func TestRunningRequestsKnowWhetherTheyAreRetries(t *testing.T) {
	target := New(headers)
	target.Announce(epoch, ready("a", 1, 0))
	first, retry := &cicadaseam.MeshCall{ID: "q1"}, &cicadaseam.MeshCall{ID: "q1", Retry: true}
	target.trackRunning(target.server, first, 1)
	running, isRetry := target.Running("q1")
	require.True(t, running)
	require.False(t, isRetry)
	target.trackRunning(target.server, retry, 1)
	target.trackRunning(target.server, first, -1)
	running, isRetry = target.Running("q1")
	require.True(t, running)
	require.True(t, isRetry)
	target.trackRunning(target.server, retry, -1)
	running, _ = target.Running("q1")
	require.False(t, running)
	require.Empty(t, target.running)
}

// The answer of a run says that one of its calls was refused for lack of retry budget.
func TestAnswerTellsOfRefusedCalls(t *testing.T) {
	s := newFakeServer(t)
	target := newTarget(s)
	answers := make(chan *cicadaseam.MeshAnswer)
	go func() { answers <- target.Run(context.Background(), request("q")) }()
	require.Eventually(t, func() bool { return s.running.Load() == 1 }, 2*time.Second, time.Millisecond)
	target.RecordRefusedCall("q")
	target.RecordRefusedCall("another")
	close(s.release)
	require.True(t, (<-answers).CallRefused)
	require.False(t, target.Run(context.Background(), request("q")).CallRefused)
}
