// Package pack encodes the messages between nodes.
//
// # Model
//
// A message is a msgpack value in which each struct is an array of its fields
// in order, and each number takes as few bytes as it needs. Names of fields do
// not travel, so both ends must know the same fields: the protocol that a
// message belongs to carries a format number, and a change to any message
// raises it. An array of another length than the struct has fields is refused.
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

// Unmarshal fills a message.
func Unmarshal(data []byte, message any) error {
	return msgpack.Unmarshal(data, message)
}
