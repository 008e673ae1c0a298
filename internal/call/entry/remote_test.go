package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/call/target"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

type staticTable struct{ table *tree.Table }

func (s staticTable) Table() *tree.Table { return s.table }

type singleMember struct{ id string }

func (s singleMember) View() *view.View {
	return &view.View{Self: cicadaseam.Member{ID: s.id}}
}

// The entry node of a call may have a newer version of the configuration than its
// target. The target must not run a call of a service that its own table lacks, since
// it has no limits for it.
func TestTargetRefusesWhatItHoldsNoSettingsFor(t *testing.T) {
	cases := []struct {
		name   string
		table  *tree.Table
		ready  bool
		reason cicadaseam.Reason
	}{
		{"no configuration yet", &tree.Table{}, true, cicadaseam.ReasonNotReady},
		{"another service", &tree.Table{Services: map[string]bool{"desk": true}}, true, cicadaseam.ReasonNotReady},
		{"not ready, behind its peers", &tree.Table{Services: map[string]bool{"portal": true}}, false, cicadaseam.ReasonNotReady},
		{"knows the service, has no backend server", &tree.Table{Services: map[string]bool{"portal": true}}, true, cicadaseam.ReasonDraining},
	}
	for _, tc := range cases {
		local := target.New("self", "10.0.0.1:7000", nil, nil)
		e := New(staticTable{tc.table}, singleMember{"self"}, nil, local, rand.New(rand.NewPCG(1, 1)), WithReady(func() bool { return tc.ready }))
		call := cicadaseam.Call{Service: "portal", Class: "gold", Method: "GET", RequestURI: "/", Timeout: time.Second, Idempotent: true}
		payload, err := method.Encode(&callMessage{To: "self", Call: call})
		require.NoError(t, err, tc.name)
		data, err := e.ServePeer(context.Background(), method.Call, payload)
		require.NoError(t, err, tc.name)
		var answer cicadaseam.Answer
		require.NoError(t, method.Decode(data, &answer), tc.name)
		require.Equal(t, cicadaseam.OutcomeNotRun, answer.Outcome, tc.name)
		require.Equal(t, tc.reason, answer.Reason, tc.name)
	}
}
