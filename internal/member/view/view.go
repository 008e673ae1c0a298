// Package view is the immutable picture of the fleet that calls use.
//
// # Model
//
// The gossip duty builds a View whenever membership changes and swaps it in.
// A call keeps the view it started with. Rank orders members by rendezvous
// hash: all nodes with the same view agree on who does a duty, and a node that
// disagrees for a while costs only doubled work.
//
// # Usage
//
//	v := gossip.View()
//	for _, c := range v.Candidates("status-portal") { ... }
//	if v.Rank("reader", zoneMembers, self) < 2 { ... }
package view

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadaseam/cicadaseam"
)

// Seen is a member and when this node last heard of it.
type Peer struct {
	Member    cicadaseam.Member `json:"member"`
	LastHeard time.Time         `json:"heard"`
	FirstSeen time.Time         `json:"firstSeen"`
}

// View is the fleet as one node sees it. It is immutable.
type View struct {
	Self  cicadaseam.Member
	Peers []Peer

	byID       map[string]cicadaseam.Member
	candidates map[string][]cicadaseam.Candidate
}

// New returns the view of a fleet. Members do not include self.
func New(self cicadaseam.Member, members []Peer) *View {
	v := &View{
		Self:       self,
		Peers:      members,
		byID:       map[string]cicadaseam.Member{self.ID: self},
		candidates: map[string][]cicadaseam.Candidate{},
	}
	v.add(Peer{Member: self})
	for _, s := range members {
		v.byID[s.Member.ID] = s.Member
		v.add(s)
	}
	return v
}

func (v *View) add(s Peer) {
	m := s.Member
	if m.State > cicadaseam.MemberSuspect || m.Backend.State != cicadaseam.BackendReady {
		return
	}
	c := cicadaseam.Candidate{
		ID:         m.ID,
		Zone:       m.Locality.Zone,
		Region:     m.Locality.Region,
		ReadySince: s.FirstSeen,
		Slots:      m.Backend.Slots,
	}
	v.candidates[m.Backend.Service] = append(v.candidates[m.Backend.Service], c)
}

// Candidates returns the nodes with a ready backend server of a service.
func (v *View) Candidates(service string) []cicadaseam.Candidate {
	return v.candidates[service]
}

// Member returns the member with an id.
func (v *View) Member(id string) (cicadaseam.Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Live returns the members that are alive or suspect, this node included, of
// one zone or of all when zone is empty.
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

// Order returns the members in order of their rendezvous hash for a key.
func RendezvousOrder(key string, members []cicadaseam.Member) []cicadaseam.Member {
	out := append([]cicadaseam.Member(nil), members...)
	score := make(map[string]uint64, len(out))
	for _, m := range out {
		score[m.ID] = xxhash.Sum64String(key + "\x00" + m.ID)
	}
	sort.Slice(out, func(i, j int) bool { return score[out[i].ID] > score[out[j].ID] })
	return out
}

// Rank returns the place of an id in the order for a key, or -1.
func RendezvousRank(key string, members []cicadaseam.Member, id string) int {
	for i, m := range RendezvousOrder(key, members) {
		if m.ID == id {
			return i
		}
	}
	return -1
}
