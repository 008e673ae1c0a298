package detect

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// syncAfter is the number of differing zone digests in a row that asks for an
// exchange: one may only mean that an update is still on its way.
const syncAfter = 3

// Receive takes a packet and returns the packets to send.
func (d *Detector) Receive(now time.Time, p *Packet) []Outgoing {
	for _, m := range p.Updates {
		d.update(now, m, p.From)
	}
	d.compareZones(p)
	switch p.Kind {
	case Ping:
		return d.answerPing(p)
	case PingRequest:
		return d.relayPing(now, p)
	case Ack:
		return d.takeAck(now, p)
	case IDMismatch:
		d.takeNotMe(now, p)
	}
	return nil
}

func (d *Detector) answerPing(p *Packet) []Outgoing {
	kind := Ack
	if p.To != d.self.ID {
		kind = IDMismatch
	}
	answer := d.packet(kind, d.memberOf(p))
	answer.Seq = p.Seq
	answer.To = p.To
	e, known := d.members[p.From]
	if !known {
		answer.Updates = append(answer.Updates, d.self)
		return []Outgoing{{Addr: p.FromAddr, Packet: answer}}
	}
	answer.Updates = withDoubt(answer.Updates, e.m)
	return []Outgoing{{Addr: p.FromAddr, Packet: answer}}
}

func (d *Detector) memberOf(p *Packet) cicadaseam.Member {
	if e := d.members[p.From]; e != nil {
		return e.m
	}
	return cicadaseam.Member{ID: p.From, Addr: p.FromAddr}
}

func (d *Detector) relayPing(now time.Time, p *Packet) []Outgoing {
	d.seq++
	d.relays[d.seq] = relay{seq: p.Seq, addr: p.FromAddr, expire: now.Add(2 * d.period)}
	out := d.packet(Ping, cicadaseam.Member{ID: p.To, Addr: p.ProbeAddr})
	out.Seq = d.seq
	out.To = p.To
	return []Outgoing{{Addr: p.ProbeAddr, Packet: out}}
}

func (d *Detector) takeAck(now time.Time, p *Packet) []Outgoing {
	if r, ok := d.relays[p.Seq]; ok {
		delete(d.relays, p.Seq)
		out := d.packet(Ack, cicadaseam.Member{Addr: r.addr})
		out.Seq = r.seq
		out.To = p.To
		return []Outgoing{{Addr: r.addr, Packet: out}}
	}
	if d.probe == nil || d.probe.seq != p.Seq {
		return nil
	}
	e := d.members[d.probe.id]
	d.raiseScore(-1)
	d.probe.answered = true
	if e != nil {
		d.heard(now, e)
	}
	return nil
}

// heard takes the sign of life of a probed member. An alive member that others
// suspect refutes by itself; one that this node holds unreachable is alive.
func (d *Detector) heard(now time.Time, e *entry) {
	e.ackedAt = now
	if e.m.State != cicadaseam.MemberUnreachable {
		return
	}
	e.m.State = cicadaseam.MemberAlive
	e.changed = now
	d.version++
	d.mismatch[e.m.Locality.Zone] = 0
	d.syncs = append(d.syncs, SyncRequest{Addr: e.m.Addr, Zone: e.m.Locality.Zone})
}

// takeNotMe learns that the process with the probed id is gone: another one
// lives at its address.
func (d *Detector) takeNotMe(now time.Time, p *Packet) {
	e := d.members[p.To]
	if e == nil || e.m.State >= cicadaseam.MemberDead || e.m.Addr != p.FromAddr {
		return
	}
	d.declareDead(now, e)
	if d.probe != nil && d.probe.id == p.To {
		d.probe.answered = true
	}
}

// compareZones asks for an exchange when the sender's view of a zone stays
// different.
func (d *Detector) compareZones(p *Packet) {
	for _, z := range p.ZoneDigests {
		if d.digests[z.Zone] == z.Digest {
			d.mismatch[z.Zone] = 0
			continue
		}
		d.mismatch[z.Zone]++
		if d.mismatch[z.Zone] >= syncAfter {
			d.mismatch[z.Zone] = 0
			d.syncs = append(d.syncs, SyncRequest{Addr: p.FromAddr, Zone: z.Zone})
		}
	}
}

// packet returns a packet with the updates and one zone digest that are due.
func (d *Detector) packet(kind Kind, to cicadaseam.Member) *Packet {
	p := &Packet{Kind: kind, From: d.self.ID, FromAddr: d.self.Addr, To: to.ID}
	if len(d.zones) > 0 {
		zone := d.zones[d.zoneAt%len(d.zones)]
		d.zoneAt++
		p.ZoneDigests = []ZoneDigest{{Zone: zone, Digest: d.digests[zone]}}
	}
	if kind != PingRequest {
		p.Updates = d.takeUpdates()
	}
	return p
}
