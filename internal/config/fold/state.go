package fold

import (
	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// State is the whole state of a fold at one position: a fact about the stream
// up to it, however late it is written down.
type State struct {
	Position  cicadaseam.Offset            `msgpack:"p"`
	Version   cicadaseam.Offset            `msgpack:"v"`
	Digest    uint64                       `msgpack:"d"`
	Objects   map[string]tree.Object       `msgpack:"o"`
	Changed   map[string]cicadaseam.Offset `msgpack:"c"`
	Decisions []cicadaseam.Decision        `msgpack:"e"`
}

// State returns a copy of the state.
func (f *Fold) State() State {
	s := State{
		Position: f.position,
		Version:  f.version,
		Digest:   f.digest,
		Objects:  f.tree.Objects(),
		Changed:  make(map[string]cicadaseam.Offset, len(f.changed)),
	}
	for key, at := range f.changed {
		s.Changed[key] = at
	}
	for _, id := range f.order {
		s.Decisions = append(s.Decisions, f.decisions[id])
	}
	return s
}

func (f *Fold) restore(s State) {
	f.position = s.Position
	f.version = s.Version
	f.digest = s.Digest
	f.tree = tree.FromObjects(s.Objects)
	for key, at := range s.Changed {
		f.changed[key] = at
	}
	for _, d := range s.Decisions {
		f.decisions[d.ID] = d
		f.order = append(f.order, d.ID)
	}
}
