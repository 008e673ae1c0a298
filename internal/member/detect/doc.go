// Package detect decides which nodes are alive.
//
// # Model
//
// A Detector is a plain state machine in the shape of SWIM. Once a period it
// probes one member, then asks others to probe it, then suspects it. A suspect
// that does not refute with a higher incarnation is dead when its suspicion
// ends. Updates travel on probes and their answers, a limited number of times
// each; digests by availability zone find what was lost.
//
// A detector that is itself slow doubts itself first: missed ticks and missed
// answers of all kinds raise its own score, which stretches its timeouts.
//
// # Invariants
//
//   - Only a member raises its own incarnation. At the same incarnation the
//     worse state wins, so that all nodes come to the same state.
//   - When most of an availability zone is suspect at once, its members become
//     unreachable instead of dead. They are kept and probed slowly.
//   - A dead or left member is remembered for the tombstone time, so that an
//     old update cannot bring it back.
//
// # Usage
//
//	d := detect.New(self, rng, detect.WithPeriod(time.Second))
//	for _, s := range d.Tick(now) { send(s.Addr, s.Packet) }
//	for _, s := range d.Receive(now, packet) { send(s.Addr, s.Packet) }
//	members := d.Members()
package detect
