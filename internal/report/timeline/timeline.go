// Package timeline reconstructs what happened to one request from the logs of several nodes.
//
// # Model
//
// Logs are JSON lines, which may have a prefix before the JSON. The lines with the id of the
// request, or of a nested call that its backend server made, are sorted by time, and each is
// printed as one line of text with the node, the message and the other fields. Lines without
// valid JSON are skipped, since a log may begin or end in the middle of a line.
//
// # Usage
//
//	t := timeline.New("9c41d07be2a35f68")
//	err := t.Read(file)
//	err = t.Write(os.Stdout)
package timeline

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cicadaseam/cicadaseam/internal/report/logline"
)

// entry is one log line about the request.
type entry struct{ logline.Line }

// Timeline collects the log entries about one request.
type Timeline struct {
	id      string
	entries []entry
}

// New returns an empty Timeline of the request with an id.
func New(id string) *Timeline { return &Timeline{id: id} }

// Len returns the number of entries found.
func (t *Timeline) Len() int { return len(t.entries) }

// Read adds the entries of one log.
func (t *Timeline) Read(r io.Reader) error { return logline.Read(r, t.id, t.add) }

// add adds a line if it is about the request or a nested call.
func (t *Timeline) add(l logline.Line) {
	id, _ := l.Fields["request"].(string)
	if id == t.id || strings.HasPrefix(id, t.id+".") {
		t.entries = append(t.entries, entry{l})
	}
}

// Write prints the entries in order of time, each with the time since the first.
func (t *Timeline) Write(w io.Writer) error {
	sort.SliceStable(t.entries, func(i, j int) bool { return t.entries[i].Time.Before(t.entries[j].Time) })
	for i, e := range t.entries {
		if i == 0 {
			if _, err := fmt.Fprintf(w, "request %s, from %s\n", t.id, e.Time.Format(time.RFC3339Nano)); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(w, "%10.3f ms  %s  %s  %s\n", float64(e.Time.Sub(t.entries[0].Time).Microseconds())/1000, e.Node, e.Message, e.fieldText())
		if err != nil {
			return err
		}
	}
	return nil
}

// fieldText returns the fields of an entry, sorted by name.
func (e *entry) fieldText() string {
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, e.Fields[name])
	}
	return strings.Join(parts, " ")
}
