package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

var (
	epoch   = time.Unix(1000, 0)
	headers = cicadaseam.DefaultMeshHeaders()
)

func ready(id string, sequence, born int64) cicadaseam.Instance {
	return cicadaseam.Instance{ID: id, Service: "desk", Slots: 2, State: cicadaseam.BackendReady, Sequence: sequence, StartUnixMilli: born}
}

func draining(id string, sequence int64) cicadaseam.Instance {
	x := ready(id, sequence, 0)
	x.State = cicadaseam.BackendDraining
	return x
}

// step is one announcement and what becomes of it.
type step struct {
	after time.Duration
	x     cicadaseam.Instance
	want  verdict
}

func TestAnnouncementsAreOrdered(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"renewed", []step{{0, ready("a", 1, 0), verdictNew}, {1, ready("a", 2, 0), verdictRenewed}}},
		{"late", []step{{0, ready("a", 2, 0), verdictNew}, {1, ready("a", 1, 0), verdictStale}}},
		{"ready after draining", []step{{0, draining("a", 2), verdictNew}, {1, ready("a", 1, 0), verdictStale}, {2, ready("a", 3, 0), verdictStale}}},
		{"another start under its id", []step{{0, ready("a", 9, 100), verdictNew}, {1, ready("a", 1, 200), verdictNew}, {2, ready("a", 10, 100), verdictStale}}},
		{"the one before, late", []step{{0, ready("a", 4, 0), verdictNew}, {1, ready("b", 1, 0), verdictNew}, {2, ready("a", 5, 0), verdictStale}}},
		{"the one before, born earlier", []step{{0, ready("b", 1, 200), verdictNew}, {1, ready("a", 5, 100), verdictStale}}},
		{"back after the other fell silent", []step{
			{0, ready("a", 4, 0), verdictNew}, {1, ready("b", 1, 0), verdictNew}, {silentFor + 2, ready("a", 6, 0), verdictNew}}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			k := newKeeper()
			current := ""
			for i, s := range x.steps {
				require.Equal(t, s.want, k.announce(epoch.Add(s.after), current, s.x), "step %d", i)
				if s.want == verdictNew {
					current = s.x.ID
				}
			}
		})
	}
}

// What left before this process started is not believed to be ready.
func TestBoundInstanceIsNotUsed(t *testing.T) {
	target := New(headers)
	target.MarkDeparted(epoch, []string{"a"})
	target.Announce(epoch, ready("a", 7, 0))
	_, serving := target.Instance(epoch)
	require.False(t, serving)
}

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

func TestSilentInstanceIsNotUsed(t *testing.T) {
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

// fakeServer is a backend server that answers when it is let.
type fakeServer struct {
	addr    string
	running atomic.Int64
	most    atomic.Int64
	let     chan struct{}
}

func serve(t *testing.T) *fakeServer {
	s := &fakeServer{let: make(chan struct{})}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := s.running.Add(1)
		defer s.running.Add(-1)
		s.most.Store(max(s.most.Load(), n))
		select {
		case <-s.let:
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

func attach(s *fakeServer) *Target {
	target := New(headers)
	x := ready("a", 1, 0)
	x.Addr = s.addr
	target.Announce(time.Now(), x)
	return target
}

func TestNeverMoreRequestsThanSlots(t *testing.T) {
	s := serve(t)
	target := attach(s)
	answers := make(chan *cicadaseam.MeshAnswer, 6)
	for range 6 {
		go func() { answers <- target.Run(context.Background(), request("q")) }()
	}
	close(s.let)
	for range 6 {
		require.Equal(t, cicadaseam.OutcomeRan, (<-answers).Outcome)
	}
	require.LessOrEqual(t, s.most.Load(), int64(2))
}

func TestCancelledRequestThatWaitedDidNotRun(t *testing.T) {
	s := serve(t)
	target := attach(s)
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
	close(s.let)
}

func TestRequestOfAnotherServiceIsNotRun(t *testing.T) {
	target := attach(serve(t))
	x := request("q")
	x.Service = "portal"
	require.Equal(t, cicadaseam.OutcomeNotRun, target.Run(context.Background(), x).Outcome)
}

// A backend server that refuses connections is left alone for a moment, and its
// requests did not run.
func TestDeadBackendServerIsLeftAlone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := attach(&fakeServer{addr: l.Addr().String()})
	require.NoError(t, l.Close())
	answer := target.Run(context.Background(), request("q"))
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonBackendLost, answer.Reason)
	require.False(t, answer.ReachedBackend)
	now := time.Now()
	_, serving := target.Instance(now)
	require.False(t, serving)
	_, serving = target.Instance(now.Add(downLimit))
	require.True(t, serving)
}

// crashLog keeps what ran at crashes.
type crashLog struct{ prints [][]uint64 }

func (c *crashLog) RecordCrash(_ time.Time, _ string, prints []uint64) {
	c.prints = append(c.prints, prints)
}

func (c *crashLog) RecordSuccess(time.Time, uint64) {}

// A connection that breaks while the server still listens is no crash; one that
// breaks with its server marks what ran there.
func TestCrashIsToldFromABrokenConnection(t *testing.T) {
	for _, crash := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 1024))
			if crash {
				_ = l.Close()
			}
			_ = nc.Close()
		}()
		log := &crashLog{}
		target := New(headers, WithGuard(log))
		x := ready("a", 1, 0)
		x.Addr = l.Addr().String()
		target.Announce(time.Now(), x)
		call := request("q")
		call.Fingerprint = 7
		answer := target.Run(context.Background(), call)
		require.Equal(t, cicadaseam.OutcomeUnknown, answer.Outcome)
		if crash {
			require.Equal(t, [][]uint64{{7}}, log.prints)
		} else {
			require.Empty(t, log.prints)
		}
		_ = l.Close()
	}
}

func TestTimeoutOfARunningRequestIsUnknown(t *testing.T) {
	target := attach(serve(t))
	x := request("q")
	x.Timeout = 50 * time.Millisecond
	answer := target.Run(context.Background(), x)
	require.Equal(t, cicadaseam.OutcomeUnknown, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonDeadline, answer.Reason)
}
