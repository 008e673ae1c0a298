// Package quota bounds the requests of each customer over all nodes together.
//
// # Model
//
// A customer has one owner: the live node with the highest rendezvous hash. It holds the token
// bucket of the customer. The node that receives a request asks the owner for a token, or takes it
// from its own bucket if it is the owner. The request waits for askTimeout at most.
//
// A bucket is refilled at the rate of the customer times the share of the known nodes that this
// node reaches, so that disjoint groups of nodes grant no more than the rate together. A node that
// becomes the owner waits for the settle time before it refills, because the previous owner may
// take that long to notice. It need not wait where the previous owner handed its bucket over, or
// where its address refuses connections, so that its process is known to have ended.
//
// With its answers, the owner lends each asking node a few tokens, the reserve, which the node may
// spend while the owner does not answer. The node reports spent tokens with its next request, and
// the owner deducts them from the bucket. The reserves of a customer are together a part of the
// allowed excess, and each one expires.
//
// # Invariants
//
// In every window, the granted tokens of a customer are at most (rate * window + burst) *
// (1 + overshoot) + slack, summed over all nodes. docs/design/quotas.md has the sum of its parts and
// the cases in which it does not hold.
//
// # Usage
//
//	limiter := quota.New(addr, node, limits, send, quota.WithConfig(config))
//	go limiter.Run(ctx, ticks, membership)
//	decision := limiter.Acquire(ctx, customer)
//	limiter.Return(customer, decision)
package quota

import (
	"math"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Config says how strictly quotas bind.
type Config struct {
	// Window is the length of each interval in which granted tokens are bounded.
	Window time.Duration
	// Overshoot is the allowed excess relative to rate * Window + burst, and Slack the number of
	// tokens by which it may be exceeded in addition.
	Overshoot float64
	Slack     float64
}

// DefaultConfig is the configuration of a deployment that defines none.
var DefaultConfig = Config{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

const (
	// askTimeout bounds how long a request waits for the answer of an owner, and noReserveTimeout
	// does so if this node has no reserve.
	askTimeout       = 100 * time.Millisecond
	noReserveTimeout = 250 * time.Millisecond
	// suspectTime is how long requests do not wait for an owner that did not answer in time.
	suspectTime = time.Second
	// backgroundTimeout bounds the wait for the answer to a report, handover or probe, for which
	// no request waits.
	backgroundTimeout = time.Second
	// graceShare is the part of Slack by which the capacity of a bucket exceeds the burst. Random
	// arrivals at half of a low rate would be refused without it.
	graceShare = 0.25
	// reserveShare is the part of the allowed excess that the reserves of all nodes hold, and
	// initialShare that with which the bucket of a new owner starts. Up to three groups of nodes
	// may have a new owner at once: 0.6 + 3 * 0.13 is below 1.
	reserveShare = 0.6
	initialShare = 0.13
	// reserveTime is how long a reserve may be spent, and reserveMargin how much longer its owner
	// counts it.
	reserveTime   = 15 * time.Second
	reserveMargin = time.Second
	// outageTime is the time without an owner for which reserves are meant: the time until its
	// silence is noticed and the next owner has settled.
	outageTime = 3500 * time.Millisecond
	// idleTime is the time after which the state of a customer without requests is evicted.
	idleTime = time.Minute
	// maxCustomers bounds the customers with state, as owner and as entry each.
	maxCustomers = 16384
	// silentTime is how long a silent node that did not announce its departure counts as known.
	silentTime = time.Hour
	// claimTime is how long the number of nodes that another node knows is taken into account.
	claimTime = 10 * time.Second
	// unknownRetryAfter is the Retry-After while neither an owner nor a reserve is available.
	unknownRetryAfter = 500 * time.Millisecond
	// reportPeriod is the time between two reports of returned and spent tokens, unless a request
	// to the owner carries them earlier.
	reportPeriod = time.Second
	// probePeriod is the time between two connection attempts to a node whose process has ended.
	probePeriod = 200 * time.Millisecond
	// endedTime is how long a refused connection proves that a process has ended.
	endedTime = 2*probePeriod + askTimeout
)

// Limit is the quota of one customer.
type Limit struct {
	Name  string
	Rate  float64 // tokens a second
	Burst float64
}

// LimitOf returns the quota of a customer.
func LimitOf(c *cicadaseam.Customer) Limit { return Limit{c.Name, c.Rate, max(c.Burst, 1)} }

// capacity returns the capacity of a bucket.
func (c Config) capacity(l Limit) float64 { return l.Burst + graceShare*c.Slack }

// excess returns how many tokens more than the bucket of a single owner may be granted in a window,
// less those that may be in transit at its start.
func (c Config) excess(l Limit) float64 {
	return max(c.Overshoot*(l.Rate*c.Window.Seconds()+l.Burst)+(1-graceShare)*c.Slack-l.Rate*noReserveTimeout.Seconds(), 0)
}

// reserves returns the number of tokens that all reserves of a customer hold together.
func (c Config) reserves(l Limit) int { return int(reserveShare * c.excess(l)) }

// initial returns the level at which the bucket of a new owner starts.
func (c Config) initial(l Limit) float64 { return min(initialShare*c.excess(l), l.Burst) }

// Status says how an owner decided.
type Status uint8

// Decisions of owners. NotOwner means that the asked node does not take itself for the owner, or
// has not settled yet.
const (
	NotOwner Status = iota
	Granted
	Refused
)

// Request asks an owner for tokens of a customer. Encoded with the name of a customer of 6
// letters, it takes about 20 bytes.
type Request struct {
	Customer string
	// From identifies the node that asks.
	From uint32
	// Count is the number of tokens, 0 for a report.
	Count int
	// Use is the number of requests of the customer in the last window at the node that asks.
	Use int
	// Spent is the number of tokens spent from the reserve that have not been reported yet, and
	// Held the number left in it.
	Spent int
	Held  int
	// Returned holds the numbers of the tokens whose requests did not run.
	Returned []uint32
	// Known is the number of nodes that the node that asks knows.
	Known int
	// Handover is set by an owner that is succeeded by the receiver, and HandoverShare is its share
	// of the rate in thousandths.
	Handover      []Level
	HandoverShare int
}

// Level is the state of a bucket that is handed over.
type Level struct {
	Customer    string
	MilliTokens int64
}

// Answer is the reply to a Request.
type Answer struct {
	Status Status
	// RetryAfterUS is the time until a token is available, in microseconds.
	RetryAfterUS int64
	// Token is the number of the granted token.
	Token uint32
	// Reserve is the new number of tokens in the reserve of the node that asked.
	Reserve int
	// Age says whether the process may have granted tokens before.
	Age Age
}

// Age says whether a process has been running for long enough to have granted tokens as an owner.
type Age uint8

// Ages. AgeUnknown is the answer to a node that the asked node does not know yet.
const (
	AgeUnknown Age = iota
	AgeNew
	AgeSettled
)

// Decision says whether a request may run.
type Decision struct {
	OK bool
	// RetryAfter is the time until a token is available.
	RetryAfter time.Duration
	// NotReady is set if the node has not joined the fleet yet and therefore cannot decide.
	NotReady bool
	// token is the number of the token, and reserve is set if it was taken from the reserve.
	token   uint32
	reserve bool
}

func retryAfterIn(seconds float64) time.Duration {
	return time.Duration(math.Ceil(min(seconds, math.MaxInt32)*1e6)) * time.Microsecond
}
