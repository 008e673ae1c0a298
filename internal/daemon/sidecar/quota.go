package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadaseam/cicadaseam/internal/link/method"
	"github.com/cicadaseam/cicadaseam/internal/link/mux"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
)

// CustomersPath is the path of the quota.Page at the metrics address.
const CustomersPath = "/customers"

const (
	// quotaTick is how often the limiter gets the membership of the fleet.
	quotaTick = 100 * time.Millisecond
	// knownTicks is the number of ticks after which the membership lists the silent nodes again.
	knownTicks = 10
	// settlePeriods is the number of heartbeat periods within which all nodes notice a change: a
	// node is silent after three of them.
	settlePeriods = 3
	// minSettle is the least settle time. A process that does not run for the settle time gives up
	// the buckets that it owns, and a busy machine delays processes by some 0.1 s.
	minSettle = time.Second
)

func newQuota(n *Node) *quota.Limiter {
	s := &n.settings
	return quota.New(s.peerAddr(), s.Name, n.quotaLimit, n.sendToken,
		quota.WithConfig(quota.Config{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack}), quota.WithLogger(n.logger))
}

// quotaLimit returns the quota of a customer by the revision in force.
func (n *Node) quotaLimit(customer string) (quota.Limit, bool) {
	t := n.syncer.Table()
	if t == nil {
		return quota.Limit{}, false
	}
	c := t.CustomerNamed(customer)
	if c == nil {
		return quota.Limit{}, false
	}
	return quota.LimitOf(c), true
}

// sendToken sends a request for tokens to another node.
func (n *Node) sendToken(ctx context.Context, addr string, r *quota.Request) (answer quota.Answer, ended bool, err error) {
	payload, err := method.Encode(r)
	if err != nil {
		return answer, false, err
	}
	data, err := n.pool.Request(ctx, addr, method.Token, payload)
	if err != nil {
		var linkErr *mux.LinkError
		ended = errors.As(err, &linkErr) && !linkErr.Sent && strings.HasSuffix(linkErr.Reason, syscall.ECONNREFUSED.Error())
		return answer, ended, err
	}
	return answer, false, method.Decode(data, &answer)
}

// serveToken serves the request of another node for tokens.
func (n *Node) serveToken(payload []byte) ([]byte, error) {
	var r quota.Request
	if err := method.Decode(payload, &r); err != nil {
		return nil, err
	}
	answer := n.quota.Serve(&r)
	return method.Encode(&answer)
}

// runQuota keeps the quotas up to date until the context ends.
func (n *Node) runQuota(ctx context.Context) {
	tick := n.timers.Subscribe(quotaTick)
	defer tick.Stop()
	rounds := 0
	n.quota.Run(ctx, tick.C, func(time.Time) quota.Membership {
		peers := n.fleet.Peers()
		m := quota.Membership{
			Peers: make([]quota.Peer, len(peers)), Joined: n.joined.Load(), Leaving: n.leaving.Load(), Settle: max(settlePeriods*n.fleet.Period(), minSettle),
		}
		if t := n.syncer.Table(); t != nil {
			m.Active = t.IsKeyed()
		}
		for i, p := range peers {
			hb := &p.Heartbeat
			m.Peers[i] = quota.Peer{Node: hb.Node, Addr: hb.Addr, Epoch: hb.Epoch, Leaving: hb.Leaving}
		}
		if rounds%knownTicks == 0 {
			m.Addrs = n.fleet.KnownAddrs()
		}
		rounds++
		return m
	})
}

// withCustomersPage adds the page on customers to the handler of the metrics address.
func (n *Node) withCustomersPage(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(CustomersPath, n.quota)
	mux.Handle("/", metrics)
	return mux
}

// quotaMetrics returns the metrics of all quotas together, one per line.
func (n *Node) quotaMetrics() []string {
	c := n.quota.Counts()
	return []string{
		fmt.Sprintf("quota-granted %d", c.Granted),
		fmt.Sprintf("quota-refused-over %d", c.OverQuota),
		fmt.Sprintf("quota-refused-no-owner %d", c.NoOwner),
		fmt.Sprintf("quota-returned %d", c.NotRun),
		fmt.Sprintf("quota-spent-reserve %d", c.Spent),
		fmt.Sprintf("quota-asks %d", c.Asks),
		fmt.Sprintf("quota-reports %d", c.Reports),
		fmt.Sprintf("quota-unanswered %d", c.Unanswered),
		fmt.Sprintf("quota-handovers %d", c.Handovers),
		fmt.Sprintf("quota-accounts %d", c.Accounts),
		fmt.Sprintf("quota-buckets %d", c.Buckets),
		fmt.Sprintf("quota-share-permille %d", int(1000*c.Share)),
	}
}
