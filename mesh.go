package cicadaseam

import (
	"context"
	"time"
)

// Revision is one whole, numbered version of the routing configuration. It is
// immutable once it is applied.
type Revision struct {
	Number uint64
	Routes []MeshRoute
	Limits Limits
}

// MeshRoute selects requests by host and path prefix and says how they are
// treated.
type MeshRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time.
	LatencyObjective time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxTargets bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Shares are the services that run the requests, and their proportions.
	TrafficSplit []WeightedService
}

// Share is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is the encoded form of a revision and the position after it in the
// source, from which later ones are awaited.
type Document struct {
	Data       []byte
	NextOffset Offset
	// Bytes is the size of the answer in which the document came, and Took the time
	// from its first byte to its last.
	TransferSize int
	TransferTime time.Duration
}

// RevisionSource is where whole revisions come from. The source keeps the newest
// one for good. Implementations are safe for concurrent use.
type RevisionSource interface {
	// Newest returns the newest document. Data is nil when there is none yet.
	Newest(ctx context.Context) (Document, error)
	// After waits up to wait for a document at position from or later. Data is nil
	// when none came. It returns a *TrimmedError when positions were lost, after
	// which Newest tells what holds.
	LongPoll(ctx context.Context, from Offset, wait time.Duration) (Document, error)
	// Decode returns the revision in a document, or an error that names its fault.
	Decode(data []byte) (*Revision, error)
}

// Listing is one record of a Directory.
type DirectoryEntry struct {
	Key   string
	Value []byte
}

// Directory keeps the newest value of each key for good. Nodes find each other
// there. Implementations are safe for concurrent use.
type Directory interface {
	Put(ctx context.Context, key string, value []byte) error
	List(ctx context.Context) ([]DirectoryEntry, error)
}

// Instance is one start of a backend server, as it announces itself.
type Instance struct {
	ID      string
	Service string
	Addr    string
	Slots   int
	State   BackendState
	// Cold is how long the backend server stays slow after its start.
	WarmUp time.Duration
	// Sequence rises with each announcement of one start.
	Sequence int64
	// Born is the Unix millisecond of the start, or 0 when it is not told.
	StartUnixMilli int64
}

// Newer reports whether x was announced after o by the same backend server.
func (x *Instance) Newer(o *Instance) bool {
	if x.StartUnixMilli != o.StartUnixMilli {
		return x.StartUnixMilli > o.StartUnixMilli
	}
	return x.Sequence > o.Sequence
}

// MeshHeaders names the header fields that callers, nodes and backend servers
// share. The names belong to the deployment.
type MeshHeaders struct {
	// Attempt identifies one request of a caller; backend servers echo it.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Timeout string
	// Expected names the instance that alone may run the request.
	ExpectedInstance string
	// Caller is the service on whose machine the request began.
	CallerService string
	// Seal marks the answers of backend servers.
	Seal string
	// Rejected marks answers to requests that the backend server did not run.
	Rejected string
}

// DefaultMeshHeaders are the names where a deployment sets none.
func DefaultMeshHeaders() MeshHeaders {
	return MeshHeaders{
		RequestID:        "Cicadaseam-Request-Id",
		Timeout:          "Cicadaseam-Timeout-Ms",
		ExpectedInstance: "Cicadaseam-Expected-Server",
		CallerService:    "Cicadaseam-Caller",
		Seal:             "Cicadaseam-Seal",
		Rejected:         "Cicadaseam-Rejected",
	}
}

// MeshCall is a request on its way from the node that took it to the node that
// runs it.
type MeshCall struct {
	ID         string
	Method     string
	Host       string
	RequestURI string
	Headers    []Header
	Body       []byte
	// Service runs the request; another one at the target refuses it.
	Service string
	Route   string
	// Budget is the time left until the answer is of no use.
	Timeout time.Duration
	// Wait is the longest time that the request may wait for a slot.
	MaxWait time.Duration
	// Due is the time left until the answer is late.
	LatencyBudget time.Duration
	// Objective is the route's objective, by which targets judge their pace.
	LatencyObjective time.Duration
	Priority         int
	// Nested calls are made by a backend server for a request that it runs.
	Nested bool
	// Late requests can no longer be answered on time.
	Late bool
	// Returning requests were refused before.
	CallerRetry bool
	Idempotent  bool
	Fingerprint uint64
	// Sender is the process that sent the call, and Stamp the time of its steady clock
	// when it counted the times above. They are 0 in a call that stays in its node.
	SenderID uint64
	SentAt   time.Duration
}

// MeshAnswer is what came of a MeshCall. Body is complete.
type MeshAnswer struct {
	Outcome Outcome
	Status  int
	Headers []Header
	Body    []byte
	Reason  Reason
	// Offered is set when the request reached the backend server, also if that
	// rejected it.
	ReachedBackend bool
	// Wait is the time after which the target expects to have room, with a refusal.
	RetryAfter time.Duration
	// Queued and Ran are the times spent waiting for a slot and at the backend.
	QueueTime   time.Duration
	BackendTime time.Duration
	Load        MeshLoad
}

// MeshLoad is what a target tells about itself.
type MeshLoad struct {
	InFlight int
	Queued   int
	Slots    int
	// Pace is the mean share of the objective that the backend server takes, in
	// thousandths.
	LatencyPermille int
	// Failing is the share of recent requests that failed, in thousandths.
	FailurePermille int
}
