package detect

import (
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// mismatchesBeforeSync is the number of differing digests of a zone in a row after which the zone
// is exchanged. A single one may only mean that an update is still under way.
const mismatchesBeforeSync = 3

// Receive handles a packet and returns the packets to send.
func (d *Detector) Receive(now time.Time, p *Packet) []Outgoing {
	for _, m := range p.Updates {
		d.applyUpdate(now, m, p.From)
	}
	d.compareDigests(p)
	switch p.Kind {
	case Ping:
		return d.handlePing(p)
	case PingRequest:
		return d.handlePingRequest(now, p)
	case Ack:
		return d.handleAck(now, p)
	case IDMismatch:
		d.handleIDMismatch(now, p)
	}
	return nil
}

// handlePing answers a ping. The answer to an unknown sender carries the state of this node. The
// answer to a sender that is not alive here carries the sender's state, so that it can refute.
func (d *Detector) handlePing(p *Packet) []Outgoing {
	kind := Ack
	if p.To != d.self.ID {
		kind = IDMismatch
	}
	answer := d.newPacket(kind, d.senderOf(p))
	answer.Seq = p.Seq
	answer.To = p.To
	e, known := d.members[p.From]
	if !known {
		answer.Updates = append(answer.Updates, d.self)
		return []Outgoing{{Addr: p.FromAddr, Packet: answer}}
	}
	answer.Updates = appendUnlessAlive(answer.Updates, e.member)
	return []Outgoing{{Addr: p.FromAddr, Packet: answer}}
}

// senderOf returns the member that sent a packet, with only its id and address if it is unknown.
func (d *Detector) senderOf(p *Packet) cicadaseam.Member {
	if e := d.members[p.From]; e != nil {
		return e.member
	}
	return cicadaseam.Member{ID: p.From, Addr: p.FromAddr}
}

// handlePingRequest pings a member on behalf of the sender.
func (d *Detector) handlePingRequest(now time.Time, p *Packet) []Outgoing {
	d.seq++
	d.relayedPings[d.seq] = relayedPing{seq: p.Seq, addr: p.FromAddr, expiresAt: now.Add(2 * d.period)}
	out := d.newPacket(Ping, cicadaseam.Member{ID: p.To, Addr: p.ProbeAddr})
	out.Seq = d.seq
	out.To = p.To
	return []Outgoing{{Addr: p.ProbeAddr, Packet: out}}
}

// handleAck relays the answer to a relayed ping, or takes it as the answer to the current probe.
func (d *Detector) handleAck(now time.Time, p *Packet) []Outgoing {
	if relayed, ok := d.relayedPings[p.Seq]; ok {
		delete(d.relayedPings, p.Seq)
		out := d.newPacket(Ack, cicadaseam.Member{Addr: relayed.addr})
		out.Seq = relayed.seq
		out.To = p.To
		return []Outgoing{{Addr: relayed.addr, Packet: out}}
	}
	if d.probe == nil || d.probe.seq != p.Seq {
		return nil
	}
	e := d.members[d.probe.targetID]
	d.adjustHealthScore(-1)
	d.probe.answered = true
	if e != nil {
		d.recordAck(now, e)
	}
	return nil
}

// recordAck records the answer of a probed member. An unreachable one becomes alive. A suspect one
// stays so: it refutes the suspicion itself.
func (d *Detector) recordAck(now time.Time, e *entry) {
	e.ackedAt = now
	if e.member.State != cicadaseam.MemberUnreachable {
		return
	}
	e.member.State = cicadaseam.MemberAlive
	e.changedAt = now
	d.version++
	d.digestMismatches[e.member.Locality.Zone] = 0
	d.syncRequests = append(d.syncRequests, SyncRequest{Addr: e.member.Addr, Zone: e.member.Locality.Zone})
}

// handleIDMismatch declares the process with the probed id dead: another one answers at its
// address.
func (d *Detector) handleIDMismatch(now time.Time, p *Packet) {
	e := d.members[p.To]
	if e == nil || e.member.State >= cicadaseam.MemberDead || e.member.Addr != p.FromAddr {
		return
	}
	d.declareDead(now, e)
	if d.probe != nil && d.probe.targetID == p.To {
		d.probe.answered = true
	}
}

// compareDigests requests an exchange of each zone whose digests received from other nodes keep
// differing from the one of this node.
func (d *Detector) compareDigests(p *Packet) {
	for _, z := range p.ZoneDigests {
		if d.digests[z.Zone] == z.Digest {
			d.digestMismatches[z.Zone] = 0
			continue
		}
		d.digestMismatches[z.Zone]++
		if d.digestMismatches[z.Zone] >= mismatchesBeforeSync {
			d.digestMismatches[z.Zone] = 0
			d.syncRequests = append(d.syncRequests, SyncRequest{Addr: p.FromAddr, Zone: z.Zone})
		}
	}
}

// newPacket returns a packet with the next zone digest and the next updates. A PingRequest has no
// updates.
func (d *Detector) newPacket(kind Kind, to cicadaseam.Member) *Packet {
	p := &Packet{Kind: kind, From: d.self.ID, FromAddr: d.self.Addr, To: to.ID}
	if len(d.zones) > 0 {
		zone := d.zones[d.nextZone%len(d.zones)]
		d.nextZone++
		p.ZoneDigests = []ZoneDigest{{Zone: zone, Digest: d.digests[zone]}}
	}
	if kind != PingRequest {
		p.Updates = d.nextUpdates()
	}
	return p
}
