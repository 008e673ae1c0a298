package losses

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

// Guards against a loss that is attributed to the wrong cause.
func TestCause(t *testing.T) {
	ran, notRun, unknown := cicadaseam.OutcomeRan.String(), cicadaseam.OutcomeNotRun.String(), cicadaseam.OutcomeUnknown.String()
	const ms = time.Millisecond
	tests := []struct {
		want  string
		reply Reply
	}{
		{"on-time", Reply{Outcome: ran, Status: 200, Budget: 100 * ms, Latency: 100 * ms, BackendTime: 90 * ms}},
		{"on-time", Reply{Outcome: ran, Status: 404, Budget: 100 * ms, Latency: 10 * ms}},
		{"late-run", Reply{Outcome: ran, Status: 200, Budget: 100 * ms, Latency: 130 * ms, QueueTime: 50 * ms, BackendTime: 70 * ms}},
		{"late-queue", Reply{Outcome: ran, Status: 200, Budget: 100 * ms, Latency: 130 * ms, QueueTime: 70 * ms, BackendTime: 50 * ms}},
		{"late-way", Reply{Outcome: ran, Status: 200, Budget: 100 * ms, Latency: 130 * ms, QueueTime: 20 * ms, BackendTime: 50 * ms}},
		{"late-returned", Reply{Outcome: ran, Status: 200, Budget: -ms, Latency: 10 * ms, Returning: true}},
		{"refused-queue-full", Reply{Outcome: notRun, Status: 503, Reason: cicadaseam.ReasonQueueFull}},
		{"again-queue-full", Reply{Outcome: notRun, Status: 503, Reason: cicadaseam.ReasonQueueFull, Returning: true}},
		{"failed-backend", Reply{Outcome: ran, Status: 500}},
		{"failed-deadline", Reply{Outcome: unknown, Status: 504, Reason: cicadaseam.ReasonDeadline}},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, tt.reply.cause(), "%+v", tt.reply)
	}
}
