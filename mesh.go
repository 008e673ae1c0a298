package cicadaseam

import (
	"context"
	"crypto/sha256"
	"time"
)

// Position names one record of a store. A store that comes back from an older copy begins a new
// epoch, in which it gives out offsets again.
type Position struct {
	// Epoch is 0 if the store names none.
	Epoch  uint64
	Offset Offset
}

// After reports whether p was written after o.
func (p Position) After(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch > o.Epoch
	}
	return p.Offset > o.Offset
}

// RevisionID identifies a revision. After a store came back from an older copy, its operators
// may write another revision under the same number.
type RevisionID struct {
	Number uint64
	// Written is the position of the record that holds the revision.
	Written Position
}

// After reports whether x replaces o.
func (x RevisionID) After(o RevisionID) bool {
	if x.Number != o.Number {
		return x.Number > o.Number
	}
	return x.Written.After(o.Written)
}

// Revision is a complete, numbered version of the routing configuration. It is immutable
// once it is applied.
type Revision struct {
	RevisionID
	Routes []MeshRoute
	Limits Limits
	// Customers are those whose keys are accepted.
	Customers []Customer
	// Keyed is set if callers need the key of a customer, also while there is no customer. Without it
	// there are no customers.
	Keyed bool `msgpack:"-"`
}

// KeyHash is the SHA-256 of an API key. Keys themselves are never kept.
type KeyHash [sha256.Size]byte

// Customer is an organisation whose callers are known by their API keys.
type Customer struct {
	Name      string
	KeyHashes []KeyHash
	// Priority replaces that of the route, unless it is nil.
	Priority *int
	// Rate is the number of requests a second that all nodes together accept, and Burst how many
	// more may come at once. A Rate of 0 sets no limit.
	Rate  float64
	Burst float64
}

// MeshRoute matches requests by host and path prefix and says how they are handled.
type MeshRoute struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent is set if the requests may run more than once.
	Idempotent bool
	// Public is set if callers need no key.
	Public bool
	// Timeout bounds the time until the caller gets an answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer counts as on time.
	LatencyObjective time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers to which one request may be sent.
	MaxAttempts int
	// TrafficSplit lists the services that run the requests, each with its weight.
	TrafficSplit []WeightedService
}

// WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time in which a caller sends the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection may stay idle.
	IdleTimeout time.Duration
}

// Document is an encoded revision as a source returned it.
type Document struct {
	Data []byte
	// Written is the position of the record that holds Data.
	Written Position
	// Next is the position from which to poll for later documents. Its epoch is that of the
	// response.
	Next Position
	// Complete is set by a poll if Next was the end of the source when it responded.
	Complete bool
	// TransferSize is the size in bytes of the response that held the document, and
	// TransferTime the time from its first byte to its last.
	TransferSize int
	TransferTime time.Duration
	// Orders are the rollout orders in the same response. They may come without Data.
	Orders []RolloutOrder
	// Rejected are the errors of rollout orders that cannot be read.
	Rejected []error
}

// RevisionSource supplies complete revisions. It retains the newest one indefinitely.
// Implementations are safe for concurrent use.
type RevisionSource interface {
	// Newest returns the newest document. Its Data is nil if there is none yet.
	Newest(ctx context.Context) (Document, error)
	// LongPoll waits up to wait for a document at from or later. Its Data is nil if none came.
	// LongPoll returns a *TrimmedError if the source does not have the records at from; the
	// caller then gets the current document from Newest. If the epoch of the result is another
	// one than that of from, documents may have been missed.
	LongPoll(ctx context.Context, from Position, wait time.Duration) (Document, error)
	// Decode returns the revision in a document, or an error that says what is invalid.
	Decode(d Document) (*Revision, error)
}

// DirectoryEntry is one record of a Directory.
type DirectoryEntry struct {
	Key   string
	Value []byte
}

// Directory retains the newest value of each key indefinitely. Nodes discover each other
// through it. Implementations are safe for concurrent use.
type Directory interface {
	// Put writes entries, all or none. It returns the epoch of the store in which they were
	// acknowledged, 0 if that is not known.
	Put(ctx context.Context, entries ...DirectoryEntry) (epoch uint64, err error)
	List(ctx context.Context) ([]DirectoryEntry, error)
}

// Instance is one run of a backend server, from its start to its end, as the backend server
// announces it.
type Instance struct {
	ID      string
	Service string
	Addr    string
	// Version is that of the software of the backend server, or empty if it is not known.
	Version string
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	State BackendState
	// WarmUp is how much longer the backend server stays slow after its start, counted from
	// the announcement.
	WarmUp time.Duration
	// Sequence increases with each announcement of the same instance.
	Sequence int64
	// StartUnixMilli is the start time in milliseconds since the Unix epoch, or 0 if it is
	// not known.
	StartUnixMilli int64
}

// Newer reports whether x was announced after o, for two announcements of one backend server.
func (x *Instance) Newer(o *Instance) bool {
	if x.StartUnixMilli != o.StartUnixMilli {
		return x.StartUnixMilli > o.StartUnixMilli
	}
	return x.Sequence > o.Sequence
}

// Departure says that an instance is about to exit or has done so. It gets no new request. A
// later start under the same ID is another instance.
type Departure struct {
	ID string
	// StartUnixMilli is the start time of the instance, or 0 if it is not known.
	StartUnixMilli int64
}

