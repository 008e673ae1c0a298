package pack

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// sharedBytes is the size from which on bytes in a message are not copied when it is encoded or decoded.
const sharedBytes = 64 << 10

// MarshalParts encodes a message into parts that follow each other. Bytes in the message of sharedBytes
// and more are a part of their own that shares their memory: they must not change any more.
func MarshalParts(message any) ([][]byte, error) {
	var w partsWriter
	err := encode(&w, message)
	return w.all(), err
}

// partsWriter collects what is written, without a copy of long writes.
type partsWriter struct {
	parts [][]byte
	last  bytes.Buffer
}

// Write implements io.Writer.
func (w *partsWriter) Write(b []byte) (int, error) {
	if len(b) < sharedBytes {
		return w.last.Write(b)
	}
	w.parts = append(w.all(), b)
	w.last = bytes.Buffer{}
	return len(b), nil
}

// WriteByte implements io.ByteWriter.
func (w *partsWriter) WriteByte(c byte) error { return w.last.WriteByte(c) }

// all returns all parts.
func (w *partsWriter) all() [][]byte {
	if w.last.Len() == 0 {
		return w.parts
	}
	return append(w.parts, w.last.Bytes())
}

// UnmarshalShared decodes data into the message that is pointed to. shared is the only field of the
// message that holds bytes. If they are sharedBytes or more, it shares the memory of data.
func UnmarshalShared(data []byte, message any, shared *[]byte) error {
	start, end, size := findBytes(data)
	if size < sharedBytes {
		return Unmarshal(data, message)
	}
	rest := make([]byte, 0, len(data)-size)
	rest = append(rest, data[:start]...)
	rest = append(rest, msgpcode.Nil)
	rest = append(rest, data[end:]...)
	if err := Unmarshal(rest, message); err != nil {
		return err
	}
	*shared = data[end-size : end : end]
	return nil
}

// findBytes returns where the first value of sharedBytes or more begins and ends among the elements of
// the list in data, and its size without its header. The size is 0 if there is none.
func findBytes(data []byte) (start, end, size int) {
	if len(data) == 0 || !msgpcode.IsFixedArray(data[0]) && data[0] != msgpcode.Array16 {
		return 0, 0, 0
	}
	list := nextValue(data)
	start = int(list.size)
	for range list.elements {
		if end = skipValue(data, start); end < 0 {
			return 0, 0, 0
		}
		if c := data[start]; msgpcode.IsBin(c) {
			if size = end - start - 1 - forms[c-firstNil].length; size >= sharedBytes {
				return start, end, size
			}
		}
		start = end
	}
	return 0, 0, 0
}

// skipValue returns where the value at start ends with all values in it, or -1 if it is truncated.
func skipValue(data []byte, start int) (end int) {
	end = start
	for due := uint64(1); due > 0; due-- {
		if end >= len(data) {
			return -1
		}
		v := nextValue(data[end:])
		if v.size > uint64(len(data)-end) {
			return -1
		}
		end += int(v.size)
		due += v.elements
	}
	return end
}
