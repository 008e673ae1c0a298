// Package timeline tells what happened to one request from the decision logs of
// several nodes.
//
// # Model
//
// Logs are JSON lines. The lines that carry the id of a request, or of a call that
// its backend server made, are put in order of time; each is told in one line of
// text with the node, the decision and its inputs. Lines that are no JSON are passed
// over, since a log may begin or end in the middle of one, and may carry a prefix
// before the JSON.
//
// # Usage
//
//	s := timeline.New("9c41d07be2a35f68")
//	err := s.Read(file)
//	err = s.Tell(os.Stdout)
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

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// line is one decision.
type line struct {
	at     time.Time
	node   string
	msg    string
	fields map[string]any
}

// Story gathers the decisions about one request.
type Timeline struct {
	id    string
	lines []line
}

// New returns an empty story of a request.
func New(id string) *Timeline { return &Timeline{id: id} }

// Len returns how many decisions were found.
func (s *Timeline) Len() int { return len(s.lines) }

// Read gathers from one log.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l, ok := s.parse(scanner.Text()); ok {
			s.lines = append(s.lines, l)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// parse returns the decision in a line of a log if it is about the request.
func (s *Timeline) parse(text string) (line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 || !strings.Contains(text, s.id) {
		return line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return line{}, false
	}
	id, _ := fields["request"].(string)
	if id != s.id && !strings.HasPrefix(id, s.id+".") {
		return line{}, false
	}
	stamp, _ := fields["ts"].(string)
	when, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return line{}, false
	}
	l := line{at: when, fields: fields}
	l.node, _ = fields["node"].(string)
	l.msg, _ = fields["msg"].(string)
	for _, told := range []string{"ts", "node", "msg", "level"} {
		delete(fields, told)
	}
	return l, true
}

// Tell writes the decisions in order of time, each with the time since the first.
func (s *Timeline) Write(w io.Writer) error {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].at.Before(s.lines[j].at) })
	for i, l := range s.lines {
		if i == 0 {
			if _, err := fmt.Fprintf(w, "request %s, from %s\n", s.id, l.at.Format(time.RFC3339Nano)); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(w, "%10.3f ms  %s  %s  %s\n", float64(l.at.Sub(s.lines[0].at).Microseconds())/1000, l.node, l.msg, l.inputs())
		if err != nil {
			return err
		}
	}
	return nil
}

// inputs returns the fields of a decision in order of name.
func (l *line) inputs() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, l.fields[name])
	}
	return strings.Join(parts, " ")
}
