package detect

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Tick advances the detector. It should be called several times a period; the
// packets that it returns are to be sent.
func (d *Detector) Tick(now time.Time) []Outgoing {
	d.notePause(now)
	sends := append(d.stepProbe(now), d.askDoubted()...)
	d.expireSuspects(now)
	if now.Sub(d.lastExpire) >= d.period {
		d.lastExpire = now
		d.expireOld(now)
	}
	return sends
}

// Gossip returns packets that carry news to a few random members. Without
// news there are none. It should be called several times a period, so that
// news travels faster than probes.
func (d *Detector) Gossip() []Outgoing {
	if d.news.count == 0 {
		return nil
	}
	var sends []Outgoing
	for _, e := range d.randomAlive(gossipFanout, "") {
		p := d.packet(Gossip, e.m)
		if len(p.Updates) > 0 {
			sends = append(sends, Outgoing{Addr: e.m.Addr, Packet: p})
		}
	}
	return sends
}

// notePause finds out that this process was paused or starved. What it did not
// hear meanwhile says nothing about others: it forgets its probe and gives
// each suspect the lost time back.
func (d *Detector) notePause(now time.Time) {
	gap := now.Sub(d.lastNow)
	first := d.lastNow.IsZero()
	d.lastNow = now
	if first || gap < 2*d.period {
		return
	}
	d.raiseScore(int(math.Min(float64(gap/d.period), maxScore)))
	d.probe = nil
	for id := range d.suspects {
		if e := d.members[id]; e != nil {
			e.suspectAt = e.suspectAt.Add(gap)
		}
	}
}

func (d *Detector) stepProbe(now time.Time) []Outgoing {
	if d.probe == nil {
		return d.startProbe(now)
	}
	age := now.Sub(d.probe.sentAt)
	interval := d.period * time.Duration(1+d.score)
	switch {
	case d.probe.answered && age >= d.period:
		return d.startProbe(now)
	case d.probe.answered:
		return nil
	case age >= interval:
		d.failProbe(now)
		return d.startProbe(now)
	case age >= interval/2 && !d.probe.indirect:
		return d.probeIndirect()
	}
	return nil
}

func (d *Detector) startProbe(now time.Time) []Outgoing {
	d.probe = nil
	target := d.nextTarget()
	if target == nil {
		return nil
	}
	d.seq++
	d.counts.Probes++
	d.probe = &probe{seq: d.seq, id: target.m.ID, sentAt: now}
	p := d.packet(Ping, target.m)
	p.Seq = d.seq
	p.To = target.m.ID
	p.Updates = withDoubt(p.Updates, target.m)
	return []Outgoing{{Addr: target.m.Addr, Packet: p}}
}

// askDoubted tells a few doubted members that this node holds them dead.
func (d *Detector) askDoubted() []Outgoing {
	const atOnce = 3
	var sends []Outgoing
	for id := range d.doubted {
		if len(sends) == atOnce {
			break
		}
		delete(d.doubted, id)
		e := d.members[id]
		if e == nil || e.m.State != cicadaseam.MemberDead {
			continue
		}
		p := d.packet(Ping, e.m)
		p.Updates = withDoubt(p.Updates, e.m)
		sends = append(sends, Outgoing{Addr: e.m.Addr, Packet: p})
	}
	return sends
}

// withDoubt tells a member first what is thought of it, so that it can refute
// at once.
func withDoubt(updates []cicadaseam.Member, m cicadaseam.Member) []cicadaseam.Member {
	if m.State == cicadaseam.MemberAlive {
		return updates
	}
	return append(updates, m)
}

// nextTarget walks the members in random order. Unreachable members are
// probed with a small share, so that a lost zone costs little.
func (d *Detector) nextTarget() *entry {
	const unreachableShare = 8 // one probe in so many
	for range d.order {
		if d.next >= len(d.order) {
			d.next = 0
			d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
		}
		e := d.members[d.order[d.next]]
		d.next++
		switch e.m.State {
		case cicadaseam.MemberAlive, cicadaseam.MemberSuspect:
			return e
		case cicadaseam.MemberUnreachable:
			if d.rng.IntN(unreachableShare) == 0 {
				return e
			}
		}
	}
	return d.anyUnreachable()
}

