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

func page(t *testing.T) string {
	data, err := os.ReadFile("../../../docs/operators/sidecar.md")
	require.NoError(t, err)
	return string(data)
}

// newTestNode returns a node that listens on loopback and does not run.
func newTestNode(t *testing.T) *Node {
	s := Settings{Name: "n", Zone: "z", Service: "s", BackendLease: time.Second}
	for _, to := range []*string{&s.CallAddr, &s.ReadyAddr, &s.RegistryAddr, &s.LinkAddr} {
		*to = "127.0.0.1:0"
	}
	n, err := New(s, Platform{Headers: cicadaseam.DefaultMeshHeaders()})
	require.NoError(t, err)
	t.Cleanup(n.closeListeners)
	return n
}

// The page names each metric, and each metric that it names is there.
func TestPageAndMetricsAgree(t *testing.T) {
	n := newTestNode(t)
	n.meter.ObserveReply(dispatch.ReplyStats{Service: "desk", Priority: 1, Outcome: "ran", Latency: time.Millisecond})
	n.meter.ObserveRetry("desk", true)
	n.meter.ObserveRetry("desk", false)
	n.meter.ObserveStoreCall("read", "ok")
	w := httptest.NewRecorder()
	n.meter.handler(n).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	generic := map[string]string{
		"requests.desk.1.ran.none": "requests.SERVICE.PRIORITY.OUTCOME.REASON", "latency-us.desk": "latency-us.SERVICE",
		"queued-us.desk": "queued-us.SERVICE", "backend-us.desk": "backend-us.SERVICE", "added-us.desk": "added-us.SERVICE",
		"repeats.desk.made": "repeats.SERVICE.VERDICT", "repeats.desk.denied": "repeats.SERVICE.VERDICT", "store.read.ok": "store.OPERATION.RESULT",
	}
	_, table, found := strings.Cut(page(t), "| name | meaning |")
	require.True(t, found)
	named, served := map[string]bool{}, map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([a-zA-Z][a-zA-Z., -]*) \|`).FindAllStringSubmatch(table, -1) {
		for _, name := range strings.Split(row[1], ", ") {
			named[name] = true
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(w.Body.String()), "\n") {
		name, _, _ := strings.Cut(line, " ")
		if g := generic[name]; g != "" {
			name = g
		}
		require.True(t, named[name], "the page does not name %q", name)
		served[name] = true
	}
	require.Equal(t, named, served, "the page names what is not there")
}

func TestPageNamesEachSetting(t *testing.T) {
	text := page(t)
	var s Settings
	for _, f := range s.Fields() {
		require.Regexp(t, `(?m)^\| \[`+f.Section+`\][^|]*\b`+f.Key+`\b`, text)
	}
}

func TestSettingsErrorsAreToldAllAtOnce(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\n[listen]\ncalls = a:1\nready = a:2\nbackend = a:3\nlinks = a:4\n"+
		"[store]\naddress = a:5\n[retry]\nratio = much\nslack = -1\n[shutdown]\ngrace = soon\n[other]\nkey = 1\n"), 0o600))
	_, err := Load(file)
	var faults *settings.Error
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.Problems, 5)
	for _, want := range []string{"[node] service", "[retry] ratio", "[retry] slack", "[shutdown] grace", "[other] key"} {
		require.ErrorContains(t, err, want)
	}
}

func TestAddressesAreChecked(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\nservice = s\n[listen]\ncalls = nowhere\nready = a:2\nbackend = a:3\nlinks = a:4\n[store]\naddress = a:5\n"), 0o600))
	_, err := Load(file)
	require.ErrorContains(t, err, "[listen] calls")
}

// Faults of addresses stand in the same message as all others.
func TestFaultsOfAddressesAreToldWithTheOthers(t *testing.T) {
	file := t.TempDir() + "/node.ini"
	require.NoError(t, os.WriteFile(file, []byte("[node]\nname = n\nzone = z\nservice = s\n[listen]\ncalls = nowhere\nready = a:2\nbackend = a:3\nlinks = 4\n"+
		"[store]\naddress = a:5\n[retry]\nratio = much\n"), 0o600))
	_, err := Load(file)
	var faults *settings.Error
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.Problems, 3)
	for _, want := range []string{"[listen] calls", "[listen] links", "[retry] ratio"} {
		require.ErrorContains(t, err, want)
	}
}

func BenchmarkReplied(b *testing.B) {
	m := NewMeter()
	for b.Loop() {
		m.ObserveReply(dispatch.ReplyStats{Service: "desk", Priority: 1, Outcome: "ran", Latency: time.Millisecond})
	}
}
