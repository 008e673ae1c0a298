package fold

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

func init() {
	// A fixed seed makes all runs draw the same cases.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

func record(t require.TestingT, offset cicadaseam.Offset, c cicadaseam.Change) cicadaseam.Record {
	data, err := change.Encode(c)
	require.NoError(t, err)
	return cicadaseam.Record{Offset: offset, Data: data}
}

func set(path, key, value string) cicadaseam.Edit {
	return cicadaseam.Edit{Path: path, Key: key, Value: value}
}

// baseEdits make a small valid tree.
var baseEdits = []cicadaseam.Edit{
	set("service:a", "owner", "x"), set("service:b", "owner", "x"),
	set("route:r", "prefix", "/r"), set("route:r", "service", "a"),
	set("scope:*", "deadline", "1s"),
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		change  cicadaseam.Change
		verdict cicadaseam.Verdict
		fault   string
	}{
		{"a new value", cicadaseam.Change{ID: "1", Base: 1, Edits: []cicadaseam.Edit{set("scope:*", "deadline", "2s")}}, cicadaseam.VerdictAccepted, ""},
		{"the same id again", cicadaseam.Change{ID: "0", Base: 1, Edits: []cicadaseam.Edit{set("scope:*", "deadline", "2s")}}, cicadaseam.VerdictDuplicate, ""},
		{"a key changed since the base", cicadaseam.Change{ID: "2", Base: 0, Edits: []cicadaseam.Edit{set("scope:*", "deadline", "2s")}}, cicadaseam.VerdictConflict, "changed at version 1, after the base version 0"},
		{"a deleted object changed since the base", cicadaseam.Change{ID: "2", Base: 0, Edits: []cicadaseam.Edit{{Path: "route:r", Delete: true}}}, cicadaseam.VerdictConflict, "changed at version 1"},
		{"a dangling route", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("route:r", "service", "c")}}, cicadaseam.VerdictInvalid, `there is no service "c"`},
		{"a service that a route needs", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{{Path: "service:a", Delete: true}}}, cicadaseam.VerdictInvalid, `there is no service "a"`},
		{"an unknown key", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("scope:*", "dead-line", "2s")}}, cicadaseam.VerdictInvalid, "unknown key"},
		{"a value out of range", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("scope:*", "retries", "9")}}, cicadaseam.VerdictInvalid, "9 is outside 0 to 5"},
		{"an unknown scope", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("scope:*/*/c", "retries", "1")}}, cicadaseam.VerdictInvalid, `unknown service "c"`},
		{"an unknown kind", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("rout:r", "service", "a")}}, cicadaseam.VerdictInvalid, `unknown kind of object "rout"`},
		{"two routes with one prefix", cicadaseam.Change{ID: "3", Base: 1, Edits: []cicadaseam.Edit{set("route:s", "prefix", "/r"), set("route:s", "service", "b")}}, cicadaseam.VerdictInvalid, "has the same value as route:r"},
		{"no edits", cicadaseam.Change{ID: "3", Base: 1}, cicadaseam.VerdictInvalid, "there are no edits"},
		{"a base version past the end of the stream", cicadaseam.Change{ID: "3", Base: 7, Edits: baseEdits}, cicadaseam.VerdictInvalid, "is not before record 2"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := New()
			_, err := f.Apply(record(t, 1, cicadaseam.Change{ID: "0", Edits: baseEdits}))
			require.NoError(t, err)
			treeBefore := f.Tree().Digest()
			d, err := f.Apply(record(t, 2, tc.change))
			require.NoError(t, err)
			require.Equal(t, tc.verdict, d.Verdict, d.Faults)
			if tc.fault != "" {
				require.Contains(t, d.Faults[0].String(), tc.fault)
			}
			if d.Verdict != cicadaseam.VerdictAccepted {
				require.Equal(t, treeBefore, f.Tree().Digest(), "a change that is not accepted leaves the tree as it was")
				require.Equal(t, cicadaseam.Offset(1), f.Version())
			}
		})
	}
}

