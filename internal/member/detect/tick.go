package detect

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Tick advances the detector and returns the packets to send. It should be called several times a
// period.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.detectPause(now)
	out := append(d.advanceProbe(now), d.pingDisputed()...)
	d.expireSuspects(now)
	if now.Sub(d.lastExpiry) >= d.period {
		d.lastExpiry = now
		d.removeExpired(now)
	}
	return out
}

// Gossip returns packets with queued updates to a few random members, and none if no update is
// queued. It should be called several times a period, so that updates spread faster than with
// probes alone.
func (d *Detector) Gossip() []Outgoing {
	if d.pending.count == 0 {
		return nil
	}
	var out []Outgoing
	for _, e := range d.randomAlive(gossipFanout, "") {
		p := d.newPacket(Gossip, e.member)
		if len(p.Updates) > 0 {
			out = append(out, Outgoing{Addr: e.member.Addr, Packet: p})
		}
	}
	return out
}

// detectPause detects from the time between ticks that this process was paused or starved of CPU.
// An answer or refutation missed meanwhile says nothing about other members, so the probe is
// dropped and each suspicion is extended by the pause.
func (d *Detector) detectPause(now time.Time) {
	pause := now.Sub(d.lastTick)
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || pause < 2*d.period {
		return
	}
	d.adjustHealthScore(int(math.Min(float64(pause/d.period), maxHealthScore)))
	d.probe = nil
	for id := range d.suspects {
		if e := d.members[id]; e != nil {
			e.suspectedAt = e.suspectedAt.Add(pause)
		}
	}
}

// advanceProbe starts the next probe when the current one has been answered or has timed out. If no
// answer has arrived after half of the timeout, it requests indirect probes.
func (d *Detector) advanceProbe(now time.Time) []Outgoing {
	if d.probe == nil {
		return d.startProbe(now)
	}
	age := now.Sub(d.probe.sentAt)
	timeout := d.period * time.Duration(1+d.healthScore)
	switch {
	case d.probe.answered && age >= d.period:
		return d.startProbe(now)
	case d.probe.answered:
		return nil
	case age >= timeout:
		d.handleProbeTimeout(now)
		return d.startProbe(now)
	case age >= timeout/2 && !d.probe.indirectSent:
		return d.requestIndirectProbes()
	}
	return nil
}

// startProbe pings the next member and makes it the probe in flight.
func (d *Detector) startProbe(now time.Time) []Outgoing {
	d.probe = nil
	target := d.nextProbeTarget()
	if target == nil {
		return nil
	}
	d.seq++
	d.counters.Probes++
	d.probe = &probe{seq: d.seq, targetID: target.member.ID, sentAt: now}
	p := d.newPacket(Ping, target.member)
	p.Seq = d.seq
	p.To = target.member.ID
	p.Updates = appendUnlessAlive(p.Updates, target.member)
	return []Outgoing{{Addr: target.member.Addr, Packet: p}}
}

// pingDisputed notifies a few disputed members that they are dead for this node, so that they refute.
func (d *Detector) pingDisputed() []Outgoing {
	const maxPings = 3 // in one tick
	var out []Outgoing
	for id := range d.disputed {
		if len(out) == maxPings {
			break
		}
		delete(d.disputed, id)
		e := d.members[id]
		if e == nil || e.member.State != cicadaseam.MemberDead {
			continue
		}
		p := d.newPacket(Ping, e.member)
		p.Updates = appendUnlessAlive(p.Updates, e.member)
		out = append(out, Outgoing{Addr: e.member.Addr, Packet: p})
	}
	return out
}

// appendUnlessAlive appends the state of the receiver of a packet, unless it is alive, so that the
// receiver can refute at once.
func appendUnlessAlive(updates []cicadaseam.Member, m cicadaseam.Member) []cicadaseam.Member {
	if m.State == cicadaseam.MemberAlive {
		return updates
	}
	return append(updates, m)
}

// nextProbeTarget returns the next member in a random order that changes with each round.
// Unreachable members are mostly skipped, so that a lost zone takes few of the probes.
func (d *Detector) nextProbeTarget() *entry {
	const unreachableInterval = 8 // one in this many turns of an unreachable member is used
	for range d.probeOrder {
		if d.nextProbe >= len(d.probeOrder) {
			d.nextProbe = 0
			d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
		}
		e := d.members[d.probeOrder[d.nextProbe]]
		d.nextProbe++
		switch e.member.State {
		case cicadaseam.MemberAlive, cicadaseam.MemberSuspect:
			return e
		case cicadaseam.MemberUnreachable:
			if d.rng.IntN(unreachableInterval) == 0 {
				return e
			}
		}
	}
	return d.randomUnreachable()
}

// randomUnreachable returns a random unreachable member, or nil, so that a node without any
// reachable member keeps probing.
func (d *Detector) randomUnreachable() *entry {
	var chosen *entry
	count := 0
	for _, e := range d.sortedEntries() {
		if e.member.State != cicadaseam.MemberUnreachable {
			continue
		}
		count++
		if d.rng.IntN(count) == 0 {
			chosen = e
		}
	}
	return chosen
}

