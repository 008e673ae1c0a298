package losses

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

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

// Guards against losses that are counted twice or not at all between the log and the summary,
// and against lines for routes that lost nothing.
func TestSummaryAddsUpTheLinesOfNodes(t *testing.T) {
	var log bytes.Buffer
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "ts", zapcore.RFC3339NanoTimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(&log), zap.InfoLevel))
	served := Reply{Route: "claims", Outcome: cicadaseam.OutcomeRan.String(), Status: 200, Budget: time.Second}
	refused := Reply{Route: "claims", Outcome: cicadaseam.OutcomeNotRun.String(), Status: 503, Reason: cicadaseam.ReasonQueueFull}
	quiet := served
	quiet.Route = "quiet"
	for _, zone := range []string{"north", "south"} {
		r := NewRecorder(zone)
		r.Record(served)
		r.Record(quiet)
		r.Flush(logger)
		r.Record(refused)
		r.Record(served)
		r.RecordDelayed("claims")
		r.Flush(logger)
		r.Flush(logger)
	}
	log.WriteString("{\"msg\":\"requests not served on time\", broken off\n")
	s := NewSummary()
	require.NoError(t, s.Read(&log))
	require.Equal(t, 2, s.Lines())
	require.Equal(t, map[string]map[string]int{"claims": {"on-time": 2, "late-order": 2, "refused-queue-full": 2}}, s.byRoute)
	require.Equal(t, map[string]map[string]int{"north": {"on-time": 1, "late": 1, "refused": 1}, "south": {"on-time": 1, "late": 1, "refused": 1}}, s.byZone)
	var out bytes.Buffer
	require.NoError(t, s.Write(&out))
	require.Equal(t, "route late-order on-time refused-queue-full", strings.Join(strings.Fields(strings.SplitN(out.String(), "\n", 2)[0]), " "))
}
