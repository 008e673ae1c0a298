// Package change encodes and decodes the records of the configuration stream.
//
// # Model
//
// A record is one byte with the format number, followed by a change in msgpack.
// For a record in an unknown format, Decode returns a *FormatError, and the fold
// halts there. For a record in a known format that does not decode, it returns a
// *DecodeError. All nodes read the same bytes, so that all find such a record
// invalid.
//
// # Usage
//
//	data, err := change.Encode(c)
//	c, err := change.Decode(data)
package change

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack"
)

// Format is the number of the record format that this version reads and writes.
const Format = 1

// MaxBytes bounds the size of a record in bytes.
const MaxBytes = 256 << 10

// FormatError reports a record in a format that this version cannot read.
type FormatError struct {
	Format byte
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("record format %d is unknown, this version reads format %d", e.Format, Format)
}

// DecodeError reports a record in a known format that does not decode.
type DecodeError struct {
	Size   int
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("record of %d bytes does not decode: %s", e.Size, e.Reason)
}

// TooLargeError reports a change whose record is over MaxBytes.
type TooLargeError struct {
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("change has %d bytes, the limit is %d", e.Size, MaxBytes)
}

// Encode returns the record that holds a change.
func Encode(c cicadaseam.Change) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte(Format)
	enc := msgpack.NewEncoder(&buf)
	if err := enc.Encode(&c); err != nil {
		return nil, errors.Wrapf(err, "encode change %s", c.ID)
	}
	if buf.Len() > MaxBytes {
		return nil, &TooLargeError{Size: buf.Len()}
	}
	return buf.Bytes(), nil
}

// Decode returns the change that a record holds.
func Decode(data []byte) (cicadaseam.Change, error) {
	var c cicadaseam.Change
	if len(data) == 0 {
		return c, &DecodeError{Reason: "empty record"}
	}
	if data[0] != Format {
		return c, &FormatError{Format: data[0]}
	}
	if len(data) > MaxBytes {
		return c, &DecodeError{Size: len(data), Reason: "over the size limit"}
	}
	if err := pack.Unmarshal(data[1:], &c); err != nil {
		return cicadaseam.Change{}, &DecodeError{Size: len(data), Reason: err.Error()}
	}
	return c, nil
}
