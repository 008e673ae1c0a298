// Package logline reads the JSON log lines of nodes.
//
// # Usage
//
//	err := logline.Read(file, "request refused", func(l logline.Line) { ... })
package logline

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields are the other fields, by name.
	Fields map[string]any
}

// Read passes the lines of a log that contain a text to a function. Lines may have a prefix before
// the JSON. Those without valid JSON or a time are skipped, since a log may begin or end in the
// middle of a line.
func Read(r io.Reader, text string, handle func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), text) {
			continue
		}
		if l, ok := parse(scanner.Text()); ok {
			handle(l)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	timestamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Fields: fields}
	l.Node, _ = fields["node"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "node", "msg", "level"} {
		delete(fields, name)
	}
	return l, true
}
