package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// NumShards is the number of streams over which keys are distributed. Each has at most
// one append per append interval, which bounds the appends to all of them.
const NumShards = 8

// MaxClockSkew bounds how far the timestamp of a key may be ahead of the clock of the node
// that accepts the key.
const MaxClockSkew = 5 * time.Minute

// KeyError reports an Idempotency-Key that cannot be used.
type KeyError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("Idempotency-Key %q: %s", e.Key, e.Reason)
}

// Key identifies a request of one customer.
type Key struct {
	Hash [16]byte
	// Timestamp is the time at which the key was made, in Unix milliseconds. In the log
	// its name is Stamp.
	Timestamp int64 `msgpack:"Stamp"`
}

// ParseKey parses an Idempotency-Key. The result differs between customers, and between
// services, that use the same text.
func ParseKey(customer, service, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &KeyError{Key: text, Reason: "is not a UUID of version 7 (RFC 9562)"}
	}
	timestamp := int64(binary.BigEndian.Uint64(append([]byte{0, 0}, id[:6]...)))
	if timestamp > now.Add(MaxClockSkew).UnixMilli() {
		return Key{}, &KeyError{Key: text, Reason: "was made in the future"}
	}
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + id.String()))
	k := Key{Timestamp: timestamp}
	copy(k.Hash[:], sum[:])
	return k, nil
}

// Shard returns the shard of the key.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k.Hash[:8]) % NumShards)
}
