package quota

import "time"

// Failure says why an owner did not answer.
type Failure uint8

// Failures. Ended means that the address refuses connections.
const (
	Unanswered Failure = iota
	Ended
)

// Ask is a request to be sent to an owner.
type Ask struct {
	Addr    string
	Request Request
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
	at      time.Time
	account *account
	hops    int
}

// Step is what follows a request for a token: a decision, an ask whose result decides, or a
// decision and a report that is sent meanwhile.
type Step struct {
	Decision Decision
	Ask      *Ask
	Decided  bool
}

// Counts counts the decisions of a node since its start.
type Counts struct {
	Granted, OverQuota, NoOwner, NotRun int64
	// Spent counts the tokens from reserves, Asks and Reports the messages to owners, Unanswered the
	// asks without an answer, and Handovers the buckets handed over.
	Spent, Asks, Reports, Unanswered, Handovers int64
	// Accounts and Buckets are the present numbers, and Share the present share of the rates.
	Accounts, Buckets int
	Share             float64
}

// Node is the quota state of one node: its view, the buckets that it owns, and the accounts of the
// customers whose requests it receives. It reads no clock and is not safe for concurrent use.
type Node struct {
	config   Config
	id       uint32
	view     *View
	owner    *Owner
	accounts map[string]*account
	suspects map[string]time.Time // when the suspicion ends, by address
	probes   map[string]time.Time // next probe of the owners that another node takes for ended
	ages     ages
	// reportedAt is when reports were last due, and observedAt when the view was last brought up
	// to date.
	reportedAt time.Time
	observedAt time.Time
	counts     Counts
}

// NewNode returns the state of a node that has just started.
func NewNode(now time.Time, addr, node string, c Config, limits func(string) (Limit, bool)) *Node {
	v := NewView(now, addr, node)
	return &Node{
		config: c, id: nodeID(addr), view: v, owner: NewOwner(c, v, limits), observedAt: now,
		accounts: map[string]*account{}, suspects: map[string]time.Time{}, probes: map[string]time.Time{},
	}
}

// observe brings the view up to date. If the node has not run for the settle time, other nodes may
// own its customers by now, and its reserves may have been lent again.
func (n *Node) observe(now time.Time) {
	gap := max(now.Sub(n.observedAt), now.Round(0).Sub(n.observedAt.Round(0)))
	n.observedAt = now
	if gap >= n.view.settle && len(n.view.tenures) > 0 {
		n.view.reset(now)
		clear(n.owner.buckets)
		for _, a := range n.accounts {
			a.reserve = 0
		}
	}
	n.view.advance(now)
}

// Take counts a request of a customer and decides whether it may run, or whom to ask.
func (n *Node) Take(now time.Time, l Limit) Step {
	n.observe(now)
	a := n.account(now, l)
	a.use.add(now, n.config.Window, 1)
	return n.take(now, l, a, 0)
}

// maxHops bounds the owners that are asked for one token: an owner whose process has ended is
// followed by the next one.
const maxHops = 2

func (n *Node) take(now time.Time, l Limit, a *account, hops int) Step {
	addr := n.view.Owner(now, a.hash)
	switch {
	case !n.view.joined || addr == "":
		return Step{Decided: true, Decision: Decision{NotReady: true, RetryAfter: unknownRetryAfter}}
	case addr == n.view.addr:
		return Step{Decided: true, Decision: n.takeOwn(now, l, a)}
	case hops > maxHops:
		return Step{Decided: true, Decision: n.spend(now, a, unknownRetryAfter)}
	}
	timeout := askTimeout
	if a.held(now) == 0 {
		timeout = noReserveTimeout
	} else if n.suspects[addr].After(now) {
		step := Step{Decided: true, Decision: n.spend(now, a, unknownRetryAfter)}
		if !a.asking {
			step.Ask = n.report(now, addr, a)
		}
		return step
	}
	n.counts.Asks++
	return Step{Ask: &Ask{Addr: addr, Request: n.request(now, a, 1), Timeout: timeout, at: now, account: a, hops: hops}}
}

