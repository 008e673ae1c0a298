package dispatch

import (
	"time"

	"github.com/cicadaseam/cicadaseam/internal/mesh/fleet"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
)

// Rollouts says how the requests for a service are split between versions.
type Rollouts interface {
	// Split returns nil if there is no rollout order for the service.
	Split(service string) *rollout.Split
}

type noRollouts struct{}

func (noRollouts) Split(string) *rollout.Split { return nil }

// WithRollouts sets the source of the splits between versions.
func WithRollouts(r Rollouts) Option { return func(d *Dispatcher) { d.rollouts = r } }

// versionOf returns the version of the backend server in a heartbeat, or "" if it has none.
func versionOf(hb *fleet.Heartbeat) string {
	if hb.Rollout == nil {
		return ""
	}
	return hb.Rollout.Version
}

// selectTarget selects the target of the next attempt, among the servers of the versions that
// may get it.
func (d *Dispatcher) selectTarget(now time.Time, req Requirements, ex *exchange) (Selection, bool) {
	candidates := d.candidates(now, ex.call.Service)
	split := d.rollouts.Split(ex.call.Service)
	if split == nil {
		return d.selector.Select(now, req, candidates, ex.tried)
	}
	inVersion, others := byVersion(candidates, split.Version)
	switch {
	case split.Step == rollout.StepBack:
		inVersion = nil
	case split.Step == rollout.StepShift && len(inVersion) > 0, split.Lenient && len(others) == 0:
		others = nil
	}
	if len(others) == 0 && (split.Step == rollout.StepShift || split.Lenient) {
		return d.countSelection(split, now, req, inVersion, ex)
	}
	toVersion := split.Take()
	if toVersion {
		if selected, ok := d.selector.Select(now, req, d.canary(split, inVersion, len(others)), ex.tried); ok {
			return selected, true
		}
		split.MoveToOthers()
	}
	selected, ok := d.selector.Select(now, req, others, ex.tried)
	if !ok {
		split.Undo(false)
	}
	return selected, ok
}

// countSelection selects a target of the target version, which gets all requests, and counts the
// request in the split.
func (d *Dispatcher) countSelection(split *rollout.Split, now time.Time, req Requirements, inVersion []Candidate, ex *exchange) (Selection, bool) {
	selected, ok := d.selector.Select(now, req, inVersion, ex.tried)
	if ok {
		split.TakeAll()
	}
	return selected, ok
}

// canary returns the candidates of the target version that get the canary traffic now. others is the
// number of candidates of other versions.
func (d *Dispatcher) canary(split *rollout.Split, inVersion []Candidate, others int) []Candidate {
	instances := make([]string, len(inVersion))
	for i := range inVersion {
		instances[i] = inVersion[i].Instance
	}
	subset := split.Subset(instances, others)
	out := make([]Candidate, 0, len(subset))
	for _, c := range inVersion {
		if subset[c.Instance] {
			out = append(out, c)
		}
	}
	return out
}

// byVersion divides candidates into those of a version and the others.
func byVersion(candidates []Candidate, version string) (inVersion, others []Candidate) {
	for _, c := range candidates {
		if c.Version == version {
			inVersion = append(inVersion, c)
		} else {
			others = append(others, c)
		}
	}
	return inVersion, others
}
