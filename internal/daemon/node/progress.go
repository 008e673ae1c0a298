package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/daemon/api"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/member/view"
)

// maxBehind bounds the names of nodes in one api.Progress.
const maxBehind = 10

// progress remembers how far each member was when it was last asked. A proxy
// never goes back to an older version, so that one that has reached a version
// need not be asked about it again, however often operators look.
type progress struct {
	mu      sync.Mutex
	reached map[string]cicadaseam.Offset // by member id
}

// note keeps the newest version that a member told of.
func (p *progress) note(id string, version cicadaseam.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reached == nil {
		p.reached = map[string]cicadaseam.Offset{}
	}
	p.reached[id] = max(p.reached[id], version)
}

func (p *progress) at(id string) cicadaseam.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached[id]
}

// keep forgets members that are gone.
func (p *progress) keep(members map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.reached {
		if !members[id] {
			delete(p.reached, id)
		}
	}
}

func (n *Node) getProgress(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		replyFailure(w, http.StatusBadRequest, "version: a whole number is needed")
		return
	}
	reply(w, n.progressOf(r.Context(), cicadaseam.Offset(version)))
}

// progressOf counts the nodes at a version or past it. It asks only those of
// which it does not know that yet.
func (n *Node) progressOf(ctx context.Context, version cicadaseam.Offset) api.Progress {
	v := n.gossip.View()
	n.progress.note(v.Self.ID, n.inForce())
	var ask []cicadaseam.Member
	for _, m := range v.Live("") {
		if n.progress.at(m.ID) < version {
			ask = append(ask, m)
		}
	}
	n.gather(ctx, ask, method.Status, func(id string, data []byte) {
		var s statusMessage
		if method.Decode(data, &s) == nil {
			n.progress.note(id, s.Version)
		}
	})
	return n.countProgress(version)
}

// countProgress counts all members but those that are dead or said goodbye.
func (n *Node) countProgress(version cicadaseam.Offset) api.Progress {
	out := api.Progress{At: time.Now(), Version: version}
	members := map[string]bool{}
	v := n.gossip.View()
	for _, s := range append([]view.Peer{{Member: v.Self}}, v.Peers...) {
		members[s.Member.ID] = true
		if s.Member.State > cicadaseam.MemberUnreachable {
			continue
		}
		out.Total++
		if n.progress.at(s.Member.ID) >= version {
			out.Reached++
		} else if len(out.Behind) < maxBehind {
			out.Behind = append(out.Behind, s.Member.Name)
		}
	}
	n.progress.keep(members)
	return out
}