// takeOwn takes a token from the bucket of this node.
func (n *Node) takeOwn(now time.Time, l Limit, a *account) Decision {
	ask := Ask{Request: n.request(now, a, 1), at: now, account: a}
	answer := n.owner.Ask(now, &ask.Request)
	n.settleReport(&ask, answer)
	return n.decide(now, a, answer)
}

// request returns a request for tokens with a report of the account, which it clears.
func (n *Node) request(now time.Time, a *account, count int) Request {
	r := Request{
		Customer: a.limit.Name, From: n.id, Count: count, Use: a.use.add(now, n.config.Window, 0),
		Spent: a.spent, Held: a.held(now), Known: n.view.Known(now),
	}
	a.spent = 0
	if k := min(len(a.returned), maxReturned); k > 0 {
		r.Returned, a.returned = a.returned[:k:k], a.returned[k:]
	}
	return r
}

// report returns an ask without tokens, which renews the reserve.
func (n *Node) report(now time.Time, addr string, a *account) *Ask {
	a.asking = true
	n.counts.Reports++
	return &Ask{Addr: addr, Request: n.request(now, a, 0), Timeout: backgroundTimeout, at: now, account: a}
}

// Answered applies the answer to an ask and returns the decision on its request.
func (n *Node) Answered(now time.Time, ask *Ask, answer Answer) Decision {
	n.observe(now)
	a := ask.account
	delete(n.view.ended, ask.Addr)
	if now.Sub(ask.at) < askTimeout {
		delete(n.suspects, ask.Addr)
	}
	if a == nil { // a probe or a handover
		n.ages.answered(ask.Addr, answer.Age)
		return Decision{}
	}
	if ask.Request.Count == 0 {
		a.asking = false
	}
	n.settleReport(ask, answer)
	if ask.Request.Count == 0 {
		return Decision{}
	}
	return n.decide(now, a, answer)
}

// settleReport applies an answer to the account. Tokens spent since the ask reduce the reserve.
func (n *Node) settleReport(ask *Ask, answer Answer) {
	a := ask.account
	if answer.Status == NotOwner {
		a.restore(ask)
		return
	}
	a.reserve = max(answer.Reserve-a.spent, 0)
	a.reserveUntil = ask.at.Add(reserveTime)
}

// decide turns the answer of an owner into a decision.
func (n *Node) decide(now time.Time, a *account, answer Answer) Decision {
	switch answer.Status {
	case Granted:
		n.counts.Granted++
		a.granted++
		return Decision{OK: true, token: answer.Token}
	case Refused:
		n.counts.OverQuota++
		a.overQuota++
		return Decision{RetryAfter: time.Duration(answer.RetryAfterUS) * time.Microsecond}
	}
	retryAfter := time.Duration(answer.RetryAfterUS) * time.Microsecond
	if retryAfter == 0 {
		retryAfter = unknownRetryAfter
	}
	return n.spend(now, a, retryAfter)
}

// spend decides by the reserve of this node.
func (n *Node) spend(now time.Time, a *account, retryAfter time.Duration) Decision {
	if a.spend(now) {
		n.counts.Granted++
		n.counts.Spent++
		a.granted++
		return Decision{OK: true, reserve: true}
	}
	n.counts.NoOwner++
	a.noOwner++
	return Decision{RetryAfter: retryAfter}
}

// Failed applies the failure of an ask and returns what follows.
func (n *Node) Failed(now time.Time, ask *Ask, f Failure) Step {
	n.observe(now)
	if f == Ended {
		n.view.ended[ask.Addr] = now
	} else {
		delete(n.view.ended, ask.Addr)
		n.suspects[ask.Addr] = now.Add(suspectTime)
	}
	a := ask.account
	if a == nil {
		return Step{Decided: true}
	}
	if f == Ended {
		a.restore(ask)
	} else {
		a.spent += ask.Request.Spent
	}
	if ask.Request.Count == 0 {
		a.asking = false
		return Step{Decided: true}
	}
	n.counts.Unanswered++
	if f == Ended {
		return n.take(now, a.limit, a, ask.hops+1)
	}
	return Step{Decided: true, Decision: n.spend(now, a, unknownRetryAfter)}
}

