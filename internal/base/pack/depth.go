package pack

import (
	"encoding/binary"
	"fmt"
)

// maxDepth is how deep lists and maps of a message may be nested. The messages of this program need
// less than half. A decoder that skips a field calls itself for each level, which takes 250 bytes of
// stack for each byte of the message.
const maxDepth = 32

// DepthError reports a message whose lists and maps are nested too deep.
type DepthError struct{ Limit int }

// Error implements error.
func (e *DepthError) Error() string {
	return fmt.Sprintf("more than %d lists and maps in each other", e.Limit)
}

// checkDepth returns a *DepthError if the first value in data is nested too deep. It accepts data that is
// no msgpack otherwise, which decoding reports.
func checkDepth(data []byte) error {
	var open [maxDepth]uint64 // values that are still due at each level
	depth := 0
	for len(data) > 0 {
		v := nextValue(data)
		if uint64(len(data)) < v.size {
			return nil // truncated
		}
		data = data[v.size:]
		if v.elements > 0 {
			if depth == maxDepth {
				return &DepthError{Limit: maxDepth}
			}
			open[depth] = v.elements
			depth++
			continue
		}
		for depth > 0 {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
	return nil
}

// value describes the first value of encoded data.
type value struct {
	size     uint64 // in bytes, without its elements
	elements uint64 // keys and values of a map, or the elements of a list
}

// Ranges of the first byte of a value that holds its length or its number of elements too.
const (
	firstFixMap   = 0x80
	firstFixList  = 0x90
	firstFixText  = 0xa0
	firstNil      = 0xc0
	firstNegative = 0xe0
)

// nextValue describes the first value of data, which is not empty.
func nextValue(data []byte) value {
	c := data[0]
	switch {
	case c < firstFixMap, c >= firstNegative:
		return value{size: 1}
	case c < firstFixList:
		return value{size: 1, elements: 2 * uint64(c-firstFixMap)}
	case c < firstFixText:
		return value{size: 1, elements: uint64(c - firstFixList)}
	case c < firstNil:
		return value{size: 1 + uint64(c-firstFixText)}
	}
	f := forms[c-firstNil]
	size := 1 + uint64(f.length)
	if uint64(len(data)) < size {
		return value{size: size}
	}
	var number [8]byte
	copy(number[8-f.length:], data[1:size])
	n := binary.BigEndian.Uint64(number[:])
	return value{size: size + f.fixed + f.bytes*n, elements: f.elements * n}
}

// form is how a value is laid out behind its first byte: a number of up to 4 bytes, fixed bytes, and
// what that number counts.
type form struct {
	length   int    // of the number, in bytes
	fixed    uint64 // bytes that always follow
	bytes    uint64 // 1 if the number counts bytes that follow
	elements uint64 // 1 or 2 if it counts the elements of a list or the entries of a map
}

// forms are the forms of the first bytes from firstNil to below firstNegative.
var forms = [firstNegative - firstNil]form{
	0x04: {length: 1, bytes: 1}, 0x05: {length: 2, bytes: 1}, 0x06: {length: 4, bytes: 1}, // bytes
	0x07: {length: 1, fixed: 1, bytes: 1}, 0x08: {length: 2, fixed: 1, bytes: 1}, 0x09: {length: 4, fixed: 1, bytes: 1}, // extensions
	0x0a: {fixed: 4}, 0x0b: {fixed: 8}, // floating-point numbers
	0x0c: {fixed: 1}, 0x0d: {fixed: 2}, 0x0e: {fixed: 4}, 0x0f: {fixed: 8}, // unsigned integers
	0x10: {fixed: 1}, 0x11: {fixed: 2}, 0x12: {fixed: 4}, 0x13: {fixed: 8}, // signed integers
	0x14: {fixed: 2}, 0x15: {fixed: 3}, 0x16: {fixed: 5}, 0x17: {fixed: 9}, 0x18: {fixed: 17}, // extensions of a fixed length
	0x19: {length: 1, bytes: 1}, 0x1a: {length: 2, bytes: 1}, 0x1b: {length: 4, bytes: 1}, // texts
	0x1c: {length: 2, elements: 1}, 0x1d: {length: 4, elements: 1}, // lists
	0x1e: {length: 2, elements: 2}, 0x1f: {length: 4, elements: 2}, // maps
}
