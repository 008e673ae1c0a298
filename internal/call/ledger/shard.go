package ledger

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
)

// Format is the number of the record format of shards.
const Format = 1

// OpKind is the kind of an Op.
type OpKind uint8

// The kinds of operations.
const (
	OpClaim OpKind = iota + 1
	OpVoid
	// OpKeep changes nothing. It keeps a shard's stream from being trimmed
	// whole, which would lose the knowledge of what was in it.
	OpKeep
)

// Op is one operation on a key.
type Op struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Kind      OpKind
	Key       Key
	AttemptID string
	// Node and Addr tell where the attempt runs.
	NodeID string
	Addr   string
	// Fingerprint tells two requests with the same key apart.
	Fingerprint uint64
}

// Batch is one record of a shard.
type Batch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	// Floor is the time at or before which the writer takes no keys any more.
	Floor int64
	// High is the newest time of a key in the records up to Seen.
	High int64
	Seen cicadaseam.Offset
	Ops  []Op
}

// Encode returns the record of a batch.
func Encode(b *Batch) ([]byte, error) {
	body, err := msgpack.Marshal(b)
	return append([]byte{Format}, body...), err
}

// Decode returns the batch in a record.
func Decode(data []byte) (*Batch, error) {
	if len(data) == 0 {
		return nil, &change.DecodeError{Reason: "empty ledger record"}
	}
	if data[0] != Format {
		return nil, &change.FormatError{Format: data[0]}
	}
	var b Batch
	if err := msgpack.Unmarshal(data[1:], &b); err != nil {
		return nil, &change.DecodeError{Size: len(data), Reason: err.Error()}
	}
	return &b, nil
}

// Claimed is what a shard holds about a key.
type Claim struct {
	AttemptID   string `msgpack:"a"`
	NodeID      string `msgpack:"n"`
	Addr        string `msgpack:"d"`
	Fingerprint uint64 `msgpack:"f"`
}

type keyState struct {
	stamp   int64
	current *Claim
	voided  map[string]bool
}

// Shard is the fold of one stream: a plain state machine that is not safe for
// concurrent use.
type Shard struct {
	position cicadaseam.Offset
	floor    int64
	high     int64
	keys     map[[16]byte]*keyState
	// trimmed is the first offset found when the stream had been trimmed, until
	// a record tells the floor of what is gone.
	trimmed cicadaseam.Offset
	swept   int64
}

// NewShard returns a shard before the first record.
func NewShard() *Shard {
	return &Shard{keys: map[[16]byte]*keyState{}}
}

// Position returns the offset of the last record taken.
func (s *Shard) Position() cicadaseam.Offset { return s.position }

// High returns the newest time of a key seen.
func (s *Shard) High() int64 { return s.high }

// Floor returns the time at or before which no key is taken.
func (s *Shard) Floor() int64 { return s.floor }

// Len returns the number of keys held.
func (s *Shard) Len() int { return len(s.keys) }

// Skip starts over at a stream whose records before first are gone. Until a
// record tells what was in them, no key at or before limit is taken.
func (s *Shard) Skip(first cicadaseam.Offset, limit int64) {
	*s = *NewShard()
	s.position = first - 1
	s.trimmed = first
	s.floor = limit
}

// settle replaces the floor of a trimmed stream by what a record knows of the
// part that is gone.
func (s *Shard) settle(b *Batch) {
	if s.trimmed == 0 || b.Seen < s.trimmed-1 {
		return
	}
	s.trimmed = 0
	s.floor = b.High
}

// Apply takes the next record. A record that does not decode is skipped by all
// readers alike; one in an unknown format is an error.
func (s *Shard) Apply(r cicadaseam.Record) error {
	b, err := Decode(r.Data)
	if _, unknown := err.(*change.FormatError); unknown {
		return err
	}
	s.position = r.Offset
	if err != nil {
		return nil
	}
	s.settle(b)
	if b.Floor > s.floor {
		s.floor = b.Floor
	}
	for i := range b.Ops {
		s.applyOp(&b.Ops[i])
	}
	s.sweep()
	return nil
}

// applyOp takes an operation. Until the floor of a trimmed stream is known,
// keys at or before the stand-in floor are held too: the true one may be lower.
func (s *Shard) applyOp(op *Op) {
	if op.Kind == OpKeep {
		return
	}
	s.high = max(s.high, op.Key.Stamp)
	if op.Key.Stamp <= s.floor && s.trimmed == 0 {
		return
	}
	k := s.keys[op.Key.Hash]
	if k == nil {
		k = &keyState{stamp: op.Key.Stamp}
		s.keys[op.Key.Hash] = k
	}
	if op.Kind == OpVoid {
		k.void(op.AttemptID)
		return
	}
	if k.current != nil || k.voided[op.AttemptID] {
		return
	}
	k.current = &Claim{AttemptID: op.AttemptID, NodeID: op.NodeID, Addr: op.Addr, Fingerprint: op.Fingerprint}
}

func (k *keyState) void(attempt string) {
	if k.voided == nil {
		k.voided = map[string]bool{}
	}
	k.voided[attempt] = true
	if k.current != nil && k.current.AttemptID == attempt {
		k.current = nil
	}
}

// sweep drops keys at or before the floor now and then, but none before the
// true floor of a trimmed stream is known.
func (s *Shard) sweep() {
	const sweepStep = 60_000 // milliseconds of floor
	if s.trimmed != 0 || s.floor-s.swept < sweepStep {
		return
	}
	s.swept = s.floor
	for hash, k := range s.keys {
		if k.stamp <= s.floor {
			delete(s.keys, hash)
		}
	}
}

// Expired reports whether a key is too old to be taken.
func (s *Shard) Expired(k Key) bool { return k.Stamp <= s.floor }

// Lookup returns the claim that holds a key, or nil.
func (s *Shard) Lookup(k Key) *Claim {
	state := s.keys[k.Hash]
	if state == nil {
		return nil
	}
	return state.current
}
