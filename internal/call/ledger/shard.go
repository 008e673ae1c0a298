package ledger

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
)

// Format is the number of the record format, the first byte of each record.
const Format = 1

// OpKind is the kind of an Op.
type OpKind uint8

// The kinds of operations.
const (
	OpClaim OpKind = iota + 1
	OpVoid
	// OpKeepAlive changes nothing. Its record keeps a shard's stream from being trimmed
	// completely, after which nothing would be known of the keys in it.
	OpKeepAlive
)

// Op is one operation on a key. It is encoded as an array: the order of the fields is
// part of the format.
type Op struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Kind      OpKind
	Key       Key
	AttemptID string
	// NodeID and Addr identify the node that has the attempt.
	NodeID string
	Addr   string
	// Fingerprint distinguishes different requests that were sent with the same key.
	Fingerprint uint64
}

// Batch is one record of a shard. It is encoded as an array: the order of the fields is
// part of the format.
type Batch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	// ExpiredThrough is the time, in Unix milliseconds, at or before which a key counts
	// as expired from this record on.
	ExpiredThrough int64
	// MaxTimestamp is the greatest timestamp of a key in the records up to ReadThrough,
	// which is the last record that the writer had read.
	MaxTimestamp int64
	ReadThrough  cicadaseam.Offset
	Ops          []Op
}

// Encode encodes a batch as a record.
func Encode(b *Batch) ([]byte, error) {
	body, err := msgpack.Marshal(b)
	return append([]byte{Format}, body...), err
}

// Decode decodes the batch of a record.
func Decode(data []byte) (*Batch, error) {
	if len(data) == 0 {
		return nil, &change.DecodeError{Reason: "empty ledger record"}
	}
	if data[0] != Format {
		return nil, &change.FormatError{Format: data[0]}
	}
	var b Batch
	if err := pack.Unmarshal(data[1:], &b); err != nil {
		return nil, &change.DecodeError{Size: len(data), Reason: err.Error()}
	}
	return &b, nil
}

// Claim is the claim that holds a key.
type Claim struct {
	AttemptID   string `msgpack:"a"`
	NodeID      string `msgpack:"n"`
	Addr        string `msgpack:"d"`
	Fingerprint uint64 `msgpack:"f"`
}

// keyState is the state of one key.
type keyState struct {
	timestamp int64
	holder    *Claim          // nil when no attempt holds the key
	voided    map[string]bool // by attempt ID
}

// Shard is the state that follows from the records of one stream. It is a plain state
// machine that reads no clock, and is not safe for concurrent use.
type Shard struct {
	lastOffset     cicadaseam.Offset
	expiredThrough int64
	maxTimestamp   int64
	keys           map[[16]byte]*keyState
	// trimmedTo is the first remaining offset of a stream that was found trimmed. It is
	// set to 0 once a record contains the expiry bound of the trimmed part.
	trimmedTo cicadaseam.Offset
	// droppedThrough is the expiry bound at the last pass of dropExpired.
	droppedThrough int64
}

// NewShard returns the state before the first record.
func NewShard() *Shard {
	return &Shard{keys: map[[16]byte]*keyState{}}
}

// LastOffset returns the offset of the last record applied.
func (s *Shard) LastOffset() cicadaseam.Offset { return s.lastOffset }

// MaxTimestamp returns the greatest timestamp of a key that was applied.
func (s *Shard) MaxTimestamp() int64 { return s.maxTimestamp }

// ExpiredThrough returns the expiry bound: a key made at or before it has expired.
func (s *Shard) ExpiredThrough() int64 { return s.expiredThrough }

// Len returns the number of keys held.
func (s *Shard) Len() int { return len(s.keys) }

// ResetTrimmed starts over at a stream whose records before first were trimmed. Until a
// record contains the expiry bound of the trimmed part, the bound is expiredThrough.
func (s *Shard) ResetTrimmed(first cicadaseam.Offset, expiredThrough int64) {
	*s = *NewShard()
	s.lastOffset = first - 1
	s.trimmedTo = first
	s.expiredThrough = expiredThrough
}

// adoptExpiry replaces the provisional expiry bound of a trimmed stream, if the writer of
// a record had read the trimmed part.
func (s *Shard) adoptExpiry(b *Batch) {
	if s.trimmedTo == 0 || b.ReadThrough < s.trimmedTo-1 {
		return
	}
	s.trimmedTo = 0
	s.expiredThrough = b.MaxTimestamp
}

// Apply applies the next record. A record that cannot be decoded is skipped, since every
// reader skips it alike. One in an unknown format is an error, and is not applied.
func (s *Shard) Apply(r cicadaseam.Record) error {
	b, err := Decode(r.Data)
	if _, unknown := err.(*change.FormatError); unknown {
		return err
	}
	s.lastOffset = r.Offset
	if err != nil {
		return nil
	}
	s.adoptExpiry(b)
	if b.ExpiredThrough > s.expiredThrough {
		s.expiredThrough = b.ExpiredThrough
	}
	for i := range b.Ops {
		s.applyOp(&b.Ops[i])
	}
	s.dropExpired()
	return nil
}

// applyOp applies an operation. While the expiry bound of a trimmed stream is
// provisional, keys that it covers are kept too, since the final bound may be lower.
func (s *Shard) applyOp(op *Op) {
	if op.Kind == OpKeepAlive {
		return
	}
	s.maxTimestamp = max(s.maxTimestamp, op.Key.Timestamp)
	if op.Key.Timestamp <= s.expiredThrough && s.trimmedTo == 0 {
		return
	}
	k := s.keys[op.Key.Hash]
	if k == nil {
		k = &keyState{timestamp: op.Key.Timestamp}
		s.keys[op.Key.Hash] = k
	}
	if op.Kind == OpVoid {
		k.void(op.AttemptID)
		return
	}
	if k.holder != nil || k.voided[op.AttemptID] {
		return
	}
	k.holder = &Claim{AttemptID: op.AttemptID, NodeID: op.NodeID, Addr: op.Addr, Fingerprint: op.Fingerprint}
}

// void makes sure that an attempt does not hold the key, now or later.
func (k *keyState) void(id string) {
	if k.voided == nil {
		k.voided = map[string]bool{}
	}
	k.voided[id] = true
	if k.holder != nil && k.holder.AttemptID == id {
		k.holder = nil
	}
}

// dropExpired drops the expired keys from time to time. It drops none while the expiry
// bound of a trimmed stream is provisional.
func (s *Shard) dropExpired() {
	const dropStep = 60_000 // milliseconds that the bound advances between two passes
	if s.trimmedTo != 0 || s.expiredThrough-s.droppedThrough < dropStep {
		return
	}
	s.droppedThrough = s.expiredThrough
	for hash, k := range s.keys {
		if k.timestamp <= s.expiredThrough {
			delete(s.keys, hash)
		}
	}
}

// Expired reports whether a key is too old to be accepted.
func (s *Shard) Expired(k Key) bool { return k.Timestamp <= s.expiredThrough }

// Lookup returns the claim that holds a key, or nil.
func (s *Shard) Lookup(k Key) *Claim {
	state := s.keys[k.Hash]
	if state == nil {
		return nil
	}
	return state.holder
}
