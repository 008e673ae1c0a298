// Package settings reads INI files strictly.
//
// # Model
//
// A program declares its fields: section, key, unit, default and how to set
// the value. Load refuses unknown sections and keys, bad values and missing
// required ones, and reports all of them at once with file, section and key.
// Example prints a commented file with every field.
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

// Field is one setting.
type Field struct {
	Section  string
	Key      string
	Default  string
	Required bool
	Unit     string
	Help     string
	set      func(value string) error
}

// Problem is one fault of a file.
type Problem struct {
	Section string
	Key     string
	Text    string
}

// Error reports every problem of a file.
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

// String is a text field.
func String(to *string, section, key, fallback, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: "text", set: func(v string) error {
		*to = v
		return nil
	}}
}

// Address is a host and a port. It may be empty where its default is.
func Address(to *string, section, key, fallback, help string) Field {
	f := String(to, section, key, fallback, help)
	f.set = func(v string) error {
		if _, _, err := net.SplitHostPort(v); err != nil && (v != "" || fallback != "") {
			return err
		}
		*to = v
		return nil
	}
	return f
}

// List is a field with a comma-separated list.
func List(to *[]string, section, key, fallback, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: "list", set: func(v string) error {
		*to = nil
		for _, part := range strings.Split(v, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*to = append(*to, part)
			}
		}
		return nil
	}}
}

// Int is a whole number within bounds.
func Int(to *int, section, key string, fallback, low, high int, unit, help string) Field {
	return Field{Section: section, Key: key, Default: strconv.Itoa(fallback), Help: help, Unit: unit, set: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is outside %d to %d", n, low, high)
		}
		*to = n
		return nil
	}}
}

// Float is a number within bounds.
func Float(to *float64, section, key string, fallback, low, high float64, unit, help string) Field {
	return Field{Section: section, Key: key, Default: strconv.FormatFloat(fallback, 'g', -1, 64), Help: help, Unit: unit, set: func(v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if x < low || x > high {
			return fmt.Errorf("%g is outside %g to %g", x, low, high)
		}
		*to = x
		return nil
	}}
}

// Duration is a time within bounds.
func Duration(to *time.Duration, section, key string, fallback, low, high time.Duration, help string) Field {
	return Field{Section: section, Key: key, Default: fallback.String(), Help: help, Unit: "duration", set: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is outside %s to %s", d, low, high)
		}
		*to = d
		return nil
	}}
}

// OneOf is a field with a fixed set of values.
func OneOf(to *string, section, key, fallback string, values []string, help string) Field {
	return Field{Section: section, Key: key, Default: fallback, Help: help, Unit: strings.Join(values, "|"), set: func(v string) error {
		for _, x := range values {
			if v == x {
				*to = v
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", v, strings.Join(values, ", "))
	}}
}

// Must makes a field required.
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

// LoadBytes reads settings from memory; name stands for the file in errors.
func LoadBytes(name string, data []byte, fields []Field) error {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowBooleanKeys: true}, data)
	if err != nil {
		return &Error{File: name, Problems: []Problem{{Section: "-", Key: "-", Text: err.Error()}}}
	}
	return load(name, f, fields)
}

func load(name string, f *ini.File, fields []Field) error {
	var problems []Problem
	known := map[string]bool{}
	for _, field := range fields {
		known[field.Section+"\x00"+field.Key] = true
		if p := field.load(f); p != "" {
			problems = append(problems, Problem{field.Section, field.Key, p})
		}
	}
	for _, s := range f.Sections() {
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
		need := "default " + f.Default
		if f.Required {
			need = "required"
		} else if f.Default == "" {
			need = "optional"
		}
		if _, err := fmt.Fprintf(w, "# %s (%s, %s)\n%s = %s\n", f.Help, f.Unit, need, f.Key, f.Default); err != nil {
			return err
		}
	}
	return nil
}
