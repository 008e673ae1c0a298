package dispatch

import (
	"context"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// maxProbes bounds the targets that are asked for a free slot before a request waits for one. More
// probes rarely find one that three have not.
const maxProbes = 3

// Probes answer a load near the capacity of a service with many targets. A node then knows the
// loads of most targets only from times at which other requests ran there, and a request that
// waits at the target that seems best waits although other targets have free slots. So a request
// first asks some targets of its zone to start it at once or to refuse it. A refusal costs a round
// trip within the zone, runs nothing, and reports the load of the target as it is now. The request
// then waits where the wait is the shortest. No target is probed if one of another zone is better
// but for its queue: a slow or failing server would be preferred because it has free slots.

// mayProbe reports whether the next target is asked for a free slot. Retries are not: they are
// charged to the retry budget for each target. During a rollout each selection counts in the
// shares of the versions.
func (d *Dispatcher) mayProbe(ex *exchange) bool {
	return ex.probes < maxProbes && !ex.isRetry() && d.rollouts.Split(ex.call.Service) == nil
}

// probe asks a target of the own zone to start a request at once. It returns false if there is none
// to ask, or the one that was asked had no free slot.
func (d *Dispatcher) probe(ctx context.Context, now time.Time, ex *exchange) (attempt, bool) {
	req := d.requirements(now, ex)
	req.Probe = true
	selected, ok := d.selectTarget(now, req, ex)
	if !ok {
		ex.endProbing()
		return attempt{}, false
	}
	ex.probes++
	ex.tried[selected.Candidate.Addr] = true
	answer := d.send(ctx, ex, &req, &selected, false)
	if answer.Outcome != cicadaseam.OutcomeNotRun || !isLackOfRoom(answer.Reason) {
		ex.endProbing()
		return attempt{selected, answer}, true
	}
	ex.probed = append(ex.probed, selected.Candidate.Addr)
	if ex.probes == maxProbes {
		ex.endProbing()
	}
	return attempt{}, false
}

// endProbing makes the request wait at its next target, which may be one that had no free slot.
func (ex *exchange) endProbing() {
	ex.probes = maxProbes
	for _, addr := range ex.probed {
		delete(ex.tried, addr)
	}
}
