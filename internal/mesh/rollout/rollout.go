// Package rollout moves the requests for a service from the backend servers of one version to
// those of another one, compares the versions meanwhile, and decides how the rollout ends.
//
// # Model
//
// A Tracker holds the orders that one node knows. It is a state machine: each method takes the
// time, and none needs a network, a clock or a goroutine. Nodes exchange a Report in their
// heartbeats. It holds what they know of each order, and the Counts of the responses of their
// backend server.
//
// The step of an order is a function of its age. In the canary step, a node sends a small
// share of its requests to the target version; its Split decides that for each attempt, from
// the node's own counts. In the shift step, all requests go to the target version. Any node
// that finds the target version bad (see Judge) sets a flag that spreads with the reports and
// is never cleared; from then on, no request goes to the target version.
//
// The status of an order is written by one node, and by the next ones if that does not do so in
// time. It is terminal once it is complete or rolled back.
//
// # Invariants
//
//   - In the canary step, the requests that one process sends to the target version never exceed
//     the share of those that it sends to the service by more than its part of the slack.
//   - A bad flag, an age, a shift and a final state are never taken back.
//   - A final state that is known to be written does not change.
//
// Times are readings of a clock that also advances while the machine is suspended, such as
// transit.Now.
//
// # Usage
//
//	t := rollout.NewTracker(now, node, settings, random, rollout.WithLogger(logger))
//	t.AddOrder(now, order)
//	t.Merge(now, report)           // of each heartbeat
//	writes := t.Tick(now, view)    // several times a second while Active
//	split := t.Split(service)      // nil without an order
//	if split != nil && split.Take() { ... }
package rollout

import (
	"fmt"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Settings bound what a rollout of a bad version may cost.
type Settings struct {
	// Share bounds the part of all requests for the service that reach a bad version, and Slack
	// the number of requests beyond it.
	Share float64
	Slack float64
	// Limit is the time after the 50th bad response from which on a bad version gets no request.
	Limit time.Duration
}

// DefaultSettings are used where a deployment has no settings of its own.
var DefaultSettings = Settings{Share: 0.1, Slack: 50, Limit: 5 * time.Second}

// MaxDuration bounds the time from an order to its deadline.
const MaxDuration = 24 * time.Hour

// OrderError reports an order that is not followed.
type OrderError struct {
	Service string
	Problem string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("rollout order for %s: %s", e.Service, e.Problem)
}

// Validate returns an *OrderError if an order cannot be followed.
func Validate(o cicadaseam.RolloutOrder) error {
	switch {
	case o.Service == "" || o.Version == "":
		return &OrderError{Service: o.Service, Problem: "no service or no target version"}
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return &OrderError{Service: o.Service, Problem: fmt.Sprintf("duration %v is not between 0 and %v", o.Duration, MaxDuration)}
	}
	return nil
}

// Report is what a node tells the other nodes of rollouts. Its encoding names its fields, so
// that processes of other releases skip those which they do not know.
type Report struct {
	// Sequence rises with each change that the other nodes are to learn at once.
	Sequence uint64 `msgpack:"q"`
	// Version is that of the backend server beside the node.
	Version string       `msgpack:"v,omitempty"`
	Orders  []OrderState `msgpack:"o,omitempty"`
	// Evidence counts the responses of the backend server since an order, whose key is
	// EvidenceFor.
	Evidence    Counts `msgpack:"c,omitempty"`
	EvidenceFor uint32 `msgpack:"k,omitempty"`
	// Drained is set while requests go to another version than that of the backend server, and
	// the backend server has had none in flight or queued for drainQuiet.
	Drained bool `msgpack:"d,omitempty"`
	// StoreFailed is set by a node whose last writes of a status failed, so that another one
	// writes.
	StoreFailed bool `msgpack:"f,omitempty"`
}

// OrderState is what a node knows of one order.
type OrderState struct {
	Service  string        `msgpack:"s"`
	Version  string        `msgpack:"v"`
	Duration time.Duration `msgpack:"d"`
	// Epoch and Offset are the position of the record.
	Epoch  uint64 `msgpack:"e,omitempty"`
	Offset uint64 `msgpack:"o,omitempty"`
	// Age is the time since the order in milliseconds.
	Age int64 `msgpack:"a"`
	// Started is the age in milliseconds at which servers of the version were first seen, plus 1;
	// it is 0 before.
	Started int64 `msgpack:"b,omitempty"`
	Bad     bool  `msgpack:"x,omitempty"`
	// Done is set once a node found that the rollout completes, and Shifted once the sender of
	// the report sends every request to the version.
	Done    bool `msgpack:"c,omitempty"`
	Shifted bool `msgpack:"h,omitempty"`
	// Posted is 0 until a status is known to be written, and then 1 plus its state. PostedEpoch
	// is the epoch of the store that has it.
	Posted      uint8  `msgpack:"p,omitempty"`
	PostedEpoch uint64 `msgpack:"w,omitempty"`
}

func (s *OrderState) order() cicadaseam.RolloutOrder {
	return cicadaseam.RolloutOrder{Service: s.Service, Version: s.Version, Duration: s.Duration, Written: cicadaseam.Position{Epoch: s.Epoch, Offset: cicadaseam.Offset(s.Offset)}}
}
