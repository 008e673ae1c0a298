// Package ledger makes a request with an Idempotency-Key run at most once,
// whichever nodes die in between.
//
// # Model
//
// The hash of a key names a shard; each shard is a stream of the platform's
// log. A target that has reserved a slot asks for a claim: a record that names
// the key and the attempt. The first claim of a key in the stream wins, and
// the target starts an attempt only if it won. A target that claimed and will
// not start writes a void record for its own attempt, after which the next
// claim wins. Any node may write any shard: a verdict is always read from the
// stream up to the claim's own record, so that two writers agree. Normally one
// node writes a shard (the first in rendezvous order) and groups the claims of
// a short interval in one append.
//
// Keys carry the time of their making (UUID version 7). A shard has a floor,
// and a key made at or before the floor is refused as expired, with the outcome
// unknown: it may have run. The floor only grows. It is such that every claim
// of a key above it is still in the stream:
//
//   - each record carries the newest key time of all records before it (High)
//     and how far that knowledge reaches (Seen);
//   - a reader that finds the stream trimmed below record F takes High of a
//     record with Seen >= F-1 as the floor, and if there is none, a time past
//     any key that may have been taken.
//
// No clock has to agree with another for this to hold; clocks only decide how
// long a key lives.
//
// # Invariants
//
//   - An attempt that was voided never wins, also when its claim lands later.
//   - Folding a record twice changes nothing, so a lost append answer is met
//     by appending again.
//
// # Usage
//
//	w := ledger.NewWriter(log, timers, ledger.WithInterval(42*time.Millisecond))
//	go w.Run(ctx)
//	result, err := w.Claim(ctx, claim)
package ledger
