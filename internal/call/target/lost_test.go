package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A backend server whose connections keep breaking without a crash must not make the node
// remember its lost requests for good.
func TestOldLostRequestsAreForgotten(t *testing.T) {
	target := New("n", "10.0.0.1:1", nil, nil)
	start := time.Unix(1000, 0)
	for i := range 1000 {
		target.recordLost(start.Add(time.Duration(i)*crashWindow/10), uint64(i))
	}
	require.LessOrEqual(t, len(target.lostRequests), 11)
	require.Equal(t, uint64(999), target.lostRequests[len(target.lostRequests)-1].fingerprint)
}
