// Package view provides an immutable snapshot of the members of the fleet.
//
// # Model
//
// Package gossip builds a new View whenever the membership changes and publishes
// it. A call keeps the view that it started with. RendezvousOrder and
// RendezvousRank order members by rendezvous hashing: all nodes with the same view
// agree on which of them does a task, and while views differ, at worst a task is
// done twice.
//
// # Usage
//
//	v := gossip.View()
//	for _, c := range v.Candidates("status-portal") { ... }
//	if rank := view.RendezvousRank("reader", v.Live(zone), v.Self.ID); rank >= 0 && rank < 2 { ... }
package view

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Peer is another member, with the times of its last change or acknowledgement and of its discovery.
type Peer struct {
	Member    cicadaseam.Member `json:"member"`
	LastHeard time.Time         `json:"heard"`
	FirstSeen time.Time         `json:"firstSeen"`
	// ReadySince is when the backend server of the member last became ready.
	ReadySince time.Time `json:"readySince"`
}

// View is the fleet as one node sees it. It is immutable. Peers are the members other than Self,
// in all states.
type View struct {
	Self  cicadaseam.Member
	Peers []Peer

	byID       map[string]cicadaseam.Member
	candidates map[string][]cicadaseam.Candidate
}

// New returns the view of a fleet that consists of self and peers.
func New(self cicadaseam.Member, peers []Peer) *View {
	v := &View{
		Self:       self,
		Peers:      peers,
		byID:       map[string]cicadaseam.Member{self.ID: self},
		candidates: map[string][]cicadaseam.Candidate{},
	}
	v.addCandidate(Peer{Member: self})
	for _, p := range peers {
		v.byID[p.Member.ID] = p.Member
		v.addCandidate(p)
	}
	return v
}

// addCandidate adds a member to the candidates of its service if its backend server is ready.
func (v *View) addCandidate(p Peer) {
	m := p.Member
	if m.State > cicadaseam.MemberSuspect || m.Backend.State != cicadaseam.BackendReady {
		return
	}
	c := cicadaseam.Candidate{
		ID:         m.ID,
		Zone:       m.Locality.Zone,
		Region:     m.Locality.Region,
		ReadySince: p.ReadySince,
		Slots:      m.Backend.Slots,
	}
	v.candidates[m.Backend.Service] = append(v.candidates[m.Backend.Service], c)
}

// Candidates returns the live nodes with a ready backend server of a service, this node included.
func (v *View) Candidates(service string) []cicadaseam.Candidate {
	return v.candidates[service]
}

// Member returns the member with an id, this node included, and whether it is known.
func (v *View) Member(id string) (cicadaseam.Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Live returns the members of a zone that are alive or suspect, this node included, sorted by id.
// An empty zone stands for all zones.
func (v *View) Live(zone string) []cicadaseam.Member {
	var out []cicadaseam.Member
	for _, m := range v.byID {
		if m.State > cicadaseam.MemberSuspect {
			continue
		}
		if zone == "" || m.Locality.Zone == zone {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// RendezvousOrder returns the members in the order of their rendezvous hash for a key, the highest
// first.
func RendezvousOrder(key string, members []cicadaseam.Member) []cicadaseam.Member {
	out := append([]cicadaseam.Member(nil), members...)
	hashes := make(map[string]uint64, len(out))
	for _, m := range out {
		hashes[m.ID] = xxhash.Sum64String(key + "\x00" + m.ID)
	}
	sort.Slice(out, func(i, j int) bool { return hashes[out[i].ID] > hashes[out[j].ID] })
	return out
}

// RendezvousRank returns the position of an id in the rendezvous order for a key, or -1 if it is
// not among the members.
func RendezvousRank(key string, members []cicadaseam.Member, id string) int {
	for i, m := range RendezvousOrder(key, members) {
		if m.ID == id {
			return i
		}
	}
	return -1
}
