// Package changefile reads changes that operators write as INI files.
//
// # Model
//
// Each section stands for an object of the tree, and each line sets a key:
//
//	[change]
//	id = 2f6c...         optional; generated if missing
//	base = 41            the version that the author read
//
//	[scope:georgia-east/*/status-portal]
//	deadline = 800ms
//	delete = retries     comma-separated keys to delete
//
//	[-route:old]         deletes a whole object
//
// # Usage
//
//	f, err := changefile.Load("change.ini")
//	fmt.Println(f.Location(fault)) // change.ini:12
package changefile

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cicadaseam/cicadaseam"
)

// ParseError reports a file that is not a valid change.
type ParseError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// File is a change with the line numbers of its parts.
type File struct {
	Name   string
	Change cicadaseam.Change
	// HasBase is set if the file states the base version of the change.
	HasBase bool
	// lineNumbers is the result of lineIndex.
	lineNumbers map[string]int
}

const (
	changeSection = "change"
	deleteKey     = "delete"
	deletePrefix  = "-"
)

// Load reads a change from a file.
func Load(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read change")
	}
	return Parse(name, data)
}

// Parse reads a change from data. Name is the file name for errors and locations.
func Parse(name string, data []byte) (*File, error) {
	f := &File{Name: name, lineNumbers: lineIndex(data)}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, &ParseError{File: name, Line: f.firstBadLine(data), Reason: err.Error()}
	}
	for _, s := range parsed.Sections() {
		if err := f.addSection(s); err != nil {
			return nil, err
		}
	}
	if len(f.Change.Edits) == 0 {
		return nil, &ParseError{File: name, Line: 1, Reason: "there is nothing to change"}
	}
	return f, nil
}

// addSection adds the edits, or the metadata of the change, that a section holds.
func (f *File) addSection(s *ini.Section) error {
	switch {
	case s.Name() == ini.DefaultSection:
		if len(s.Keys()) > 0 {
			key := s.Keys()[0].Name()
			return &ParseError{File: f.Name, Line: f.lineNumbers["\x00"+key], Reason: "key " + key + " is before any section"}
		}
	case s.Name() == changeSection:
		return f.addChangeSection(s)
	case strings.HasPrefix(s.Name(), deletePrefix):
		if len(s.Keys()) > 0 {
			return &ParseError{File: f.Name, Line: f.lineNumbers[s.Name()], Reason: "a section that deletes an object has no keys"}
		}
		f.addEdit(cicadaseam.Edit{Path: s.Name()[1:], Delete: true})
	default:
		f.addObjectSection(s)
	}
	return nil
}

func (f *File) addChangeSection(s *ini.Section) error {
	for _, k := range s.Keys() {
		switch k.Name() {
		case "id":
			f.Change.ID = k.String()
		case "author":
			f.Change.Author = k.String()
		case "base":
			base, err := strconv.ParseUint(k.String(), 10, 64)
			if err != nil {
				return &ParseError{File: f.Name, Line: f.lineNumbers["change\x00base"], Reason: "base is not a version number"}
			}
			f.Change.Base = cicadaseam.Offset(base)
			f.HasBase = true
		default:
			return &ParseError{File: f.Name, Line: f.lineNumbers["change\x00"+k.Name()], Reason: "unknown key " + k.Name() + " in [change]"}
		}
	}
	return nil
}

func (f *File) addObjectSection(s *ini.Section) {
	for _, k := range s.Keys() {
		if k.Name() != deleteKey {
			f.addEdit(cicadaseam.Edit{Path: s.Name(), Key: k.Name(), Value: k.String()})
			continue
		}
		for _, key := range strings.Split(k.String(), ",") {
			f.addEdit(cicadaseam.Edit{Path: s.Name(), Key: strings.TrimSpace(key), Delete: true})
		}
	}
}

func (f *File) addEdit(e cicadaseam.Edit) {
	f.Change.Edits = append(f.Change.Edits, e)
}

// Location returns the place of a fault in the file: that of its key, or else of its
// section, as "name:line". If the file has neither, it returns the name only.
func (f *File) Location(fault cicadaseam.Fault) string {
	for _, key := range []string{fault.Path + "\x00" + fault.Key, fault.Path, deletePrefix + fault.Path} {
		if line := f.lineNumbers[key]; line > 0 {
			return fmt.Sprintf("%s:%d", f.Name, line)
		}
	}
	return f.Name
}

// lineIndex returns the line number of each section, by its name, and of each key, by
// section, a zero byte and the key. Package ini does not report them.
func lineIndex(data []byte) map[string]int {
	lines := map[string]int{}
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			section = strings.Trim(text, "[]")
			lines[section] = n
			continue
		}
		key, _, _ := strings.Cut(text, "=")
		lines[section+"\x00"+strings.TrimSpace(key)] = n
	}
	return lines
}

// firstBadLine returns the number of the first line that is neither empty nor a comment, a
// section or a key with a value. It returns 1 if there is no such line.
func (f *File) firstBadLine(data []byte) int {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.ContainsAny(text[:1], "#;") {
			continue
		}
		section := text[0] == '[' && text[len(text)-1] == ']'
		if !section && !strings.Contains(text, "=") {
			return n
		}
	}
	return 1
}
