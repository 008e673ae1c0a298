package sidecar

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/settings"
	"github.com/cicadaseam/cicadaseam/internal/mesh/dispatch"
)

// readPage returns the operators' page on the sidecar.
func readPage(t *testing.T) string {
	data, err := os.ReadFile("../../../docs/operators/sidecar.md")
	require.NoError(t, err)
	return string(data)
}

// newTestNode returns a node that listens on loopback and is not started.
func newTestNode(t *testing.T) *Node {
	s := Settings{Name: "n", Zone: "z", Service: "s", BackendLease: time.Second, HeartbeatPeriod: time.Second}
	for _, addr := range []*string{&s.CallAddr, &s.ReadyAddr, &s.RegistryAddr, &s.LinkAddr} {
		*addr = "127.0.0.1:0"
	}
	n, err := New(s, Platform{Headers: cicadaseam.DefaultMeshHeaders()})
	require.NoError(t, err)
	t.Cleanup(n.closeListeners)
	return n
}

// The page documents exactly the metrics that a node serves.
func TestPageAndMetricsAgree(t *testing.T) {
	n := newTestNode(t)
	n.meter.ObserveReply(dispatch.ReplyStats{Service: "desk", Priority: 1, Outcome: "ran", Latency: time.Millisecond})
	n.meter.ObserveRetry("desk", true)
	n.meter.ObserveRetry("desk", false)
	n.meter.ObserveStoreCall("read", "ok")
	n.rollouts.tracker.AddOrder(time.Second, cicadaseam.RolloutOrder{Service: "desk", Version: "v2", Duration: time.Minute})
	w := httptest.NewRecorder()
	n.meter.handler(n).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	placeholders := map[string]string{
		"requests.desk.1.ran.none": "requests.SERVICE.PRIORITY.OUTCOME.REASON", "latency-us.desk": "latency-us.SERVICE",
		"queued-us.desk": "queued-us.SERVICE", "backend-us.desk": "backend-us.SERVICE", "added-us.desk": "added-us.SERVICE",
		"repeats.desk.made": "repeats.SERVICE.VERDICT", "repeats.desk.denied": "repeats.SERVICE.VERDICT", "store.read.ok": "store.OPERATION.RESULT",
		"rollout-state.desk": "rollout-state.SERVICE", "rollout-sent.desk": "rollout-sent.SERVICE", "rollout-sent-to-version.desk": "rollout-sent-to-version.SERVICE", "builds.unknown": "builds.BUILD",
	}
	_, table, found := strings.Cut(readPage(t), "| name | meaning |")
	require.True(t, found)
	documented, served := map[string]bool{}, map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([a-zA-Z][a-zA-Z., -]*) \|`).FindAllStringSubmatch(table, -1) {
		for _, name := range strings.Split(row[1], ", ") {
			documented[name] = true
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(w.Body.String()), "\n") {
		name, _, _ := strings.Cut(line, " ")
		if generic := placeholders[name]; generic != "" {
			name = generic
		}
		require.True(t, documented[name], "the page does not document %q", name)
		served[name] = true
	}
	require.Equal(t, documented, served, "the page documents metrics that are not served")
}

func TestPageNamesEachSetting(t *testing.T) {
	text := readPage(t)
	var s Settings
	for _, f := range s.Fields() {
		require.Regexp(t, `(?m)^\| \[`+f.Section+`\][^|]*\b`+f.Key+`\b`, text)
	}
}

func TestSettingsErrorsAreReportedTogether(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\n[listen]\ncalls = a:1\nready = a:2\nbackend = a:3\nlinks = a:4\n"+
		"[store]\naddress = a:5\n[retry]\nratio = much\nslack = -1\n[shutdown]\ngrace = soon\n[other]\nkey = 1\n"), 0o600))
	_, err := Load(file)
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	require.Len(t, settingsErr.Problems, 5)
	for _, want := range []string{"[node] service", "[retry] ratio", "[retry] slack", "[shutdown] grace", "[other] key"} {
		require.ErrorContains(t, err, want)
	}
}

func TestInvalidAddressIsAnError(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\nservice = s\n[listen]\ncalls = nowhere\nready = a:2\nbackend = a:3\nlinks = a:4\n[store]\naddress = a:5\n"), 0o600))
	_, err := Load(file)
	require.ErrorContains(t, err, "[listen] calls")
}

// Invalid addresses are reported together with all other problems.
func TestAddressErrorsAreReportedWithTheOthers(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\nservice = s\n[listen]\ncalls = nowhere\nready = a:2\nbackend = a:3\nlinks = 4\n"+
		"[store]\naddress = a:5\n[retry]\nratio = much\n"), 0o600))
	_, err := Load(file)
	var settingsErr *settings.Error
	require.ErrorAs(t, err, &settingsErr)
	require.Len(t, settingsErr.Problems, 3)
	for _, want := range []string{"[listen] calls", "[listen] links", "[retry] ratio"} {
		require.ErrorContains(t, err, want)
	}
}

func BenchmarkObserveReply(b *testing.B) {
	m := NewMeter()
	for b.Loop() {
		m.ObserveReply(dispatch.ReplyStats{Service: "desk", Priority: 1, Outcome: "ran", Latency: time.Millisecond})
	}
}
