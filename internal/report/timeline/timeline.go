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
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// entry is one log line about the request.
type entry struct {
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

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
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if e, ok := t.parse(scanner.Text()); ok {
			t.entries = append(t.entries, e)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// parse returns the entry in a log line if it is about the request or a nested call.
func (t *Timeline) parse(text string) (entry, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, t.id) {
		return entry{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return entry{}, false
	}
	id, _ := fields["request"].(string)
	if id != t.id && !strings.HasPrefix(id, t.id+".") {
		return entry{}, false
	}
	timestamp, _ := fields["ts"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return entry{}, false
	}
	e := entry{time: parsed, fields: fields}
	e.node, _ = fields["node"].(string)
	e.message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "node", "msg", "level"} {
		delete(fields, name)
	}
	return e, true
}

// Write prints the entries in order of time, each with the time since the first.
func (t *Timeline) Write(w io.Writer) error {
	sort.SliceStable(t.entries, func(i, j int) bool { return t.entries[i].time.Before(t.entries[j].time) })
	for i, e := range t.entries {
		if i == 0 {
			if _, err := fmt.Fprintf(w, "request %s, from %s\n", t.id, e.time.Format(time.RFC3339Nano)); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(w, "%10.3f ms  %s  %s  %s\n", float64(e.time.Sub(t.entries[0].time).Microseconds())/1000, e.node, e.message, e.fieldText())
		if err != nil {
			return err
		}
	}
	return nil
}

// fieldText returns the fields of an entry, sorted by name.
func (e *entry) fieldText() string {
	names := make([]string, 0, len(e.fields))
	for name := range e.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, e.fields[name])
	}
	return strings.Join(parts, " ")
}