// requestIndirectProbes asks a few random members to ping the target of the probe in flight.
func (d *Detector) requestIndirectProbes() []Outgoing {
	d.probe.indirectSent = true
	target := d.members[d.probe.targetID]
	var out []Outgoing
	for _, helper := range d.randomAlive(maxIndirectProbes, target.member.ID) {
		p := d.newPacket(PingRequest, helper.member)
		p.Seq = d.probe.seq
		p.To = target.member.ID
		p.ProbeAddr = target.member.Addr
		out = append(out, Outgoing{Addr: helper.member.Addr, Packet: p})
	}
	return out
}

// randomAlive returns up to n alive members other than except. It walks the probe order from a
// random position in a random step.
func (d *Detector) randomAlive(n int, except string) []*entry {
	if len(d.probeOrder) == 0 {
		return nil
	}
	var alive []*entry
	start := d.rng.IntN(len(d.probeOrder))
	stride := 1 + d.rng.IntN(maxStride)
	excluded := map[string]bool{except: true}
	for i := 0; i < len(d.probeOrder) && len(alive) < n; i++ {
		id := d.probeOrder[(start+i*stride)%len(d.probeOrder)]
		if e := d.members[id]; !excluded[id] && e.member.State == cicadaseam.MemberAlive {
			excluded[id] = true
			alive = append(alive, e)
		}
	}
	return alive
}

// handleProbeTimeout makes the target of an unanswered probe suspect. It also raises the health
// score of this node, which may itself have been too slow to receive the answer in time.
func (d *Detector) handleProbeTimeout(now time.Time) {
	e := d.members[d.probe.targetID]
	d.adjustHealthScore(1)
	if e == nil || e.member.State != cicadaseam.MemberAlive {
		return
	}
	d.counters.Suspicions++
	m := e.member
	m.State = cicadaseam.MemberSuspect
	d.setMember(now, e, m, d.self.ID)
}

// expireSuspects ends the suspicions that have timed out.
func (d *Detector) expireSuspects(now time.Time) {
	for id := range d.suspects {
		e := d.members[id]
		if e == nil || e.member.State != cicadaseam.MemberSuspect {
			delete(d.suspects, id)
			continue
		}
		if now.Sub(e.suspectedAt) >= d.suspicionTimeout(e) {
			d.endSuspicion(now, e)
		}
	}
}

// endSuspicion declares a suspect dead, or unreachable if most of its zone is silent too.
func (d *Detector) endSuspicion(now time.Time, e *entry) {
	if d.zoneSilent(e.member.Locality.Zone) {
		d.markUnreachable(now, e)
		return
	}
	d.declareDead(now, e)
}

// markUnreachable changes the state of a member in this node's view alone: no update is queued.
func (d *Detector) markUnreachable(now time.Time, e *entry) {
	if e.member.State == cicadaseam.MemberUnreachable {
		return
	}
	d.counters.Unreachable++
	e.member.State = cicadaseam.MemberUnreachable
	e.changedAt = now
	d.version++
}

func (d *Detector) declareDead(now time.Time, e *entry) {
	m := e.member
	m.State = cicadaseam.MemberDead
	d.counters.Deaths++
	d.setMember(now, e, m, "")
}

// zoneSilent reports whether most members of a zone are suspect or unreachable. Dead and left
// members do not count.
func (d *Detector) zoneSilent(zone string) bool {
	total, silent := 0, 0
	for _, e := range d.members {
		if e.member.Locality.Zone != zone || e.member.State > cicadaseam.MemberUnreachable {
			continue
		}
		total++
		if e.member.State != cicadaseam.MemberAlive {
			silent++
		}
	}
	return silent >= minSilentMembers && float64(silent) >= minSilentShare*float64(total)
}

// removeExpired removes old tombstones and relayed pings without an answer, and declares members
// dead that have been unreachable for too long.
func (d *Detector) removeExpired(now time.Time) {
	for seq, relayed := range d.relayedPings {
		if now.After(relayed.expiresAt) {
			delete(d.relayedPings, seq)
		}
	}
	for id, e := range d.members {
		age := now.Sub(e.changedAt)
		switch {
		case e.member.State >= cicadaseam.MemberDead && age > d.tombstoneLifetime:
			d.removeMember(id)
		case e.member.State == cicadaseam.MemberUnreachable && age > DefaultUnreachableTimeout:
			d.declareDead(now, e)
		}
	}
}

func (d *Detector) removeMember(id string) {
	delete(d.members, id)
	d.version++
	for i, other := range d.probeOrder {
		if other == id {
			d.probeOrder = append(d.probeOrder[:i], d.probeOrder[i+1:]...)
			if i < d.nextProbe {
				d.nextProbe--
			}
			return
		}
	}
}
