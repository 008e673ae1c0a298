package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam"
)

// logWatcher parses the log lines of a node process as it writes them, and keeps the times of the
// events that experiments measure.
type logWatcher struct {
	mu        sync.Mutex
	partial   []byte // the start of a line whose end has not been written yet
	lastLine  string
	decidedAt map[cicadaseam.Offset]time.Time
	firstSeen map[string]time.Time // by "NAME STATE"
}

// logLine holds the fields of a log line that logWatcher uses.
type logLine struct {
	TS      time.Time         `json:"ts"`
	Message string            `json:"msg"`
	Version cicadaseam.Offset `json:"version"`
	Member  string            `json:"member"`
	Is      string            `json:"is"`
}

func newLogWatcher() *logWatcher {
	return &logWatcher{decidedAt: map[cicadaseam.Offset]time.Time{}, firstSeen: map[string]time.Time{}}
}

// Write implements io.Writer and handles each complete line.
func (w *logWatcher) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partial = append(w.partial, b...)
	for {
		line, rest, found := bytes.Cut(w.partial, []byte("\n"))
		if !found {
			return len(b), nil
		}
		w.partial = rest
		w.handleLine(line)
	}
}

// last returns the last line, which says why a process exited.
func (w *logWatcher) last() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastLine
}

// handleLine stores the time of the event that a line reports, if it is one of interest.
func (w *logWatcher) handleLine(line []byte) {
	w.lastLine = string(line)
	var x logLine
	if json.Unmarshal(line, &x) != nil {
		return
	}
	switch x.Message {
	case "record decided":
		w.decidedAt[x.Version] = x.TS
	case "member changed":
		key := x.Member + " " + x.Is
		if _, known := w.firstSeen[key]; !known {
			w.firstSeen[key] = x.TS
		}
	}
}

// DecidedAt returns when the node decided the record with this version, and false if it has not.
func (n *Node) DecidedAt(v cicadaseam.Offset) (time.Time, bool) {
	n.logs.mu.Lock()
	defer n.logs.mu.Unlock()
	at, ok := n.logs.decidedAt[v]
	return at, ok
}

// FirstSawState returns when the node first saw a member in a state, and false if it never has.
func (n *Node) FirstSawState(member, state string) (time.Time, bool) {
	n.logs.mu.Lock()
	defer n.logs.mu.Unlock()
	at, ok := n.logs.firstSeen[member+" "+state]
	return at, ok
}

// metrics reads the metrics of a node, by name.
func (n *Node) metrics(ctx context.Context) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.operatorURL+"/v1/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := n.fleet.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var raw map[string]struct {
		Value float64 `json:"value"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		return nil, err
	}
	out := make(map[string]float64, len(raw))
	for name, v := range raw {
		out[name] = v.Value
	}
	return out, nil
}

// Usage is a reading of the resource counters of the nodes and the log. Its slices have one value
// for each running node.
type Usage struct {
	At                time.Time
	ControlBytes      []float64 // received and sent for the control plane, since the start
	CPUSeconds        []float64 // processor time since the start
	RSSBytes          []float64 // resident memory
	ConcurrencyLimits []float64 // concurrency limit of the target of each node, in calls
	NodeLogReads      []float64 // reads of the log since the start
	LogReads          int64     // reads and bounds requests that the log received from all nodes
	Appends           int64     // appends that the log received from all nodes
}

// Usage reads the counters of every running node.
func (f *Fleet) Usage(ctx context.Context) (Usage, error) {
	stats := f.Log.Stats()
	u := Usage{At: time.Now(), LogReads: stats.Reads + stats.Bounds, Appends: stats.Appends}
	for _, n := range f.Nodes {
		if !n.running() {
			continue
		}
		m, err := n.metrics(ctx)
		if err != nil {
			return u, errors.Wrapf(err, "metrics of %s", n.Host.Name)
		}
		cpuSeconds, rssBytes, err := processUsage(n.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.ControlBytes = append(u.ControlBytes, m["control.bytes"])
		u.CPUSeconds = append(u.CPUSeconds, cpuSeconds)
		u.RSSBytes = append(u.RSSBytes, rssBytes)
		u.ConcurrencyLimits = append(u.ConcurrencyLimits, m["target.limit"])
		u.NodeLogReads = append(u.NodeLogReads, m["config.log-reads"])
	}
	return u, nil
}

// processUsage returns the processor time in seconds and the resident memory in bytes of a process,
// from /proc/PID/stat.
func processUsage(pid int) (cpuSeconds, rssBytes float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read the usage of a process")
	}
	const skipped = 2 // the fields PID and name, which are cut off
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	field := func(i int) float64 {
		x, _ := strconv.ParseFloat(fields[i-1-skipped], 64)
		return x
	}
	const userTime, systemTime, residentPages = 14, 15, 24 // field numbers of proc(5), from 1
	return (field(userTime) + field(systemTime)) * clockTick.Seconds(), field(residentPages) * float64(os.Getpagesize()), nil
}
