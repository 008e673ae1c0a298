// Package snapshot encodes the state of a fold.
//
// # Model
//
// A snapshot is a record in a stream of its own: the state as of position N.
// Anyone may write one, at any time, however late: it is a fact about N, and
// a reader takes the one with the highest position that it can read. Format
// numbers are as in package change: an unknown one is refused whole.
//
// # Usage
//
//	data, err := snapshot.Encode(f.State())
//	state, err := snapshot.Decode(data)
package snapshot

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// Format is the number of the snapshot format that this version writes.
const Format = 1

// MaxBytes bounds a snapshot after decompression.
const MaxDecompressedBytes = 32 << 20

type envelope struct {
	Sum  uint64 `msgpack:"s"`
	Body []byte `msgpack:"b"`
}

// Encode returns the record of a state.
func Encode(s fold.State) ([]byte, error) {
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var packed bytes.Buffer
	zw := gzip.NewWriter(&packed)
	if _, err := zw.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	out, err := msgpack.Marshal(&envelope{Sum: xxhash.Sum64(packed.Bytes()), Body: packed.Bytes()})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return append([]byte{Format}, out...), nil
}

// Decode returns the state in a record. It refuses a state whose tree does not
// validate, so that a damaged snapshot cannot bring in a dangling route.
func Decode(data []byte) (fold.State, error) {
	if len(data) == 0 {
		return fold.State{}, &change.DecodeError{Reason: "empty snapshot"}
	}
	if data[0] != Format {
		return fold.State{}, &change.FormatError{Format: data[0]}
	}
	body, err := open(data)
	if err != nil {
		return fold.State{}, &change.DecodeError{Size: len(data), Reason: err.Error()}
	}
	var s fold.State
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return fold.State{}, &change.DecodeError{Size: len(data), Reason: err.Error()}
	}
	if faults := tree.FromObjects(s.Objects).Validate(); len(faults) > 0 {
		return fold.State{}, &change.DecodeError{Size: len(data), Reason: "tree has faults: " + faults[0].String()}
	}
	if s.Version > s.Position {
		return fold.State{}, &change.DecodeError{Size: len(data), Reason: "version is past the position"}
	}
	return s, nil
}

func open(data []byte) ([]byte, error) {
	var env envelope
	if err := msgpack.Unmarshal(data[1:], &env); err != nil {
		return nil, err
	}
	if xxhash.Sum64(env.Body) != env.Sum {
		return nil, errors.New("checksum differs")
	}
	zr, err := gzip.NewReader(bytes.NewReader(env.Body))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(zr, MaxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxDecompressedBytes {
		return nil, errors.Newf("over %d bytes", MaxDecompressedBytes)
	}
	return body, nil
}
