package losses

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// Summary adds up the lines of Recorders.
type Summary struct {
	lines    int
	byRoute  map[string]map[string]int
	byZone   map[string]map[string]int
	bySecond map[string]map[string]int
}

// NewSummary returns an empty Summary.
func NewSummary() *Summary {
	return &Summary{byRoute: map[string]map[string]int{}, byZone: map[string]map[string]int{}, bySecond: map[string]map[string]int{}}
}

// Lines returns the number of lines that were added up.
func (s *Summary) Lines() int { return s.lines }

// Read adds the lines of one log. Lines may have a prefix before the JSON. Those without valid
// JSON are skipped, since a log may begin or end in the middle of a line.
func (s *Summary) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if text := scanner.Text(); strings.Contains(text, Message) {
			s.add(text)
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

func (s *Summary) add(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil || fields["msg"] != Message {
		return
	}
	route, _ := fields["route"].(string)
	zone, _ := fields["zone"].(string)
	timestamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return
	}
	s.lines++
	for name, value := range fields {
		n, isNumber := value.(float64)
		if !isNumber {
			continue
		}
		count(s.byRoute, route, name, int(n))
		count(s.byZone, zone, kindOf(name), int(n))
		count(s.bySecond, at.UTC().Format(time.TimeOnly), kindOf(name), int(n))
	}
}

func count(table map[string]map[string]int, row, column string, n int) {
	if table[row] == nil {
		table[row] = map[string]int{}
	}
	table[row][column] += n
}

// kindOf returns the kind of a cause: on-time, late, refused, again or failed.
func kindOf(cause string) string {
	if cause == causeOnTime {
		return cause
	}
	kind, _, _ := strings.Cut(cause, "-")
	return kind
}

// Write prints a table by route and cause, and tables by zone and by second.
func (s *Summary) Write(w io.Writer) error {
	for _, t := range []struct {
		title string
		rows  map[string]map[string]int
	}{{"route", s.byRoute}, {"zone", s.byZone}, {"second", s.bySecond}} {
		if err := writeTable(w, t.title, t.rows); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(w io.Writer, title string, rows map[string]map[string]int) error {
	columns := map[string]int{}
	names := make([]string, 0, len(rows))
	for name, row := range rows {
		names = append(names, name)
		for column := range row {
			columns[column]++
		}
	}
	sort.Strings(names)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := sortedKeys(columns)
	fmt.Fprintf(t, "%s\t%s\t\n", title, strings.Join(header, "\t")) // Flush reports failures
	for _, name := range names {
		fmt.Fprintf(t, "%s\t", name)
		for _, column := range header {
			fmt.Fprintf(t, "%d\t", rows[name][column])
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return errors.Wrap(t.Flush(), "write a table")
}
