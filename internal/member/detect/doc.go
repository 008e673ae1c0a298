// Package detect is a SWIM failure detector: it decides which nodes are alive.
//
// # Model
//
// A Detector is a state machine without goroutines or I/O. Once a probe period
// it pings one member. Without an answer it asks other members to ping that member,
// and then makes it suspect. A suspect that does not refute with a higher
// incarnation is dead when the suspicion times out. Updates are sent with pings
// and their answers, and in packets of their own, a limited number of times each.
// Digests by availability zone reveal lost updates.
//
// A missed answer may mean that this node itself is slow. Missed ticks, missed
// answers and suspicions of this node raise its health score, as in Lifeguard,
// which stretches its timeouts.
//
// # Invariants
//
//   - Only a member itself increments its incarnation. At the same incarnation
//     the worse state wins, so that all nodes converge.
//   - When most of an availability zone is silent at the same time, its members
//     become unreachable instead of dead. They are kept, and probed rarely.
//   - A dead or left member is remembered for the tombstone lifetime, so that an
//     old update does not bring it back.
//
// # Usage
//
//	d := detect.New(self, rng, detect.WithProbePeriod(time.Second))
//	for _, out := range d.Tick(now) { send(out.Addr, out.Packet) }
//	for _, out := range d.Receive(now, packet) { send(out.Addr, out.Packet) }
//	members := d.Members()
package detect
