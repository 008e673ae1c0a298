package target

import (
	"net/http"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/rollout"
)

// WithOnResponse sets a function that is called with each response of the backend server, also
// with a missing one. It must not block.
func WithOnResponse(f func(rollout.Response)) Option {
	return func(t *Target) { t.onResponse = f }
}

// recordResponse reports the result of a request that was sent at a time. A request that the
// server rejected for lack of capacity or that the caller gave up says nothing about its version.
// t.mu must be held.
func (t *Target) recordResponse(began time.Time, s *server, call *cicadaseam.MeshCall, a *cicadaseam.MeshAnswer) {
	if !a.ReachedBackend || a.Reason == cicadaseam.ReasonCanceled || a.Reason == cicadaseam.ReasonBackendRejected {
		return
	}
	ran := a.Outcome == cicadaseam.OutcomeRan
	t.onResponse(rollout.Response{
		Instance: s.id,
		Version:  s.instance.Version,
		Route:    call.Route,
		Failed:   !ran || a.Status >= http.StatusInternalServerError,
		Lost:     !ran,
		TimedOut: a.Reason == cicadaseam.ReasonDeadline,
		RunTime:  a.BackendTime,
		WarmUp:   began.Before(s.warmUpUntil),
	})
}
