// Package cicadaseam declares the interfaces and the shared data types of a configuration
// distribution system for a service mesh.
//
// # Model
//
// One small process, a node, runs beside each backend server. All requests to that backend
// server go through it, and callers may send requests for any service to it. Operators
// publish changes to a tree of settings; a change is one record in the platform's append-only
// log, and its offset is its version. Each node applies the records in order, reaches the
// same verdict on each record as all others, and replaces its immutable table of routes and
// settings when a change is accepted. Membership, load and anti-entropy data travel by gossip.
// That state is soft: it may be lost and is rebuilt.
//
// Nodes of this kind are in internal/daemon/node; their types are [Change], [Call], [Answer],
// [Member] and [Log]. A second kind, the sidecar in internal/daemon/sidecar, is for deployments
// whose operators write complete revisions of the routing configuration to a store. Sidecars
// use that store instead of a [Log] and track each other by heartbeats. Their types are in
// mesh.go: [Revision], [MeshCall], [MeshAnswer], [RevisionSource] and [Directory].
//
// # Invariants
//
//   - The version of a node never decreases.
//   - A table is complete: the service of each route is in the same table.
//   - A change is applied atomically.
//   - The outcome [OutcomeNotRun] means that no byte of the request reached a backend server,
//     or that the backend server rejected the request without running it.
//   - A non-idempotent request is sent to a backend server at most once, unless the backend
//     server rejected it without running it.
//
// # Usage
//
// This package declares the replaceable parts: [Log], the platform's log; [Network], the
// transport between nodes; [Picker], the selection of a target; [RevisionSource] and
// [Directory], the store of a sidecar's platform. Implementations live under internal/, those of
// the last two in package platform. Programs that embed cicadaseam start from package embed,
// which has constructors for the parts that work on their own:
//
//	log := embed.NewMemoryLog()
//	cfg := embed.NewConfig(log, cicadaseam.Locality{Deployment: "georgia-east", Zone: "atl-north"})
//	decision, err := cfg.Publish(ctx, change)
package cicadaseam
