// Package ledger makes a request with an Idempotency-Key run at most once, whichever nodes
// fail in between.
//
// # Model
//
// The hash of a key selects a shard, and each shard is a stream of the platform's log. A
// target that has a slot for a request submits a claim: an operation that names the key
// and the attempt to run the request. The first claim of a key in the stream wins, and the
// target starts the attempt only if it won. A target that submitted a claim and will not
// start the attempt submits a void of the claim, after which the next claim of the key wins.
//
// Any node may write any shard. The result of a claim always follows from the records of
// the stream up to the claim's own, so that two writers agree on it. Normally one node
// writes a shard, the first in rendezvous order, and batches the operations of a short
// interval into one record.
//
// Keys contain the time at which they were made (UUID version 7). A shard has an expiry
// bound: a key made at or before it is refused as expired, with the outcome unknown, since
// its request may have run. The bound only grows, and every claim of a key above it is
// still in the stream:
//
//   - Each record carries the greatest timestamp of a key in the records before it
//     (MaxTimestamp), and the last record that MaxTimestamp covers (ReadThrough).
//   - A reader that finds the records before F trimmed takes as the bound the
//     MaxTimestamp of a record with ReadThrough >= F-1. Until there is such a record, the
//     bound is later than the timestamp of any key that may have been accepted.
//
// This does not depend on synchronized clocks, which only determine how long a key lives.
//
// # Invariants
//
//   - An attempt that was voided never wins, even if its claim is appended after the void.
//   - Applying a record twice changes nothing, so that an append whose response was lost
//     can be repeated.
//
// # Usage
//
//	w := ledger.NewWriter(log, ledger.WithAppendInterval(42*time.Millisecond))
//	go w.Run(ctx)
//	result, err := w.Submit(ctx, op)
package ledger
