// Package settings reads INI files with strict validation.
//
// # Model
//
// A program declares its fields: section, key, unit, default and how to set the value. Load
// rejects unknown keys, invalid values and missing required keys, and reports all of them at
// once with file, section and key. Example writes a commented file with every field.
//
// # Usage
//
//	fields := []settings.Field{settings.String(&cfg.Name, "node", "name", "", "name of this node")}
//	err := settings.Load("node.ini", fields)
package settings

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Field declares one setting.
type Field struct {
	Section  string
	Key      string
	Default  string
	Required bool
	Unit     string
	Help     string
	// set parses a value and stores it.
	set func(value string) error
}

// Problem is one error in a file.
type Problem struct {
	Section string
	Key     string
	Text    string
}

// Error reports all problems of a file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: [%s] %s: %s", e.File, p.Section, p.Key, p.Text)
	}
	return strings.Join(lines, "\n")
}

// String declares a text field.
func String(dst *string, section, key, fallback, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: "text", set: func(v string) error {
		*dst = v
		return nil
	}}
}

// Address declares a field with a host and a port. The value may be empty if the default is.
func Address(dst *string, section, key, fallback, help string) Field {
	f := String(dst, section, key, fallback, help)
	f.set = func(v string) error {
		if _, _, err := net.SplitHostPort(v); err != nil && (v != "" || fallback != "") {
			return err
		}
		*dst = v
		return nil
	}
	return f
}

// List declares a field with a comma-separated list.
func List(dst *[]string, section, key, fallback, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: "list", set: func(v string) error {
		*dst = nil
		for _, part := range strings.Split(v, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*dst = append(*dst, part)
			}
		}
		return nil
	}}
}

// Int declares a field with a whole number from low to high.
func Int(dst *int, section, key string, fallback, low, high int, unit, help string) Field {
	return Field{Section: section, Key: key, Default: strconv.Itoa(fallback), Help: help, Unit: unit, set: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is outside %d to %d", n, low, high)
		}
		*dst = n
		return nil
	}}
}

// Float declares a field with a number from low to high.
func Float(dst *float64, section, key string, fallback, low, high float64, unit, help string) Field {
	return Field{Section: section, Key: key, Default: strconv.FormatFloat(fallback, 'g', -1, 64), Help: help, Unit: unit, set: func(v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if x < low || x > high {
			return fmt.Errorf("%g is outside %g to %g", x, low, high)
		}
		*dst = x
		return nil
	}}
}

// Duration declares a field with a duration from low to high.
func Duration(dst *time.Duration, section, key string, fallback, low, high time.Duration, help string) Field {
	return Field{Section: section, Key: key, Default: fallback.String(), Help: help, Unit: "duration", set: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is outside %s to %s", d, low, high)
		}
		*dst = d
		return nil
	}}
}

// OneOf declares a field that takes one of a set of values.
func OneOf(dst *string, section, key, fallback string, values []string, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: strings.Join(values, "|"), set: func(v string) error {
		for _, x := range values {
			if v == x {
				*dst = v
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", v, strings.Join(values, ", "))
	}}
}

// Required makes a field required.
func Required(f Field) Field {
	f.Required = true
	return f
}

// Load reads a file into the fields.
func Load(file string, fields []Field) error {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowBooleanKeys: true}, file)
	if err != nil {
		return &Error{File: file, Problems: []Problem{{Section: "-", Key: "-", Text: err.Error()}}}
	}
	return load(file, f, fields)
}

// LoadBytes reads settings from data. Errors refer to the file as name.
func LoadBytes(name string, data []byte, fields []Field) error {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowBooleanKeys: true}, data)
	if err != nil {
		return &Error{File: name, Problems: []Problem{{Section: "-", Key: "-", Text: err.Error()}}}
	}
	return load(name, f, fields)
}

func load(name string, f *ini.File, fields []Field) error {
	var problems []Problem
	known, sections := map[string]bool{}, map[string]bool{ini.DefaultSection: true}
	for _, field := range fields {
		sections[field.Section] = true
		known[field.Section+"\x00"+field.Key] = true
		if p := field.load(f); p != "" {
			problems = append(problems, Problem{field.Section, field.Key, p})
		}
	}
	for _, s := range f.Sections() {
		if !sections[s.Name()] && len(s.Keys()) == 0 {
			problems = append(problems, Problem{s.Name(), "-", "unknown section"})
		}
		for _, k := range s.Keys() {
			if !known[s.Name()+"\x00"+k.Name()] {
				problems = append(problems, Problem{s.Name(), k.Name(), "unknown key"})
			}
		}
	}
	if len(problems) > 0 {
		return &Error{File: name, Problems: problems}
	}
	return nil
}

// load sets the field to its value in the file, or to its default. It returns the text of a
// problem, or "" if there is none.
func (f Field) load(file *ini.File) string {
	value := f.Default
	if s, err := file.GetSection(f.Section); err == nil && s.HasKey(f.Key) {
		value = s.Key(f.Key).String()
	} else if f.Required {
		return "required key is missing"
	}
	if err := f.set(value); err != nil {
		return err.Error()
	}
	return ""
}

// Example writes a commented file with every field.
func Example(w io.Writer, fields []Field) error {
	section := ""
	for _, f := range fields {
		if f.Section != section {
			section = f.Section
			if _, err := fmt.Fprintf(w, "\n[%s]\n", section); err != nil {
				return err
			}
		}
		presence := "default " + f.Default
		if f.Required {
			presence = "required"
		} else if f.Default == "" {
			presence = "optional"
		}
		if _, err := fmt.Fprintf(w, "# %s (%s, %s)\n%s = %s\n", f.Help, f.Unit, presence, f.Key, f.Default); err != nil {
			return err
		}
	}
	return nil
}
