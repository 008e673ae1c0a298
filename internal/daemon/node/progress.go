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

// maxBehindNames bounds the number of names in api.Progress.Behind.
const maxBehindNames = 10

// progressTracker caches the highest version that each member has reported. A node never
// goes back to an older version, so that a member that has reached a version need not be
// queried about it again, however often operators ask.
type progressTracker struct {
	mu       sync.Mutex
	versions map[string]cicadaseam.Offset // by member ID
}

// record stores a version that a member reported, unless it has reported a higher one.
func (p *progressTracker) record(id string, version cicadaseam.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.versions == nil {
		p.versions = map[string]cicadaseam.Offset{}
	}
	p.versions[id] = max(p.versions[id], version)
}

// versionOf returns the recorded version of a member, or 0 if there is none.
func (p *progressTracker) versionOf(id string) cicadaseam.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions[id]
}

// retain forgets all members other than the given ones.
func (p *progressTracker) retain(members map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.versions {
		if !members[id] {
			delete(p.versions, id)
		}
	}
}

func (n *Node) getProgress(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "version: a whole number is needed")
		return
	}
	writeJSON(w, n.measureProgress(r.Context(), cicadaseam.Offset(version)))
}

// measureProgress counts the nodes that have reached a version. It queries only those that
// are not known to have reached it.
func (n *Node) measureProgress(ctx context.Context, version cicadaseam.Offset) api.Progress {
	v := n.gossip.View()
	n.progress.record(v.Self.ID, n.activeVersion())
	var unconfirmed []cicadaseam.Member
	for _, m := range v.Live("") {
		if n.progress.versionOf(m.ID) < version {
			unconfirmed = append(unconfirmed, m)
		}
	}
	n.queryMembers(ctx, unconfirmed, method.Status, func(id string, data []byte) {
		var s statusMessage
		if method.Decode(data, &s) == nil {
			n.progress.record(id, s.Version)
		}
	})
	return n.countProgress(version)
}

// countProgress counts the members that have reached a version by the recorded versions.
// Dead members and those that left are not counted.
func (n *Node) countProgress(version cicadaseam.Offset) api.Progress {
	out := api.Progress{At: time.Now(), Version: version}
	members := map[string]bool{}
	v := n.gossip.View()
	for _, peer := range append([]view.Peer{{Member: v.Self}}, v.Peers...) {
		members[peer.Member.ID] = true
		if peer.Member.State > cicadaseam.MemberUnreachable {
			continue
		}
		out.Total++
		if n.progress.versionOf(peer.Member.ID) >= version {
			out.Reached++
		} else if len(out.Behind) < maxBehindNames {
			out.Behind = append(out.Behind, peer.Member.Name)
		}
	}
	n.progress.retain(members)
	return out
}
