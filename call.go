package cicadaseam

import (
	"time"
)

// Outcome says what is known about whether a request ran at a backend server.
type Outcome uint8

// The outcomes. OutcomeUnknown is the zero value, so that a missing outcome
// never claims anything.
const (
	OutcomeUnknown Outcome = iota
	// OutcomeRan: a backend server answered the request.
	OutcomeRan
	// OutcomeNotRun: no byte of the request reached a backend server, and no
	// byte of this attempt ever will.
	OutcomeNotRun
)

// String returns the name that callers see in the Cicadaseam-Outcome header.
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

// Call is a request on its way from the entry node to the target node.
type Call struct {
	ID             string        `msgpack:"i"`
	AttemptID      string        `msgpack:"a"`
	Service        string        `msgpack:"s"`
	Route          string        `msgpack:"o"`
	Class          string        `msgpack:"c"`
	Priority       int           `msgpack:"p"`
	Method         string        `msgpack:"m"`
	RequestURI     string        `msgpack:"u"`
	Headers        []Header      `msgpack:"h"`
	Body           []byte        `msgpack:"b"`
	Timeout        time.Duration `msgpack:"t"`
	Idempotent     bool          `msgpack:"q"`
	IdempotencyKey string        `msgpack:"k,omitempty"`
	// Customer is the credential sum of the caller, which separates the keys of
	// customers.
	Customer    string `msgpack:"w,omitempty"`
	Depth       int    `msgpack:"n"`
	Fingerprint uint64 `msgpack:"f"`
}

// Answer is the whole answer to one call. Body is complete: a part of an
// answer is never handed on.
type Answer struct {
	Outcome Outcome  `msgpack:"o"`
	Status  int      `msgpack:"s"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
	// Reason names why the request was refused or lost; empty when it ran.
	Reason Reason `msgpack:"r,omitempty"`
	// RetryAfter tells the caller when to come back.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	// Load is the load of the target after the call.
	Load Load `msgpack:"l"`
	// Replayed is set on an answer kept from an earlier run of the same key.
	Replayed bool `msgpack:"y,omitempty"`
}

// Load is what a target tells about itself with each answer.
type Load struct {
	InFlight int `msgpack:"f"`
	Limit    int `msgpack:"l"`
	Queued   int `msgpack:"q"`
	// Level is the lowest priority that the target currently takes.
	MinPriority int `msgpack:"v"`
}

// Reason is a short machine-readable cause of a refusal or a loss.
type Reason string

// The reasons.
const (
	ReasonNone              Reason = ""
	ReasonNoRoute           Reason = "no-route"
	ReasonNoCredential      Reason = "no-credential"
	ReasonNoTarget          Reason = "no-target"
	ReasonNotReady          Reason = "not-ready"
	ReasonRequestTooLarge   Reason = "too-large"
	ReasonBadKey            Reason = "bad-key"
	ReasonKeyExpired        Reason = "key-expired"
	ReasonKeyConflict       Reason = "key-conflict"
	ReasonKeyRunning        Reason = "key-running"
	ReasonKeyLost           Reason = "key-lost"
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	ReasonQueueFull         Reason = "queue-full"
	ReasonQueueTimeout      Reason = "queue-timeout"
	ReasonDisplaced         Reason = "displaced"
	ReasonShed              Reason = "shed"
	ReasonDeadline          Reason = "deadline"
	ReasonDraining          Reason = "draining"
	ReasonQuarantine        Reason = "quarantine"
	ReasonLinkLost          Reason = "link-lost"
	ReasonBackendLost       Reason = "backend-lost"
	ReasonBackendCrashed    Reason = "backend-crashed"
	ReasonCanceled          Reason = "canceled"
	ReasonAnswerTooLarge    Reason = "answer-too-large"
	ReasonBackendRejected   Reason = "backend-rejected"
	ReasonRetryBudget       Reason = "retry-budget"
)
