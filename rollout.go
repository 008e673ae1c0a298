package cicadaseam

import (
	"context"
	"fmt"
	"time"
)

// RolloutStatus is the record of how far a rollout is.
type RolloutStatus struct {
	Service string
	Version string
	State   RolloutState
	// Duration is that of the order, or 0 in a record without it.
	Duration time.Duration
	// Since is the wall time at which the rollout began, or zero in a record without it.
	Since time.Time
}

// String returns the lower-case name of the state.
func (s RolloutState) String() string {
	switch s {
	case RolloutRunning:
		return "running"
	case RolloutComplete:
		return "complete"
	case RolloutRolledBack:
		return "rolled_back"
	}
	return "invalid"
}

// IsFinal reports whether a rollout in the state has ended.
func (s RolloutState) IsFinal() bool { return s == RolloutComplete || s == RolloutRolledBack }

// RolloutStore keeps the status of each rollout. Implementations are safe for concurrent use.
type RolloutStore interface {
	// RolloutStatuses returns the newest status of each service, and the position at which the
	// next record lands.
	RolloutStatuses(ctx context.Context) ([]RolloutStatus, Position, error)
	// WriteRolloutStatus writes a status that lands at a position. It returns a *ConflictError if
	// another record has landed there, and otherwise the epoch that acknowledged the write.
	WriteRolloutStatus(ctx context.Context, status RolloutStatus, at Position) (epoch uint64, err error)
}

// ConflictError reports a conditional append at an offset that is not the end of its stream.
type ConflictError struct {
	Stream string
	At     Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append to %s: offset %d is not its end", e.Stream, e.At)
}
