package quota

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// maxListed bounds the customers that a Page lists.
const maxListed = 50

// Page is what one node knows of the customers with a quota.
type Page struct {
	Node string `json:"node"`
	// Window is the window of the quotas, in seconds.
	Window float64 `json:"window"`
	// KnownNodes is the number of nodes that count for the share, and Share the part of each rate
	// that this node may grant as an owner.
	KnownNodes int     `json:"known"`
	Share      float64 `json:"share"`
	// Customers lists those with the largest use in the last window, and Rest sums up the others.
	Customers []Usage `json:"customers"`
	Others    int     `json:"others"`
	Rest      Usage   `json:"rest"`
}

// Usage is the use of one customer by the requests that this node received; Owned has those of all
// nodes. The counts are lost when the customer makes no request here for idleTime.
type Usage struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	// Use is the number of requests in the last window.
	Use     int   `json:"use"`
	Granted int64 `json:"granted"`
	// OverQuota, NoOwner and NotRun count the requests that were refused because the quota was used
	// up, because neither the owner answered nor a reserve was left, and those whose token was
	// returned because they did not run.
	OverQuota int64 `json:"over"`
	NoOwner   int64 `json:"ownerless"`
	NotRun    int64 `json:"returned"`
	// Owner is the address of the owner. Owned is set if this node is the owner.
	Owner string `json:"owner,omitempty"`
	Owned *Owned `json:"owned,omitempty"`
}

// Owned is what the owner knows of a customer.
type Owned struct {
	// Use is the number of requests in the last window at all nodes.
	Use int `json:"use"`
	// Tokens is the level of the bucket, and Reserved the number of tokens in reserves.
	Tokens   float64 `json:"tokens"`
	Reserved int     `json:"reserved"`
}

// total returns the use by which customers are ordered.
func (u *Usage) total() int {
	if u.Owned != nil {
		return max(u.Use, u.Owned.Use)
	}
	return u.Use
}

func (u *Usage) add(x *Usage) {
	u.Rate += x.Rate
	u.Burst += x.Burst
	u.Use += x.Use
	u.Granted += x.Granted
	u.OverQuota += x.OverQuota
	u.NoOwner += x.NoOwner
	u.NotRun += x.NotRun
}

// Page returns the page of the node.
func (n *Node) Page(now time.Time) Page {
	p := Page{Node: n.view.addr, Window: n.config.Window.Seconds(), KnownNodes: n.view.Known(now), Share: n.view.share, Customers: []Usage{}}
	all := make([]Usage, 0, len(n.accounts))
	for name, a := range n.accounts {
		all = append(all, Usage{
			Customer: name, Rate: a.limit.Rate, Burst: a.limit.Burst, Use: a.use.add(now, n.config.Window, 0), Granted: a.granted,
			OverQuota: a.overQuota, NoOwner: a.noOwner, NotRun: a.notRun, Owner: n.view.Owner(now, a.hash), Owned: n.owned(now, name),
		})
	}
	for name, b := range n.owner.buckets {
		if n.accounts[name] == nil {
			all = append(all, Usage{Customer: name, Rate: b.limit.Rate, Burst: b.limit.Burst, Owner: n.view.addr, Owned: n.owned(now, name)})
		}
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Customer, b.Customer))
	})
	k := min(len(all), maxListed)
	p.Customers = append(p.Customers, all[:k]...)
	p.Others = len(all) - k
	for i := k; i < len(all); i++ {
		p.Rest.add(&all[i])
	}
	return p
}

// owned returns the state of a bucket of this node, or nil if it has none for the customer.
func (n *Node) owned(now time.Time, customer string) *Owned {
	b := n.owner.buckets[customer]
	if b == nil {
		return nil
	}
	return &Owned{Use: b.use.add(now, n.config.Window, 0), Tokens: b.level, Reserved: b.reserved}
}

// ServeHTTP serves the page as JSON.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	p := l.node.Page(l.now())
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p) // the client has gone
}
