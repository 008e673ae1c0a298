package dispatch

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

const (
	// avoidFirst and avoidLimit bound the time for which a target is left out
	// after a link to it failed.
	avoidFirst = 500 * time.Millisecond
	avoidLimit = 4 * time.Second
)

const (
	// wayShare is the weight of a new sample in the mean time on the way, which halves
	// in wayFade without one.
	wayShare = 0.3
	wayFade  = time.Second
)

// track is what this node knows of a target beside its beats.
type track struct {
	load     cicadaseam.MeshLoad
	loadAt   time.Time
	inFlight int
	// sent counts the requests sent since the load was told.
	sent     int
	failures int
	avoid    time.Time
	instance string
	// used is when a request was last sent there, or when it was first seen.
	used    time.Time
	proven  bool
	triedAt time.Time // when the first request went to a target that is not proven
	// way is the mean time that a request and its answer are on their way or lie in a
	// process that is short of processor time, and wayAt when it was last seen.
	way   time.Duration
	wayAt time.Time
}

// track returns what is known of a candidate; newer news from its beat are taken.
func (p *Placer) track(now time.Time, c *Candidate) *track {
	t := p.tracks[c.Addr]
	if t == nil || t.instance != c.Instance {
		in := 0
		if t != nil {
			in = t.inFlight
		}
		t = &track{instance: c.Instance, inFlight: in, used: now}
		p.tracks[c.Addr] = t
	}
	if c.Heard.After(t.loadAt) {
		t.take(c.Heard, c.Load)
	}
	return t
}

func (t *track) take(now time.Time, l cicadaseam.MeshLoad) {
	t.load = l
	t.loadAt = now
	t.sent = 0
}

// occupied returns the slots of a target and the requests that have or await one.
func (t *track) occupied() (slots, occupied int) {
	return max(t.load.Slots, 1), t.load.InFlight + t.load.Queued + t.sent
}

// expect returns how long a request with an objective is expected to take.
func (t *track) expect(now time.Time, objective time.Duration) Choice {
	pace := t.load.LatencyPermille
	if pace == 0 {
		pace = usualPace
	}
	x := Choice{Work: objective * time.Duration(pace) / thousand, Way: t.wayNow(now)}
	if slots, occupied := t.occupied(); occupied >= slots {
		x.Wait = x.Work * time.Duration(occupied-slots+1) / time.Duration(slots)
	}
	return x
}

// sends counts a request as sent.
func (t *track) sends(now time.Time) {
	if t.inFlight == 0 {
		t.triedAt = now
	}
	t.inFlight++
	t.sent++
	t.used = now
}

// Ended takes what came of a request at a target after a time.
func (p *Placer) Ended(now time.Time, addr string, took time.Duration, answer *cicadaseam.MeshAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tracks[addr]
	if t == nil {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	if answer.Reason == cicadaseam.ReasonLinkLost {
		t.failures++
		t.proven = false
		t.avoid = now.Add(min(avoidFirst<<min(t.failures-1, 8), avoidLimit))
		return
	}
	t.failures = 0
	t.travelled(now, took, answer)
	t.proven = t.proven || answer.Reason != cicadaseam.ReasonDeadline && answer.Reason != cicadaseam.ReasonCanceled
	if answer.Load.Slots > 0 {
		t.take(now, answer.Load)
	}
	if answer.Reason == cicadaseam.ReasonBackendLost && !answer.ReachedBackend {
		t.avoid = now.Add(avoidFirst / 2)
	}
}

// travelled learns the time on the way from an answer, or from none within a time.
func (t *track) travelled(now time.Time, took time.Duration, answer *cicadaseam.MeshAnswer) {
	sample := took - answer.QueueTime - answer.BackendTime
	if answer.Load.Slots == 0 {
		if answer.Reason != cicadaseam.ReasonDeadline {
			return
		}
		sample = took / 2 // nothing came back; where the request was is not known
	}
	way := t.wayNow(now)
	t.way = way + time.Duration(wayShare*float64(max(sample, 0)-way))
	t.wayAt = now
}

// wayNow returns the time on the way. It fades while nothing is sent, so that a target
// that was slow to reach is tried again.
func (t *track) wayNow(now time.Time) time.Duration {
	return time.Duration(float64(t.way) * math.Exp2(-now.Sub(t.wayAt).Seconds()/wayFade.Seconds()))
}
