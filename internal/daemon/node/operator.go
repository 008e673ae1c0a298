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
	// gatherTimeout bounds a question to the whole fleet.
	gatherTimeout = 2 * time.Second
	// gatherParallel bounds the questions in flight.
	gatherParallel = 64
)

// operatorHandler serves operators.
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

// authorized takes only requests with the operators' token, if there is one.
func (n *Node) authorized(next http.Handler) http.Handler {
	if n.settings.Token == "" {
		return next
	}
	want := sha256.Sum256([]byte(n.settings.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			replyFailure(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) postChange(w http.ResponseWriter, r *http.Request) {
	var c cicadaseam.Change
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*change.MaxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		replyFailure(w, http.StatusBadRequest, "change: "+err.Error())
		return
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	d, err := n.publisher.Publish(r.Context(), c)
	if err != nil {
		replyFailure(w, http.StatusBadRequest, err.Error())
		return
	}
	reply(w, d)
}

func (n *Node) getChange(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	d, known := n.store.Decision(id)
	if !known {
		d = cicadaseam.Decision{ID: id, Verdict: cicadaseam.VerdictUnknown}
	}
	reply(w, d)
}

func (n *Node) getTree(w http.ResponseWriter, _ *http.Request) {
	t, version := n.store.Tree()
	position, digest := n.store.Position()
	reply(w, api.Tree{Version: version, Position: position, Digest: fmt.Sprintf("%016x", digest), Objects: t.Objects()})
}

func (n *Node) getConfig(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t, _ := n.store.Tree()
	target := tree.ScopeTarget{Deployment: q.Get("deployment"), Zone: q.Get("zone"), Service: q.Get("service"), Class: q.Get("class")}
	for kind, name := range map[string]string{tree.KindZone: target.Zone, tree.KindService: target.Service, tree.KindClass: target.Class} {
		if _, known := t.Objects()[kind+":"+name]; name != "" && !known {
			replyFailure(w, http.StatusNotFound, fmt.Sprintf("there is no %s %q", kind, name))
			return
		}
	}
	if target.Deployment == "" && target.Zone != "" {
		target.Deployment, _ = t.Get(tree.KindZone+":"+target.Zone, "deployment")
	}
	reply(w, t.Explain(target))
}

func (n *Node) getHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		replyFailure(w, http.StatusServiceUnavailable, "not ready: no current configuration yet")
		return
	}
	reply(w, map[string]string{"status": "ready"})
}

func (n *Node) getFleet(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	v := n.gossip.View()
	f := api.Fleet{At: now, Ready: n.ready(), LogAgeSeconds: n.feed.Status().Age.Seconds()}
	if h := n.store.Halted(); h != nil {
		f.Halted = h.Error()
	}
	position, _ := n.store.Position()
	_, version := n.store.Tree()
	f.Self = api.Member{Member: v.Self, Version: version, Position: position, Answered: true}
	statuses := n.gatherStatus(r.Context())
	for _, s := range n.gossip.Peers() {
		m := api.Member{Member: s.Member, LastHeardSeconds: max(now.Sub(s.LastHeard), 0).Seconds()}
		if st, ok := statuses[s.Member.ID]; ok {
			m.Version, m.Position, m.Answered = st.Version, st.Position, true
		}
		f.Members = append(f.Members, m)
	}
	reply(w, f)
}

// statusMessage tells how far a node is.
type statusMessage struct {
	Position cicadaseam.Offset `msgpack:"p"`
	Version  cicadaseam.Offset `msgpack:"v"`
}

func (n *Node) serveStatus() ([]byte, error) {
	position, _ := n.store.Position()
	return method.Encode(&statusMessage{Position: position, Version: n.inForce()})
}

// inForce returns the version with which this node takes calls, or 0 while it takes
// none: a version is in force where calls are answered by it.
func (n *Node) inForce() cicadaseam.Offset {
	if !n.ready() {
		return 0
	}
	return n.store.Table().Version
}

func (n *Node) gatherStatus(ctx context.Context) map[string]statusMessage {
	out := map[string]statusMessage{}
	n.gather(ctx, n.gossip.View().Live(""), method.Status, func(id string, data []byte) {
		var s statusMessage
		if method.Decode(data, &s) == nil {
			out[id] = s
		}
	})
	return out
}

// gather asks other members within a bounded time and hands the answers to
// take, one at a time. It returns the names of those that did not answer.
func (n *Node) gather(ctx context.Context, members []cicadaseam.Member, m uint8, take func(id string, data []byte)) []string {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var missing []string
	slots := make(chan struct{}, gatherParallel)
	for _, member := range members {
		if member.ID == n.id {
			continue
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			data, err := n.pool.Request(ctx, member.Addr, m, nil)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, member.Name)
				return
			}
			take(member.ID, data)
		}()
	}
	wg.Wait()
	return missing
}

func (n *Node) serveBurn() ([]byte, error) {
	counts := n.recorder.Counts(time.Now())
	return method.Encode(&counts)
}

// Burn gathers the report on service-level burn from the fleet.
func (n *Node) Burn(ctx context.Context) burn.Report {
	now := time.Now()
	lists := [][]burn.Counts{n.recorder.Counts(now)}
	missing := n.gather(ctx, n.gossip.View().Live(""), method.Burn, func(_ string, data []byte) {
		var counts []burn.Counts
		if method.Decode(data, &counts) == nil {
			lists = append(lists, counts)
		}
	})
	table := n.store.Table()
	report := burn.NewReport(now, burn.Merge(lists...), func(k burn.Key) burn.Objective {
		p := table.Policy(k.Service, k.Class)
		return burn.Objective{Share: p.Objective, Window: p.ObjectiveWindow}
	})
	report.Version = uint64(table.Version)
	report.Heard = len(lists)
	report.Missing = append(missing, n.unreachable()...)
	return report
}

// unreachable names the members that are not asked, because they are silent.
func (n *Node) unreachable() []string {
	var out []string
	for _, s := range n.gossip.View().Peers {
		if s.Member.State == cicadaseam.MemberUnreachable {
			out = append(out, s.Member.Name)
		}
	}
	return out
}

func (n *Node) getBurn(w http.ResponseWriter, r *http.Request) {
	reply(w, n.Burn(r.Context()))
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may be gone
}

func replyFailure(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.ErrorResponse{Message: message}) // the client may be gone
}
