package target

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/guard"
)

// runWhileBreaking announces an instance that breaks the connection of the request with a fingerprint,
// and with crash set also stops listening. It returns the answer.
func runWhileBreaking(t *testing.T, target *Target, x cicadaseam.Instance, fingerprint uint64, crash bool) *cicadaseam.MeshAnswer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // a crash has closed it
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
	x.Addr = l.Addr().String()
	target.Announce(time.Now(), x)
	call := request("q")
	call.Fingerprint = fingerprint
	return target.Run(context.Background(), call)
}

// crashWhileRunning announces an instance, which crashes while it runs the request with a fingerprint.
func crashWhileRunning(t *testing.T, target *Target, x cicadaseam.Instance, fingerprint uint64) {
	answer := runWhileBreaking(t, target, x, fingerprint, true)
	require.True(t, answer.ReachedBackend, "reason %v", answer.Reason)
}

// Guards against a request that crashes backend servers again and again because the crashes of a
// server that keeps its ID have the same name and count once.
func TestCrashesOfAServerThatKeepsItsIDCountEach(t *testing.T) {
	const poison, crashes = 7, 2
	g := guard.New()
	target := New(headers, WithGuard(g))
	for i := range int64(crashes) {
		crashWhileRunning(t, target, ready("a", 1, 1000+i), poison)
	}
	_, refused := g.Refused(time.Now(), poison)
	require.True(t, refused)
}

// Guards against the same when the node beside the server starts again between the crashes and
// counts them from 1, as seen by another node.
func TestCrashesSeenByARestartedNodeCountEach(t *testing.T) {
	const poison = 7
	other := guard.New()
	for process := range uint64(2) {
		g := guard.New()
		crashWhileRunning(t, New(headers, WithGuard(g), WithProcess(process)), ready("a", 1, 1000), poison)
		other.MergeMarks(time.Now(), g.NextMarks())
	}
	_, refused := other.Refused(time.Now(), poison)
	require.True(t, refused)
}

// Guards against crashes that do not count because the mark of an earlier crash was
// cleared and the crash of its next start under the same ID has that name.
func TestClearedMarkDoesNotHideTheCrashOfALaterStart(t *testing.T) {
	const poison = 7
	g := guard.New()
	target := New(headers, WithGuard(g))
	crashWhileRunning(t, target, ready("a", 1, 1000), poison)
	g.RecordSuccess(time.Now(), poison)
	for i := range int64(2) {
		crashWhileRunning(t, target, ready("a", 1, 1001+i), poison)
	}
	_, refused := g.Refused(time.Now(), poison)
	require.True(t, refused)
}

// refusing is a guard that refuses every request once it is set.
type refusing struct {
	noGuard
	set atomic.Bool
}

func (g *refusing) Refused(time.Time, uint64) (time.Duration, bool) { return time.Second, g.set.Load() }

// Guards against a request that starts from the queue, and crashes a server, though it is refused
// since two others crashed.
func TestRequestThatIsRefusedMeanwhileDoesNotStart(t *testing.T) {
	s := newFakeServer(t)
	g := &refusing{}
	target := New(headers, WithGuard(g))
	x := ready("a", 1, 0)
	x.Addr = s.addr
	target.Announce(time.Now(), x)
	answers := make(chan *cicadaseam.MeshAnswer, 1)
	for range 2 {
		go target.Run(context.Background(), request("q"))
	}
	require.Eventually(t, func() bool { return s.running.Load() == 2 }, 2*time.Second, time.Millisecond)
	go func() { answers <- target.Run(context.Background(), request("poison")) }()
	require.Eventually(t, func() bool { return target.Load(time.Now()).Queued == 1 }, 2*time.Second, time.Millisecond)
	g.set.Store(true)
	close(s.release)
	answer := <-answers
	require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome)
	require.Equal(t, cicadaseam.ReasonQuarantine, answer.Reason)
	require.Equal(t, time.Second, answer.RetryAfter)
	require.Eventually(t, func() bool { return target.Load(time.Now()).InFlight == 0 }, 2*time.Second, time.Millisecond)
}
