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

// lines reads the log lines of a node as they come.
type lines struct {
	mu       sync.Mutex
	partial  []byte
	lastLine string
	taken    map[cicadaseam.Offset]time.Time
	members  map[string]time.Time // "NAME STATE" to its first time
}

type logLine struct {
	TS      time.Time         `json:"ts"`
	Message string            `json:"msg"`
	Version cicadaseam.Offset `json:"version"`
	Member  string            `json:"member"`
	Is      string            `json:"is"`
}

func newLines() *lines {
	return &lines{taken: map[cicadaseam.Offset]time.Time{}, members: map[string]time.Time{}}
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, b...)
	for {
		line, rest, whole := bytes.Cut(l.partial, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		l.partial = rest
		l.note(line)
	}
}

// last returns the last line, which says why a process ended.
func (l *lines) last() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastLine
}

func (l *lines) note(line []byte) {
	l.lastLine = string(line)
	var x logLine
	if json.Unmarshal(line, &x) != nil {
		return
	}
	switch x.Message {
	case "record decided":
		l.taken[x.Version] = x.TS
	case "member changed":
		key := x.Member + " " + x.Is
		if _, known := l.members[key]; !known {
			l.members[key] = x.TS
		}
	}
}

// Taken returns when the node took a record.
func (n *Node) DecidedAt(v cicadaseam.Offset) (time.Time, bool) {
	n.lines.mu.Lock()
	defer n.lines.mu.Unlock()
	at, ok := n.lines.taken[v]
	return at, ok
}

// Saw returns when the node first saw a member in a state.
func (n *Node) FirstSawState(member, state string) (time.Time, bool) {
	n.lines.mu.Lock()
	defer n.lines.mu.Unlock()
	at, ok := n.lines.members[member+" "+state]
	return at, ok
}

// metrics returns the metrics of a node by name.
func (n *Node) metrics(ctx context.Context) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.operator+"/v1/metrics", nil)
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

// Usage is what a fleet had used at one moment.
type Usage struct {
	At                time.Time
	ControlBytes      []float64 // bytes by node
	CPUSeconds        []float64 // seconds by node
	RSSBytes          []float64 // bytes by node
	ConcurrencyLimits []float64 // calls that each target runs at once at most
	NodeLogReads      []float64 // reads of the log by node
	LogReads          int64
	Appends           int64
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
		cpu, rss, err := processUsage(n.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.ControlBytes = append(u.ControlBytes, m["control.bytes"])
		u.CPUSeconds = append(u.CPUSeconds, cpu)
		u.RSSBytes = append(u.RSSBytes, rss)
		u.ConcurrencyLimits = append(u.ConcurrencyLimits, m["target.limit"])
		u.NodeLogReads = append(u.NodeLogReads, m["config.log-reads"])
	}
	return u, nil
}

// processUsage returns the processor seconds and the resident bytes of a
// process.
func processUsage(pid int) (cpu, rss float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "processor time")
	}
	const skipped = 2 // pid and name come before the fields
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	number := func(i int) float64 {
		x, _ := strconv.ParseFloat(fields[i-1-skipped], 64)
		return x
	}
	const userTime, systemTime, residentPages = 14, 15, 24
	return (number(userTime) + number(systemTime)) * clockTick.Seconds(), number(residentPages) * float64(os.Getpagesize()), nil
}
