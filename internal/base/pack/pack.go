// Package pack encodes the messages between nodes.
//
// # Model
//
// A message is a msgpack value in which each struct is an array of its fields in order and each
// integer is encoded in as few bytes as possible. Field names are not transmitted. Decoding fails
// if the length of an array differs from the number of fields of the struct, so the fields of a
// message that a release has sent never change.
//
// What a later release adds goes into an extension: a second value behind the message, a map that
// names its fields. A release that does not know the extension ignores it, one that does not know
// a field of it skips the field, and without an extension all of its fields are zero. A zero field
// must therefore mean what the message meant before the field existed.
//
// A large body is neither copied when its message is encoded into parts, nor when it is decoded into a
// field that shares the memory of the data. The encoding is the same.
//
// # Usage
//
//	data, err := pack.Marshal(&message)
//	err = pack.Unmarshal(data, &message)
//
//	parts, err := pack.MarshalParts(&message)
//	err = pack.UnmarshalShared(data, &message, &message.Body)
//
//	data, err = pack.AppendExtension(data, &extension)
//	err = pack.UnmarshalExtended(data, &message, &extension)
package pack

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrExtension is returned for a message that was decoded and whose extension cannot be decoded.
var ErrExtension = errors.New("extension not decoded")

// Marshal encodes a message.
func Marshal(message any) ([]byte, error) {
	var buf bytes.Buffer
	err := encode(&buf, message)
	return buf.Bytes(), err
}

// encode writes an encoded message.
func encode(w io.Writer, message any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	return enc.Encode(message)
}

// largeMessage is the size in bytes from which on the parts of a message are allocated at once, as
// long as they say they are: a buffer that grows takes more than twice the memory meanwhile.
const largeMessage = 1 << 20

// Unmarshal decodes data into the message that is pointed to.
func Unmarshal(data []byte, message any) error {
	if err := checkDepth(data); err != nil {
		return err
	}
	if len(data) < largeMessage {
		return msgpack.Unmarshal(data, message)
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	decoder.DisableAllocLimit(true)
	return decoder.Decode(message)
}

// AppendExtension appends an extension to an encoded message.
func AppendExtension(data []byte, extension any) ([]byte, error) {
	more, err := msgpack.Marshal(extension)
	return append(data, more...), err
}

// UnmarshalExtended decodes data into the message and the extension that are pointed to. The
// extension stays as it is if data has none.
func UnmarshalExtended(data []byte, message, extension any) error {
	r := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(r)
	if err := decodeNext(decoder, data, message); err != nil || r.Len() == 0 {
		return err
	}
	if err := decodeNext(decoder, data[len(data)-r.Len():], extension); err != nil {
		return errors.Mark(err, ErrExtension)
	}
	return nil
}

// decodeNext decodes the next value of a decoder, which is the first one in rest.
func decodeNext(decoder *msgpack.Decoder, rest []byte, to any) error {
	if err := checkDepth(rest); err != nil {
		return err
	}
	return decoder.Decode(to)
}
