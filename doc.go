// Package cicadaseam holds the interfaces and the shared data of a
// configuration distribution system for a service mesh.
//
// # Model
//
// One small process, a node, runs beside each backend server. It is the only
// way to that backend server and a way in for any caller that connects to it.
// Operators publish changes to a tree of settings; a change is one record in
// the platform's append-only log, and its offset is its version. Each node
// folds the records in order, with the same verdict for each record, and swaps
// one immutable table when a change is accepted. Membership, load and repair
// travel by gossip, which may be lost and is rebuilt.
//
// # Invariants
//
//   - The version of a node only grows.
//   - A table is complete: each route's target is in the same table.
//   - A change is applied whole or not at all.
//   - An answer with the outcome NotRun means that no byte of the request
//     reached a backend server.
//   - A non-idempotent request is sent to a backend server at most once.
//
// # Usage
//
// This package declares what varies: [Log], the platform's log; [Network], the
// way to other nodes; [Picker], the choice of a target. Implementations live
// under internal/. Embedders start from package embed, which has constructors
// for the parts that stand alone:
//
//	store := embed.NewMemoryLog()
//	cfg := embed.NewConfig(store, cicadaseam.Place{Deployment: "georgia-east", Zone: "atl-north"})
//	verdict, err := cfg.Publish(ctx, change)
package cicadaseam
