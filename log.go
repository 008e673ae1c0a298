package cicadaseam

import (
	"context"
	"fmt"
	"time"
)

// Offset is the position of a record in a stream. The first record of a stream has offset 1;
// 0 means "before the first record".
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// Names of the streams that the system keeps in the platform's log.
const (
	// StreamConfig holds the changes of the configuration, and StreamSnapshot snapshots of it.
	StreamConfig   = "config"
	StreamSnapshot = "snapshot"
	// StreamRendezvous holds addresses of live nodes, through which starting nodes join.
	StreamRendezvous = "rendezvous"
	// StreamLedgerPrefix is followed by the number of a ledger shard, whose stream holds the
	// claims of idempotency keys.
	StreamLedgerPrefix = "ledger-"
)

// Log is the platform's append-only log. Implementations are safe for concurrent use.
//
// An error from Append does not mean that the record was not appended: the response may have
// been lost. Records therefore carry an id, and every reader ignores records with an id that
// it has already seen.
type Log interface {
	// Append adds a record to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns at most limit records, starting at offset from. It waits up to wait for
	// the first record and returns none if there is none by then. It returns a *TrimmedError
	// if the record at from is no longer retained.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the first retained offset and the offset after the last record.
	Bounds(ctx context.Context, stream string) (first, next Offset, err error)
}

// TrimmedError reports a read of records that the log no longer retains.
type TrimmedError struct {
	Stream string
	From   Offset
	First  Offset // first retained offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is trimmed, first kept is %d", e.Stream, e.From, e.First)
}

// UnavailableError reports that the log gave no valid response. Whether an append took effect
// is unknown.
type UnavailableError struct {
	Op     string
	Stream string
	Reason string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log %s on stream %s: %s", e.Op, e.Stream, e.Reason)
}
