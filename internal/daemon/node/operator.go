package node

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/config/change"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/daemon/api"
	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/report/burn"
)

const (
	// queryTimeout bounds a query of several members.
	queryTimeout = 2 * time.Second
	// maxParallelQueries bounds the number of requests in flight in such a query.
	maxParallelQueries = 64
)

// operatorHandler returns the HTTP API for operators.
func (n *Node) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/changes", n.postChange)
	m.HandleFunc("GET /v1/changes/{id}", n.getChange)
	m.HandleFunc("GET /v1/fleet", n.getFleet)
	m.HandleFunc("GET /v1/progress", n.getProgress)
	m.HandleFunc("GET /v1/tree", n.getTree)
	m.HandleFunc("GET /v1/config", n.getConfig)
	m.HandleFunc("GET /v1/burn", n.getBurn)
	m.HandleFunc("GET /v1/health", n.getHealth)
	m.Handle("GET /v1/metrics", n.metrics)
	return n.authorized(m)
}

// authorized passes on only requests that carry the operators' token, if one is set. The
// tokens are compared by their hashes in constant time.
func (n *Node) authorized(next http.Handler) http.Handler {
	if n.settings.Token == "" {
		return next
	}
	want := sha256.Sum256([]byte(n.settings.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			writeError(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) postChange(w http.ResponseWriter, r *http.Request) {
	var c cicadaseam.Change
	// The JSON form of a change is larger than its record, which change.MaxBytes bounds.
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*change.MaxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "change: "+err.Error())
		return
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	d, err := n.publisher.Publish(r.Context(), c)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, d)
}

func (n *Node) getChange(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	d, known := n.store.Decision(id)
	if !known {
		d = cicadaseam.Decision{ID: id, Verdict: cicadaseam.VerdictUnknown}
	}
	writeJSON(w, d)
}

func (n *Node) getTree(w http.ResponseWriter, _ *http.Request) {
	t, version := n.store.Tree()
	position, digest := n.store.Position()
	writeJSON(w, api.Tree{Version: version, Position: position, Digest: fmt.Sprintf("%016x", digest), Objects: t.Objects()})
}

func (n *Node) getConfig(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t, _ := n.store.Tree()
	target := tree.ScopeTarget{Deployment: q.Get("deployment"), Zone: q.Get("zone"), Service: q.Get("service"), Class: q.Get("class")}
	for kind, name := range map[string]string{tree.KindZone: target.Zone, tree.KindService: target.Service, tree.KindClass: target.Class} {
		if _, known := t.Objects()[kind+":"+name]; name != "" && !known {
			writeError(w, http.StatusNotFound, fmt.Sprintf("there is no %s %q", kind, name))
			return
		}
	}
	if target.Deployment == "" && target.Zone != "" {
		target.Deployment, _ = t.Get(tree.KindZone+":"+target.Zone, "deployment")
	}
	writeJSON(w, t.Explain(target))
}

func (n *Node) getHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		writeError(w, http.StatusServiceUnavailable, "not ready: no current configuration yet")
		return
	}
	writeJSON(w, map[string]string{"status": "ready"})
}

func (n *Node) getFleet(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	v := n.gossip.View()
	f := api.Fleet{At: now, Ready: n.ready(), LogAgeSeconds: float64(n.logAgeMillis()) / 1000}
	if h := n.store.Halted(); h != nil {
		f.Halted = h.Error()
	}
	position, _ := n.store.Position()
	_, version := n.store.Tree()
	f.Self = api.Member{Member: v.Self, Version: version, Position: position, Answered: true}
	statuses := n.queryStatuses(r.Context())
	for _, peer := range n.gossip.Peers() {
		m := api.Member{Member: peer.Member, LastHeardSeconds: max(now.Sub(peer.LastHeard), 0).Seconds()}
		if status, ok := statuses[peer.Member.ID]; ok {
			m.Version, m.Position, m.Answered = status.Version, status.Position, true
		}
		f.Members = append(f.Members, m)
	}
	writeJSON(w, f)
}

// statusMessage is the answer to method.Status: the position of the node in the
// configuration stream and its active version.
type statusMessage struct {
	Position cicadaseam.Offset `msgpack:"p"`
	Version  cicadaseam.Offset `msgpack:"v"`
}

func (n *Node) serveStatus() ([]byte, error) {
	position, _ := n.store.Position()
	return method.Encode(&statusMessage{Position: position, Version: n.activeVersion()})
}

// activeVersion returns the version by which this node answers calls, or 0 while it
// accepts none.
func (n *Node) activeVersion() cicadaseam.Offset {
	if !n.ready() {
		return 0
	}
	return n.store.Table().Version
}

// queryStatuses returns the status of each live peer that answered, by member ID.
func (n *Node) queryStatuses(ctx context.Context) map[string]statusMessage {
	out := map[string]statusMessage{}
	n.queryMembers(ctx, n.gossip.View().Live(""), method.Status, func(id string, data []byte) {
		var s statusMessage
		if method.Decode(data, &s) == nil {
			out[id] = s
		}
	})
	return out
}

// queryMembers sends a request to each of the members other than this node and calls
// onAnswer with each answer, one at a time. It returns the names of the members that did
// not answer within queryTimeout.
func (n *Node) queryMembers(ctx context.Context, members []cicadaseam.Member, m uint8, onAnswer func(id string, data []byte)) []string {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var missing []string
	semaphore := make(chan struct{}, maxParallelQueries)
	for _, member := range members {
		if member.ID == n.id {
			continue
		}
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			data, err := n.pool.Request(ctx, member.Addr, m, nil)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, member.Name)
				return
			}
			onAnswer(member.ID, data)
		}()
	}
	wg.Wait()
	return missing
}

func (n *Node) serveBurn() ([]byte, error) {
	counts := n.recorder.Counts(time.Now())
	return method.Encode(&counts)
}

// BurnReport queries the live members for their counts of good and bad calls and returns
// the report on the burn of the error budgets.
func (n *Node) BurnReport(ctx context.Context) burn.Report {
	now := time.Now()
	nodeCounts := [][]burn.Counts{n.recorder.Counts(now)}
	missing := n.queryMembers(ctx, n.gossip.View().Live(""), method.Burn, func(_ string, data []byte) {
		var counts []burn.Counts
		if method.Decode(data, &counts) == nil {
			nodeCounts = append(nodeCounts, counts)
		}
	})
	table := n.store.Table()
	report := burn.NewReport(now, burn.Merge(nodeCounts...), func(k burn.Key) burn.Objective {
		p := table.Policy(k.Service, k.Class)
		return burn.Objective{Share: p.Objective, Window: p.ObjectiveWindow}
	})
	report.Version = uint64(table.Version)
	report.Heard = len(nodeCounts)
	report.Missing = append(missing, n.unreachableNames()...)
	return report
}

// unreachableNames returns the names of the unreachable members, which are not queried.
func (n *Node) unreachableNames() []string {
	var out []string
	for _, peer := range n.gossip.View().Peers {
		if peer.Member.State == cicadaseam.MemberUnreachable {
			out = append(out, peer.Member.Name)
		}
	}
	return out
}

func (n *Node) getBurn(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, n.BurnReport(r.Context()))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.ErrorResponse{Message: message}) // the client may have disconnected
}
