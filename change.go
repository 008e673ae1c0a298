package cicadaseam

import (
	"fmt"
)

// Edit sets or deletes one key of the configuration tree. Path names the object, for
// instance "scope:georgia-east/*/status-portal" or "route:status". A deletion with an
// empty key deletes the whole object.
type Edit struct {
	Path   string `msgpack:"p" json:"path"`
	Key    string `msgpack:"k" json:"key"`
	Value  string `msgpack:"v,omitempty" json:"value,omitempty"`
	Delete bool   `msgpack:"x,omitempty" json:"delete,omitempty"`
}

// Change is a set of edits that is applied atomically. Base is the version that its author
// had read: the change is a conflict if one of its keys has been edited since then.
type Change struct {
	ID     string `msgpack:"i" json:"id"`
	Base   Offset `msgpack:"b" json:"base"`
	Author string `msgpack:"a,omitempty" json:"author,omitempty"`
	Edits  []Edit `msgpack:"e" json:"edits"`
}

// Verdict is the outcome of applying a record of the configuration stream.
type Verdict uint8

// Verdicts. Applying a record never yields VerdictUnknown: it is what an operator gets when
// the verdict was not known in time.
const (
	VerdictUnknown Verdict = iota
	VerdictAccepted
	// VerdictConflict means that a key of the change has been edited since its Base.
	VerdictConflict
	// VerdictInvalid means that the change, or the tree with it applied, is invalid.
	VerdictInvalid
	// VerdictDuplicate means that an earlier record has the id of the change.
	VerdictDuplicate
)

var verdictNames = []string{"unknown", "accepted", "conflict", "invalid", "duplicate"}

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Fault is a validation error of a tree or a change.
type Fault struct {
	Path    string `msgpack:"p" json:"path"`
	Key     string `msgpack:"k" json:"key,omitempty"`
	Problem string `msgpack:"m" json:"problem"`
}

// String returns the fault as "path key: problem".
func (f Fault) String() string {
	if f.Key == "" {
		return f.Path + ": " + f.Problem
	}
	return f.Path + " " + f.Key + ": " + f.Problem
}

// Decision is the verdict on one record of the configuration stream.
type Decision struct {
	ID      string  `msgpack:"i" json:"id"`
	Version Offset  `msgpack:"o" json:"version"`
	Verdict Verdict `msgpack:"v" json:"verdict"`
	Faults  []Fault `msgpack:"f,omitempty" json:"faults,omitempty"`
}

// Locality is where a process runs, as its settings say.
type Locality struct {
	Region     string `msgpack:"r" json:"region"`
	Deployment string `msgpack:"d" json:"deployment"`
	Zone       string `msgpack:"z" json:"zone"`
}