// anyUnreachable keeps a node probing that can reach nobody.
func (d *Detector) anyUnreachable() *entry {
	var found *entry
	count := 0
	for _, e := range d.sorted() {
		if e.m.State != cicadaseam.MemberUnreachable {
			continue
		}
		count++
		if d.rng.IntN(count) == 0 {
			found = e
		}
	}
	return found
}

func (d *Detector) probeIndirect() []Outgoing {
	d.probe.indirect = true
	target := d.members[d.probe.id]
	var sends []Outgoing
	for _, helper := range d.randomAlive(indirectProbes, target.m.ID) {
		p := d.packet(PingRequest, helper.m)
		p.Seq = d.probe.seq
		p.To = target.m.ID
		p.ProbeAddr = target.m.Addr
		sends = append(sends, Outgoing{Addr: helper.m.Addr, Packet: p})
	}
	return sends
}

// randomAlive draws up to n alive members, walking the probe order from a
// random place.
func (d *Detector) randomAlive(n int, except string) []*entry {
	if len(d.order) == 0 {
		return nil
	}
	var alive []*entry
	start := d.rng.IntN(len(d.order))
	stride := 1 + d.rng.IntN(maxStride)
	seen := map[string]bool{except: true}
	for i := 0; i < len(d.order) && len(alive) < n; i++ {
		id := d.order[(start+i*stride)%len(d.order)]
		if e := d.members[id]; !seen[id] && e.m.State == cicadaseam.MemberAlive {
			seen[id] = true
			alive = append(alive, e)
		}
	}
	return alive
}

// failProbe takes a missed answer. It raises the own score too: an answer can
// be missed because this node is slow.
func (d *Detector) failProbe(now time.Time) {
	e := d.members[d.probe.id]
	d.raiseScore(1)
	if e == nil || e.m.State != cicadaseam.MemberAlive {
		return
	}
	d.counts.Suspicions++
	m := e.m
	m.State = cicadaseam.MemberSuspect
	d.set(now, e, m, d.self.ID)
}

func (d *Detector) expireSuspects(now time.Time) {
	for id := range d.suspects {
		e := d.members[id]
		if e == nil || e.m.State != cicadaseam.MemberSuspect {
			delete(d.suspects, id)
			continue
		}
		if now.Sub(e.suspectAt) >= d.suspicionTimeout(e) {
			d.expireSuspect(now, e)
		}
	}
}

// expireSuspect ends a suspicion: with death, or with unreachability when most
// of the zone is silent too.
func (d *Detector) expireSuspect(now time.Time, e *entry) {
	if d.zoneSilent(e.m.Locality.Zone) {
		d.markUnreachable(now, e)
		return
	}
	d.declareDead(now, e)
}

func (d *Detector) markUnreachable(now time.Time, e *entry) {
	if e.m.State == cicadaseam.MemberUnreachable {
		return
	}
	d.counts.Unreachable++
	e.m.State = cicadaseam.MemberUnreachable
	e.changed = now
	d.version++
}

func (d *Detector) declareDead(now time.Time, e *entry) {
	m := e.m
	m.State = cicadaseam.MemberDead
	d.counts.Deaths++
	d.set(now, e, m, "")
}

func (d *Detector) zoneSilent(zone string) bool {
	total, silent := 0, 0
	for _, e := range d.members {
		if e.m.Locality.Zone != zone || e.m.State > cicadaseam.MemberUnreachable {
			continue
		}
		total++
		if e.m.State != cicadaseam.MemberAlive {
			silent++
		}
	}
	return silent >= zoneSilentMembers && float64(silent) >= zoneSilentShare*float64(total)
}

// expireOld forgets tombstones, members unreachable for too long, and relayed
// probes without an answer.
func (d *Detector) expireOld(now time.Time) {
	for seq, r := range d.relays {
		if now.After(r.expire) {
			delete(d.relays, seq)
		}
	}
	for id, e := range d.members {
		age := now.Sub(e.changed)
		switch {
		case e.m.State >= cicadaseam.MemberDead && age > d.tomb:
			d.forget(id)
		case e.m.State == cicadaseam.MemberUnreachable && age > DefaultUnreachableTimeout:
			d.declareDead(now, e)
		}
	}
}

func (d *Detector) forget(id string) {
	delete(d.members, id)
	d.version++
	for i, other := range d.order {
		if other == id {
			d.order = append(d.order[:i], d.order[i+1:]...)
			if i < d.next {
				d.next--
			}
			return
		}
	}
}
