// Package snapshot encodes and decodes the state of a fold.
//
// # Model
//
// A snapshot is a record in a stream of its own. It holds the state at a position of
// the configuration stream. Any node may write one at any time, however late, since
// the state is a function of the stream up to that position. A reader uses the
// snapshot of the highest position that it can decode. Like a record of package
// change, a snapshot starts with a format number; one in an unknown format is
// rejected whole.
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

	"github.com/cicadaseam/cicadaseam/internal/base/pack"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/fold"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
)

// Format is the number of the snapshot format that this version reads and writes.
const Format = 1

// MaxDecompressedBytes bounds the size of a state in bytes after decompression.
const MaxDecompressedBytes = 32 << 20

// envelope holds a compressed state and its checksum.
type envelope struct {
	Sum  uint64 `msgpack:"s"`
	Body []byte `msgpack:"b"`
}

// Encode returns the record that holds a state.
func Encode(s fold.State) ([]byte, error) {
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var compressed bytes.Buffer
	zw := gzip.NewWriter(&compressed)
	if _, err := zw.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	encoded, err := msgpack.Marshal(&envelope{Sum: xxhash.Sum64(compressed.Bytes()), Body: compressed.Bytes()})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return append([]byte{Format}, encoded...), nil
}

// Decode returns the state that a record holds. It rejects a state whose tree is
// invalid, so that a damaged snapshot cannot bring in a route without its service.
func Decode(data []byte) (fold.State, error) {
	if len(data) == 0 {
		return fold.State{}, &change.DecodeError{Reason: "empty snapshot"}
	}
	if data[0] != Format {
		return fold.State{}, &change.FormatError{Format: data[0]}
	}
	body, err := openEnvelope(data)
	if err != nil {
		return fold.State{}, &change.DecodeError{Size: len(data), Reason: err.Error()}
	}
	var s fold.State
	if err := pack.Unmarshal(body, &s); err != nil {
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

// openEnvelope verifies the checksum and returns the decompressed state.
func openEnvelope(data []byte) ([]byte, error) {
	var env envelope
	if err := pack.Unmarshal(data[1:], &env); err != nil {
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
