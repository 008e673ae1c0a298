package cicadaseam

import (
	"context"
	"fmt"
	"time"
)

// Offset is the place of a record in a stream. The first record of a stream
// has offset 1; 0 stands for "before the first record".
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// Names of the streams that the system keeps in the platform's log.
const (
	StreamConfig       = "config"
	StreamSnapshot     = "snapshot"
	StreamRendezvous   = "rendezvous"
	StreamLedgerPrefix = "ledger-"
)

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
//
// An error from Append does not say that the record was not appended: the
// answer may have been lost. Records therefore carry an id, and every reader
// ignores a second record with an id that it has seen.
type Log interface {
	// Append adds a record to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from offset from on. It waits up to wait for the
	// first record and returns none when there is none by then. It returns a
	// *TrimmedError when the record at from is no longer kept.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the first offset kept and the offset after the last one.
	Bounds(ctx context.Context, stream string) (first, next Offset, err error)
}

// TrimmedError reports a read of records that the log no longer keeps.
type TrimmedError struct {
	Stream string
	From   Offset
	First  Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is trimmed, first kept is %d", e.Stream, e.From, e.First)
}

// UnavailableError reports that the log gave no answer. Whether an append took
// effect is unknown.
type UnavailableError struct {
	Op     string
	Stream string
	Reason string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log %s on stream %s: %s", e.Op, e.Stream, e.Reason)
}
