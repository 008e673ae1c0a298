package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Shards is the number of streams that keys are spread over. With one append
// an interval each it bounds the appends of all filings together.
const Shards = 8

// FutureAllowance bounds how far the time of a key may lie ahead of the clock
// of the node that takes it.
const FutureAllowance = 5 * time.Minute

// KeyError reports an Idempotency-Key that cannot be used.
type KeyError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("Idempotency-Key %q: %s", e.Key, e.Reason)
}

// Key identifies one filing of one customer.
type Key struct {
	Hash [16]byte
	// Stamp is the time in the key, in Unix milliseconds.
	Stamp int64
}

// ParseKey reads an Idempotency-Key of a customer. Two customers never share a
// key.
func ParseKey(customer, service, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &KeyError{Key: text, Reason: "is not a UUID of version 7 (RFC 9562)"}
	}
	stamp := int64(binary.BigEndian.Uint64(append([]byte{0, 0}, id[:6]...)))
	if stamp > now.Add(FutureAllowance).UnixMilli() {
		return Key{}, &KeyError{Key: text, Reason: "was made in the future"}
	}
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + id.String()))
	k := Key{Stamp: stamp}
	copy(k.Hash[:], sum[:])
	return k, nil
}

// Shard returns the shard of the key.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k.Hash[:8]) % Shards)
}
