package lossreport

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
)

// Guards against losses that are counted twice or not at all between the log and the summary,
// and against lines for routes that lost nothing.
func TestSummaryAddsUpTheLinesOfNodes(t *testing.T) {
	var log bytes.Buffer
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "ts", zapcore.RFC3339NanoTimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(&log), zap.InfoLevel))
	served := losses.Reply{Route: "claims", Outcome: cicadaseam.OutcomeRan.String(), Status: 200, Budget: time.Second}
	refused := losses.Reply{Route: "claims", Outcome: cicadaseam.OutcomeNotRun.String(), Status: 503, Reason: cicadaseam.ReasonQueueFull}
	quiet := served
	quiet.Route = "quiet"
	for _, zone := range []string{"north", "south"} {
		r := losses.NewRecorder(zone)
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
	s := New()
	require.NoError(t, s.Read(&log))
	require.Equal(t, 2, s.Lines())
	require.Equal(t, map[string]map[string]int{"claims": {"on-time": 2, "late-order": 2, "refused-queue-full": 2}}, s.byRoute)
	require.Equal(t, map[string]map[string]int{"north": {"on-time": 1, "late": 1, "refused": 1}, "south": {"on-time": 1, "late": 1, "refused": 1}}, s.byZone)
	var out bytes.Buffer
	require.NoError(t, s.Write(&out))
	require.Equal(t, "route late-order on-time refused-queue-full", strings.Join(strings.Fields(strings.SplitN(out.String(), "\n", 2)[0]), " "))
}
