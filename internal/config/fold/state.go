package fold

import (
	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// State is the complete state of a fold at one position. It is a function of the
// stream up to that position, so it is valid however late it is written.
type State struct {
	Position  cicadaseam.Offset            `msgpack:"p"`
	Version   cicadaseam.Offset            `msgpack:"v"`
	Digest    uint64                       `msgpack:"d"`
	Objects   map[string]tree.Object       `msgpack:"o"`
	Changed   map[string]cicadaseam.Offset `msgpack:"c"`
	Decisions []cicadaseam.Decision        `msgpack:"e"`
}

// State returns the state at the current position. It shares the objects of the
// immutable tree and copies all else.
func (f *Fold) State() State {
	s := State{
		Position: f.position,
		Version:  f.version,
		Digest:   f.digest,
		Objects:  f.tree.Objects(),
		Changed:  make(map[string]cicadaseam.Offset, len(f.changedAt)),
	}
	for key, version := range f.changedAt {
		s.Changed[key] = version
	}
	for _, id := range f.decisionOrder {
		s.Decisions = append(s.Decisions, f.decisions[id])
	}
	return s
}

func (f *Fold) restore(s State) {
	f.position = s.Position
	f.version = s.Version
	f.digest = s.Digest
	f.tree = tree.FromObjects(s.Objects)
	for key, version := range s.Changed {
		f.changedAt[key] = version
	}
	for _, d := range s.Decisions {
		f.decisions[d.ID] = d
		f.decisionOrder = append(f.decisionOrder, d.ID)
	}
}
