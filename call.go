package cicadaseam

import (
	"time"
)

// Outcome is what is known about whether a backend server ran a request.
type Outcome uint8

// Outcomes of a request. OutcomeUnknown is the zero value, so that a message without an
// outcome makes no claim.
const (
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that a backend server answered the request.
	OutcomeRan
	// OutcomeNotRun means that no byte of the request reached a backend server and no byte
	// of this attempt ever will, or that the backend server rejected it without running it.
	OutcomeNotRun
)

// String returns the value of the Cicadaseam-Outcome response header.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// Header is one HTTP header field.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Call is a request as it is passed from the entry node, which received it, to a target node,
// whose backend server is to run it.
type Call struct {
	ID string `msgpack:"i"`
	// AttemptID identifies one attempt to run the call; each retry has its own.
	AttemptID string `msgpack:"a"`
	Service   string `msgpack:"s"`
	Route     string `msgpack:"o"`
	// Class is the class of callers that the caller's credential belongs to.
	Class string `msgpack:"c"`
	// Priority is the priority of the class; a larger number is more important.
	Priority int    `msgpack:"p"`
	Method   string `msgpack:"m"`
	// RequestURI is the path and query of the request line.
	RequestURI string   `msgpack:"u"`
	Headers    []Header `msgpack:"h"`
	Body       []byte   `msgpack:"b"`
	// Timeout is the time left until the caller's deadline.
	Timeout        time.Duration `msgpack:"t"`
	Idempotent     bool          `msgpack:"q"`
	IdempotencyKey string        `msgpack:"k,omitempty"`
	// Customer is the hash of the caller's credential. Idempotency keys are kept apart by it,
	// so that two customers may use the same key.
	Customer string `msgpack:"w,omitempty"`
	// Depth is the number of calls that led to this one; a limit on it stops call loops.
	Depth int `msgpack:"n"`
	// Fingerprint is a hash of the request, by which requests that crash backend servers are
	// recognized.
	Fingerprint uint64 `msgpack:"f"`
}

// Answer is the result of one call. Body is complete: a partial response is never relayed.
type Answer struct {
	Outcome Outcome  `msgpack:"o"`
	Status  int      `msgpack:"s"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
	// Reason says why the request was refused or lost. It is empty when the answer is that of
	// the backend server.
	Reason Reason `msgpack:"r,omitempty"`
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	// Load is the load of the target after the call.
	Load Load `msgpack:"l"`
	// Replayed is set on the stored answer to an earlier call with the same idempotency key.
	Replayed bool `msgpack:"y,omitempty"`
}

// Load is the load that a target reports with each answer.
type Load struct {
	InFlight int `msgpack:"f"`
	// Limit is the target's current concurrency limit.
	Limit  int `msgpack:"l"`
	Queued int `msgpack:"q"`
	// MinPriority is the lowest priority that the target currently admits.
	MinPriority int `msgpack:"v"`
}

// Reason is a machine-readable cause why a request was refused or lost.
type Reason string

// Reasons. Callers read these values in response headers.
const (
	ReasonNone Reason = ""
	// ReasonNoRoute means that no route matches, or that the call depth is over its limit.
	ReasonNoRoute      Reason = "no-route"
	ReasonNoCredential Reason = "no-credential"
	// ReasonNoTarget means that no backend server of the service is available.
	ReasonNoTarget Reason = "no-target"
	// ReasonNotReady means that the node is not ready yet to serve calls of the service.
	ReasonNotReady        Reason = "not-ready"
	ReasonRequestTooLarge Reason = "too-large"
	// ReasonBadKey means that the idempotency key is malformed or has a timestamp in the future.
	ReasonBadKey Reason = "bad-key"
	// ReasonKeyExpired means that the idempotency key is so old that its use is no longer known.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyConflict means that the idempotency key was used for a different request.
	ReasonKeyConflict Reason = "key-conflict"
	// ReasonKeyRunning means that an earlier call with the idempotency key is still running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyLost means that the answer of an attempt that may have run is no longer known.
	ReasonKeyLost Reason = "key-lost"
	// ReasonLedgerUnavailable means that the idempotency key could not be claimed in the ledger.
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	ReasonQueueFull         Reason = "queue-full"
	ReasonQueueTimeout      Reason = "queue-timeout"
	// ReasonRateLimit means that the backend server takes no more requests a second.
	ReasonRateLimit Reason = "rate-limit"
	// ReasonDisplaced means that a call of higher priority took the place in the full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonShed means that the targets are overloaded and admit only higher priorities.
	ReasonShed     Reason = "shed"
	ReasonDeadline Reason = "deadline"
	ReasonDraining Reason = "draining"
	// ReasonQuarantine means that the request is suspected of crashing backend servers.
	ReasonQuarantine Reason = "quarantine"
	// ReasonLinkLost means that the connection between the entry node and the target failed.
	ReasonLinkLost Reason = "link-lost"
	// ReasonBackendLost means that the connection of the target to its backend server failed.
	ReasonBackendLost Reason = "backend-lost"
	// ReasonBackendCrashed means that the backend server crashed and that no other request is
	// suspected of the crash.
	ReasonBackendCrashed  Reason = "backend-crashed"
	ReasonCanceled        Reason = "canceled"
	ReasonAnswerTooLarge  Reason = "answer-too-large"
	ReasonBackendRejected Reason = "backend-rejected"
	// ReasonUnknownKey means that the request has no key or one that no customer has.
	ReasonUnknownKey Reason = "unknown-key"
	// ReasonKeysOutdated means that the node cannot prove that its keys are current.
	ReasonKeysOutdated Reason = "keys-outdated"
	// ReasonQuota means that the customer has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonRetryBudget means that the retry budget allows no further attempt.
	ReasonRetryBudget Reason = "retry-budget"
)
