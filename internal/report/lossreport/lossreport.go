// Package lossreport adds up the lines that nodes log about requests which were not answered
// within their latency objective.
//
// # Usage
//
//	s := lossreport.New()
//	err := s.Read(file)
//	err = s.Write(os.Stdout)
package lossreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/mesh/losses"
	"github.com/cicadaseam/cicadaseam/internal/report/logline"
)

// Summary adds up the lines of the recorders of several nodes.
type Summary struct {
	lines    int
	byRoute  map[string]map[string]int
	byZone   map[string]map[string]int
	bySecond map[string]map[string]int
}

// New returns an empty Summary.
func New() *Summary {
	return &Summary{byRoute: map[string]map[string]int{}, byZone: map[string]map[string]int{}, bySecond: map[string]map[string]int{}}
}

// Lines returns the number of lines that were added up.
func (s *Summary) Lines() int { return s.lines }

// Read adds the lines of one log.
func (s *Summary) Read(r io.Reader) error { return logline.Read(r, losses.Message, s.add) }

func (s *Summary) add(l logline.Line) {
	if l.Message != losses.Message {
		return
	}
	s.lines++
	route, _ := l.Fields["route"].(string)
	zone, _ := l.Fields["zone"].(string)
	for name, value := range l.Fields {
		n, isNumber := value.(float64)
		if !isNumber {
			continue
		}
		count(s.byRoute, route, name, int(n))
		count(s.byZone, zone, kindOf(name), int(n))
		count(s.bySecond, l.Time.UTC().Format(time.TimeOnly), kindOf(name), int(n))
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
	if cause == losses.OnTime {
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
	columns := map[string]bool{}
	for _, row := range rows {
		for column := range row {
			columns[column] = true
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := slices.Sorted(maps.Keys(columns))
	fmt.Fprintf(t, "%s\t%s\t\n", title, strings.Join(header, "\t")) // Flush reports failures
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		fmt.Fprintf(t, "%s\t", name)
		for _, column := range header {
			fmt.Fprintf(t, "%d\t", rows[name][column])
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t)
	return errors.Wrap(t.Flush(), "write a table")
}
