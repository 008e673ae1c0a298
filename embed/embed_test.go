package embed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/embed"
)

// newMember returns a running member that listens on a free port.
func newMember(t *testing.T, port *int) (m *embed.Membership, leave context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	for ; ; *port++ {
		var err error
		if m, err = embed.NewMembership(fmt.Sprint("node-", *port), fmt.Sprint("127.0.0.1:", *port), cicadaseam.Locality{Zone: "atl-north"}); err == nil {
			break
		}
		require.Less(t, *port, 40000, err)
	}
	*port++
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m, cancel
}

func TestMembersFindEachOtherAndNoticeOneThatLeaves(t *testing.T) {
	port := 27700
	first := fmt.Sprint("127.0.0.1:", port)
	members := make([]*embed.Membership, 3)
	var leave context.CancelFunc
	for i := range members {
		members[i], leave = newMember(t, &port)
		if i == 0 {
			first = members[0].Live("")[0].Addr
			continue
		}
		require.NoError(t, members[i].Join(t.Context(), first))
	}
	for want := len(members); want >= len(members)-1; want-- {
		require.Eventually(t, func() bool { return len(members[0].Live("atl-north")) == want && len(members[1].Live("")) == want }, 20*time.Second, 10*time.Millisecond)
		leave()
	}
}

func TestAdmissionRefusesWhatCannotStartInTime(t *testing.T) {
	a := embed.NewAdmission(1)
	deadline := time.Now().Add(time.Minute)
	release, err := a.Acquire(t.Context(), embed.Request{Deadline: deadline})
	require.NoError(t, err)
	var refused *embed.RefusedError
	_, err = a.Acquire(t.Context(), embed.Request{Deadline: deadline})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, cicadaseam.ReasonQueueFull, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	admitted := make(chan error)
	go func() {
		release, err := a.Acquire(t.Context(), embed.Request{Deadline: deadline, MaxWait: time.Minute})
		if err == nil {
			release()
		}
		admitted <- err
	}()
	release()
	release() // a second call changes nothing
	require.NoError(t, <-admitted)
	a.SetRate(0.5)
	_, err = a.Acquire(t.Context(), embed.Request{Deadline: deadline, MaxWait: time.Second})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, cicadaseam.ReasonRateLimit, refused.Reason)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = a.Acquire(ctx, embed.Request{Deadline: deadline, MaxWait: time.Minute})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, cicadaseam.ReasonCanceled, refused.Reason)
}
