// Package pack encodes the messages between nodes.
//
// # Model
//
// A message is a msgpack value in which each struct is an array of its fields in order and each
// integer is encoded in as few bytes as possible. Field names are not transmitted, so both ends
// must have the same fields: the protocol that a message belongs to has a format number, which
// must be incremented with a change to any message. Decoding fails if the length of an array
// differs from the number of fields of the struct.
//
// # Usage
//
//	data, err := pack.Marshal(&message)
//	err = pack.Unmarshal(data, &message)
package pack

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a message.
func Marshal(message any) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf bytes.Buffer
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(message)
	return buf.Bytes(), err
}

// Unmarshal decodes data into the message that is pointed to.
func Unmarshal(data []byte, message any) error {
	return msgpack.Unmarshal(data, message)
}