func TestUnknownFormatStopsTheFold(t *testing.T) {
	f := New()
	_, err := f.Apply(record(t, 1, cicadaseam.Change{ID: "0", Edits: baseEdits}))
	require.NoError(t, err)
	_, err = f.Apply(cicadaseam.Record{Offset: 2, Data: []byte{99, 1, 2}})
	var halted *HaltedError
	require.ErrorAs(t, err, &halted)
	require.Equal(t, byte(99), halted.Format)
	_, err = f.Apply(record(t, 3, cicadaseam.Change{ID: "2", Base: 1, Edits: baseEdits[:1]}))
	require.ErrorAs(t, err, &halted, "a halted fold skips no record")
	require.Equal(t, cicadaseam.Offset(1), f.Position())
}

func TestGapIsRefused(t *testing.T) {
	f := New()
	_, err := f.Apply(record(t, 2, cicadaseam.Change{ID: "0", Edits: baseEdits}))
	var gap *GapError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, GapError{Have: 0, Got: 2}, *gap)
}

// drawStream draws a stream of changes by concurrent operators, with old base
// versions, repeated ids, invalid values and records that do not decode.
func drawStream(t *rapid.T) []cicadaseam.Record {
	n := rapid.IntRange(1, 40).Draw(t, "records")
	stream := []cicadaseam.Record{record(t, 1, cicadaseam.Change{ID: "base", Edits: baseEdits})}
	for i := 2; i <= n; i++ {
		offset := cicadaseam.Offset(i)
		if rapid.IntRange(0, 15).Draw(t, "kind") == 0 {
			stream = append(stream, cicadaseam.Record{Offset: offset, Data: append([]byte{change.Format}, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")...)})
			continue
		}
		stream = append(stream, record(t, offset, drawChange(t, i)))
	}
	return stream
}

func drawChange(t *rapid.T, offset int) cicadaseam.Change {
	paths := []string{"service:a", "service:b", "service:c", "route:r", "route:s", "scope:*", "scope:*/*/a"}
	keys := []string{"owner", "prefix", "service", "deadline", "retries"}
	values := []string{"a", "b", "c", "/r", "/s", "1s", "2", "-1", ""}
	c := cicadaseam.Change{
		ID:   fmt.Sprint("id-", rapid.IntRange(0, 30).Draw(t, "id")),
		Base: cicadaseam.Offset(rapid.IntRange(0, offset).Draw(t, "base")),
	}
	for range rapid.IntRange(1, 4).Draw(t, "edits") {
		c.Edits = append(c.Edits, cicadaseam.Edit{
			Path:   rapid.SampledFrom(paths).Draw(t, "path"),
			Key:    rapid.SampledFrom(keys).Draw(t, "key"),
			Value:  rapid.SampledFrom(values).Draw(t, "value"),
			Delete: rapid.IntRange(0, 6).Draw(t, "delete") == 0,
		})
	}
	return c
}

// All readers of a stream reach the same tree, digest and verdicts, whichever
// snapshot they start from. The version never decreases, no version holds a route
// without its service, and a change is applied whole or not at all.
func TestEveryReaderDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		snapshotAt := rapid.IntRange(0, len(stream)).Draw(t, "snapshot at")
		fromStart, fromSnapshot := New(), New()
		for i, r := range stream {
			treeBefore, version := fromStart.Tree().Digest(), fromStart.Version()
			d, err := fromStart.Apply(r)
			require.NoError(t, err)
			if d.Verdict != cicadaseam.VerdictAccepted {
				require.Equal(t, treeBefore, fromStart.Tree().Digest())
			}
			require.GreaterOrEqual(t, fromStart.Version(), version)
			table, err := tree.NewTable(fromStart.Tree(), cicadaseam.Locality{}, fromStart.Version())
			require.NoError(t, err)
			for _, route := range table.Routes {
				require.True(t, table.Services[route.Service])
			}
			if i+1 == snapshotAt {
				fromSnapshot = New(WithState(fromStart.State()))
			}
			if i+1 > snapshotAt {
				again, err := fromSnapshot.Apply(r)
				require.NoError(t, err)
				require.Equal(t, d, again)
			}
		}
		require.Equal(t, fromStart.Digest(), fromSnapshot.Digest())
		require.Equal(t, fromStart.Tree().Digest(), fromSnapshot.Tree().Digest())
	})
}