// Serve serves the request of another node.
func (n *Node) Serve(now time.Time, r *Request) Answer {
	n.observe(now)
	n.view.claim(now, r.Known)
	a := n.owner.Ask(now, r)
	if r.Customer == "" {
		a.Age = n.view.ageFor(now, r.From, r.Known)
	}
	if a.Status == NotOwner && r.Customer != "" && len(n.view.tenures) > 0 {
		// The node that asks may know that the process of the owner has ended.
		if addr := n.view.Owner(now, customerHash(r.Customer)); addr != "" && addr != n.view.addr && n.probes[addr].IsZero() {
			n.probes[addr] = now
		}
	}
	return a
}

// Return returns the token of a request that did not run.
func (n *Node) Return(now time.Time, l Limit, d Decision) {
	n.observe(now)
	a := n.account(now, l)
	n.counts.NotRun++
	a.notRun++
	a.giveBack(d)
}

// account returns the account of a customer.
func (n *Node) account(now time.Time, l Limit) *account {
	a := n.accounts[l.Name]
	if a == nil {
		a = &account{hash: customerHash(l.Name)}
		if len(n.accounts) < maxCustomers { // further ones are not kept
			n.accounts[l.Name] = a
		}
	}
	a.limit, a.usedAt = l, now
	return a
}

// Update applies the membership and returns the asks that are due: handovers, reports and probes.
// Their results go to Answered or Failed.
func (n *Node) Update(now time.Time, m Membership) []*Ask {
	n.observe(now)
	n.view.Update(now, m)
	var out []*Ask
	for addr, levels := range n.owner.Expire(now) {
		for len(levels) > 0 {
			k := min(len(levels), maxHandover)
			n.counts.Handovers += int64(k)
			out = append(out, &Ask{Addr: addr, Request: Request{From: n.id, Known: n.view.Known(now), Handover: levels[:k], HandoverShare: int(1000 * n.view.share)}, Timeout: backgroundTimeout, at: now})
			levels = levels[k:]
		}
	}
	for addr, at := range n.suspects {
		if now.After(at) {
			delete(n.suspects, addr)
		}
	}
	out = n.appendProbes(now, out)
	if m.Active {
		out = n.appendAgeProbes(now, out)
	}
	if now.Sub(n.reportedAt) >= reportPeriod {
		n.reportedAt = now
		out = n.appendReports(now, out)
	}
	return out
}

// maxHandover bounds the buckets that one message hands over.
const maxHandover = 500

// appendProbes adds the connection attempts to nodes that are believed to have ended.
func (n *Node) appendProbes(now time.Time, out []*Ask) []*Ask {
	for addr := range n.view.ended {
		if n.view.peers[addr] != nil && n.probes[addr].IsZero() {
			n.probes[addr] = now
		}
	}
	for addr, at := range n.probes {
		if n.view.peers[addr] == nil || now.Sub(at) > probePeriod && !n.view.hasEnded(now, addr) {
			delete(n.probes, addr)
			continue
		}
		if !now.Before(at) {
			n.probes[addr] = now.Add(probePeriod)
			out = append(out, n.probe(now, addr))
		}
	}
	return out
}

// probe returns an ask without a customer.
func (n *Node) probe(now time.Time, addr string) *Ask {
	return &Ask{Addr: addr, Request: Request{From: n.id, Known: n.view.Known(now)}, Timeout: backgroundTimeout, at: now}
}

// appendReports adds the reports of returned and spent tokens, and evicts idle accounts.
func (n *Node) appendReports(now time.Time, out []*Ask) []*Ask {
	for name, a := range n.accounts {
		if now.Sub(a.usedAt) > idleTime {
			delete(n.accounts, name)
			continue
		}
		if a.asking || a.spent == 0 && len(a.returned) == 0 {
			continue
		}
		switch addr := n.view.Owner(now, a.hash); {
		case addr == n.view.addr:
			ask := Ask{Request: n.request(now, a, 0), at: now, account: a}
			n.settleReport(&ask, n.owner.Ask(now, &ask.Request))
		case addr != "":
			out = append(out, n.report(now, addr, a))
		}
	}
	return out
}