// MeshHeaders holds the names of the header fields that callers, nodes and backend servers
// use. Each deployment defines its own names.
type MeshHeaders struct {
	// RequestID identifies one request of a caller; backend servers echo it.
	RequestID string
	// Timeout is how long the caller waits, in milliseconds.
	Timeout string
	// ExpectedInstance is the id of the only instance that may run the request.
	ExpectedInstance string
	// CallerService is the service whose machine the request comes from.
	CallerService string
	// Seal is set by backend servers on their answers. A 2xx answer without it is not taken for
	// the answer of a backend server.
	Seal string
	// Rejected is set by a backend server on the answer to a request that it did not run.
	Rejected string
	// RateLimit is set by a backend server that takes no more than a number of requests a
	// second, which is a decimal number. The limit ends with the first answer without it.
	RateLimit string
	// Leaving is set to 1 by a backend server that is about to exit. It gets no new request.
	Leaving string
	// Customer is the name of the customer whose key the caller sent. Nodes set it.
	Customer string
}

// DefaultMeshHeaders returns the names for deployments that define none.
func DefaultMeshHeaders() MeshHeaders {
	return MeshHeaders{
		RequestID:        "Cicadaseam-Request-Id",
		Timeout:          "Cicadaseam-Timeout-Ms",
		ExpectedInstance: "Cicadaseam-Expected-Server",
		CallerService:    "Cicadaseam-Caller",
		Seal:             "Cicadaseam-Seal",
		Rejected:         "Cicadaseam-Rejected",
		RateLimit:        "Cicadaseam-Rate-Limit",
		Leaving:          "Cicadaseam-Leaving",
		Customer:         "Cicadaseam-Customer",
	}
}

// MeshCall is a request as it is passed from the node that received it to its target, the node
// whose backend server is to run it.
type MeshCall struct {
	ID     string
	Method string
	Host   string
	// RequestURI is the path and query of the request line.
	RequestURI string
	Headers    []Header
	Body       []byte
	// Service is the service that is to run the request. A target with a backend server of
	// another service refuses it.
	Service string
	Route   string
	// Customer is the name of the caller's customer, or empty if there is none.
	Customer string
	// Timeout is the time left until the caller's deadline, after which an answer is useless.
	Timeout time.Duration
	// MaxWait bounds the time for which the request may wait for a slot.
	MaxWait time.Duration
	// LatencyBudget is the time left until the answer misses the latency objective.
	LatencyBudget time.Duration
	// LatencyObjective is that of the route. Targets measure their latency relative to it.
	LatencyObjective time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Nested is set on a request that a backend server makes for a request that it runs.
	Nested bool
	// Late is set if the request can no longer be answered on time.
	Late bool
	// CallerRetry is set if the caller repeats a request that was refused before.
	CallerRetry bool
	Idempotent  bool
	// Fingerprint is a hash of the request, by which requests that crash backend servers are
	// recognized.
	Fingerprint uint64
	// SenderID identifies the process that sent the call. SentAt is the reading of its
	// monotonic clock at which the durations above were computed. Both are 0 in a call that
	// stays in its node.
	SenderID uint64
	SentAt   time.Duration
	// Retry is set if an earlier attempt of the request may have reached a backend server.
	// The calls that the backend server makes for such a run count as retries too.
	Retry bool
}

// MeshAnswer is the result of a MeshCall. Body is complete.
type MeshAnswer struct {
	Outcome Outcome
	Status  int
	Headers []Header
	Body    []byte
	Reason  Reason
	// ReachedBackend is set if the request reached the backend server, even if the backend
	// server rejected it.
	ReachedBackend bool
	// RetryAfter is set on a refusal: the time after which the target expects to have a free
	// slot.
	RetryAfter time.Duration
	// QueueTime is the time that the request waited for a slot, and BackendTime the time that
	// it took at the backend server.
	QueueTime   time.Duration
	BackendTime time.Duration
	Load        MeshLoad
	// CallRefused is set if a call that the backend server made for the run was refused for
	// lack of retry budget. A retry of the run would need more of that budget.
	CallRefused bool
}

// ReplyBudget accounts for the memory of replies that are not written yet to a caller or another node.
type ReplyBudget interface {
	Hold(bytes int64)
	Release(bytes int64)
}

// MeshLoad is the load that a target reports.
type MeshLoad struct {
	// InFlight is the number of requests at the backend server plus that of the free slots that
	// are reserved for nested requests.
	InFlight int
	Queued   int // requests that wait for a slot
	Slots    int // concurrency limit
	// LatencyPermille is the mean time that a request takes at the backend server, in
	// thousandths of the latency objective.
	LatencyPermille int
	// FailurePermille is the share of recent requests that failed, in thousandths.
	FailurePermille int
	// RateLimit is nil if the backend server does not limit its request rate.
	RateLimit *MeshRateLimit
}

// MeshRateLimit is the state of the rate limit of a backend server.
type MeshRateLimit struct {
	Interval time.Duration // between two requests
	Wait     time.Duration // of a new request until the limit lets it start
}

// RolloutOrder asks to move the requests for a service to the backend servers of one version.
type RolloutOrder struct {
	Service string
	// Version is that of the backend servers which are to take over.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Abort is set if the operator wants the rollout to be rolled back.
	Abort bool
	// Written is the position of the record that holds the order.
	Written Position
}

// RolloutState is the progress of a rollout.
type RolloutState uint8

// States of a rollout. The last two are final.
const (
	RolloutRunning RolloutState = iota
	RolloutComplete
	RolloutRolledBack
)
