package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// errorRate is both the false-positive and the false-negative probability of the failure test.
	errorRate = 0.001
	// minFailureRate is the lowest failure rate that the old version is taken to have.
	minFailureRate = 0.01
	// badFactor and badPoints say when a version is bad: its failure rate is badFactor times
	// that of the old version plus badPoints.
	badFactor = 3
	badPoints = 0.1
	// maxBadRate bounds the failure rate of a bad version in the test.
	maxBadRate = 0.95
	// minOldResponses is the number of responses of the old version on a route below which its
	// rate over all routes is used.
	minOldResponses = 20
	// slowFactor is the factor of the run time from which on a version is bad, after slowResponses.
	// verySlowFactor is that after verySlowResponses.
	slowFactor        = 2.5
	slowResponses     = 20
	verySlowFactor    = 4
	verySlowResponses = 10
	// minOldTimed is the number of run times of the old version that a route needs to be
	// compared.
	minOldTimed = 5
	// outlierServers is the number of new servers with evidence from which on the worst one is
	// excluded, and minServerResponses the number of responses that count as evidence.
	outlierServers     = 3
	minServerResponses = 3
	// waitFailures is the number of failures up to which a verdict waits for the evidence
	// of outlierServers servers, if there are so many.
	waitFailures = 25
)

// Verdict is the result of a comparison.
type Verdict struct {
	Failing bool
	Slow    bool
	// Reason says what was found, for the log.
	Reason string
}

// Evidence is what is known of both versions in one interval.
type Evidence struct {
	// New holds the counts of each server of the target version.
	New map[string]Counts
	// Old is the sum of those of the other servers.
	Old Counts
	// Servers is the number of servers of the target version that are in use.
	Servers int
}

// Judge compares the target version with the others. With evidence from outlierServers servers,
// the worst one is excluded: a version is bad only if the other servers show it too.
func Judge(e Evidence) Verdict {
	servers := make([]string, 0, len(e.New))
	failures := int64(0)
	for name, c := range e.New {
		t := c.total()
		failures += t.Failures
		if t.Responses >= minServerResponses {
			servers = append(servers, name)
		}
	}
	slices.Sort(servers)
	switch {
	case len(servers) >= outlierServers:
		old := e.Old.total()
		v := judgeWithout(e, servers, worst(servers, func(s string) float64 { return failureScore(e.New[s].total(), old) }))
		slow := judgeWithout(e, servers, worst(servers, func(s string) float64 { d, _ := slowness(e.New[s], e.Old); return d }))
		v.Slow = slow.Slow
		if !v.Failing {
			v.Reason = slow.Reason
		}
		return v
	case e.Servers >= outlierServers && failures < waitFailures:
		return Verdict{}
	}
	all := Counts{}
	for _, c := range e.New {
		all.add(c)
	}
	return compare(all, e.Old)
}

// judgeWithout compares all servers but one.
func judgeWithout(e Evidence, servers []string, excluded string) Verdict {
	rest := Counts{}
	for _, s := range servers {
		if s != excluded {
			rest.add(e.New[s])
		}
	}
	return compare(rest, e.Old)
}

// worst returns the server with the highest score.
func worst(servers []string, score func(string) float64) string {
	best, name := math.Inf(-1), ""
	for _, s := range servers {
		if x := score(s); x > best || name == "" {
			best, name = x, s
		}
	}
	return name
}

// compare tests for failures over all routes and on each one, and for slowness.
func compare(now, old Counts) Verdict {
	var v Verdict
	// Each route and the total are tested, so each test needs a smaller error rate (Bonferroni
	// correction).
	threshold := math.Log((1-errorRate)/errorRate) + math.Log(float64(len(now)+1))
	oldTotal := old.total()
	if t := now.total(); failureScore(t, oldTotal) >= threshold {
		v = Verdict{Failing: true, Reason: fmt.Sprintf("%d of %d responses failed, before %d of %d", t.Failures, t.Responses, oldTotal.Failures, oldTotal.Responses)}
	}
	for route, c := range now {
		o := old[route]
		if o.Responses < minOldResponses {
			o = oldTotal
		}
		if !v.Failing && failureScore(c, o) >= threshold {
			v = Verdict{Failing: true, Reason: fmt.Sprintf("route %s: %d of %d responses failed, before %d of %d", route, c.Failures, c.Responses, o.Failures, o.Responses)}
		}
		if d, ok := routeSlowness(c, old[route]); ok && isSlow(d, c.Timed) {
			v.Slow = true
			if !v.Failing {
				v.Reason = fmt.Sprintf("route %s: run time is %.1f times that of before in %d responses", route, math.Exp2(d), c.Timed)
			}
		}
	}
	if d, n := slowness(now, old); isSlow(d, n) {
		v.Slow = true
		if !v.Failing {
			v.Reason = fmt.Sprintf("run time is %.1f times that of before in %d responses", math.Exp2(d), n)
		}
	}
	return v
}

// failureScore returns the log-likelihood ratio of the counts under the failure rate of a bad
// version against that of the old version (Wald's sequential probability ratio test).
func failureScore(c, old RouteCounts) float64 {
	good := minFailureRate
	if old.Responses > 0 {
		good = max(good, float64(old.Failures)/float64(old.Responses))
	}
	bad := min(badFactor*good+badPoints, max(maxBadRate, (1+good)/2))
	if good >= bad {
		return 0 // all responses of the old version failed, so no version can be worse
	}
	failures := float64(c.Failures)
	successes := float64(c.Responses - c.Failures)
	return failures*math.Log(bad/good) + successes*math.Log((1-bad)/(1-good))
}

// routeSlowness returns the binary logarithm of the factor between the run times on one route,
// and false if there are too few to compare.
func routeSlowness(c, old RouteCounts) (float64, bool) {
	if c.Timed == 0 || old.Timed < minOldTimed {
		return 0, false
	}
	return c.meanLog() - old.meanLog(), true
}

// slowness returns the mean over all routes that can be compared, weighted by the responses of
// the target version, and the number of these.
func slowness(now, old Counts) (mean float64, n int64) {
	for route, c := range now {
		if d, ok := routeSlowness(c, old[route]); ok {
			mean += d * float64(c.Timed)
			n += c.Timed
		}
	}
	if n > 0 {
		mean /= float64(n)
	}
	return mean, n
}

func isSlow(d float64, n int64) bool {
	return n >= slowResponses && d >= math.Log2(slowFactor) || n >= verySlowResponses && d >= math.Log2(verySlowFactor)
}
