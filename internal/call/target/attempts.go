package target

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Limits of the attempt table.
const (
	// attemptRetention is how long an attempt is kept while there are at most
	// maxAttempts.
	attemptRetention = 10 * time.Minute
	// minAttemptRetention is how long an attempt is kept even if there are more. It is
	// far longer than the time in which an entry node may still ask about the attempt.
	minAttemptRetention = 2 * time.Minute
	// maxAnswerBytes bounds the bodies of the kept answers. Above it the oldest answers
	// are dropped, and a retry of their requests learns only that the request ran.
	maxAnswerBytes = 16 << 20
	// maxAttempts is the number of attempts above which minAttemptRetention applies.
	maxAttempts = 50000
)

// attemptState is the progress of an attempt to run a non-idempotent request.
type attemptState uint8

const (
	// attemptPending: the attempt has not started and still may.
	attemptPending attemptState = iota + 1
	attemptStarted
	attemptFinished
	// attemptVoided: the attempt has not started and never will.
	attemptVoided
)

// attempt is one attempt to run a non-idempotent request.
type attempt struct {
	id        string
	state     attemptState
	answer    *cicadaseam.Answer // nil before the attempt has finished, or once dropped
	createdAt time.Time
	// done is closed when the attempt is finished or voided.
	done chan struct{}
}

// attemptTable holds the recent attempts to run non-idempotent requests at this node.
type attemptTable struct {
	mu          sync.Mutex
	byID        map[string]*attempt
	byAge       []*attempt // oldest first
	answerBytes int        // total size of the bodies of the kept answers
}

func newAttemptTable() *attemptTable {
	return &attemptTable{byID: map[string]*attempt{}}
}

// register adds a pending attempt. It returns false when the ID is known already: the
// attempt was voided before it arrived, or the request arrived twice.
func (a *attemptTable) register(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] != nil {
		return false
	}
	a.add(now, id, attemptPending)
	return true
}

// add adds an attempt. a.mu must be held.
func (a *attemptTable) add(now time.Time, id string, state attemptState) *attempt {
	a.expire(now)
	x := &attempt{id: id, state: state, createdAt: now, done: make(chan struct{})}
	a.byID[id] = x
	a.byAge = append(a.byAge, x)
	return x
}

// start marks a pending attempt as started; from then on it may have run. It returns
// false when the attempt was voided in the meantime.
func (a *attemptTable) start(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil || x.state != attemptPending {
		return false
	}
	x.state = attemptStarted
	return true
}

// finish marks a started attempt as finished and keeps its answer.
func (a *attemptTable) finish(id string, answer *cicadaseam.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil || x.state != attemptStarted {
		return
	}
	x.state = attemptFinished
	x.answer = answer
	close(x.done)
	a.answerBytes += len(answer.Body)
	a.dropAnswers()
}

// dropAnswers drops the oldest answers until the rest is within maxAnswerBytes. a.mu must
// be held.
func (a *attemptTable) dropAnswers() {
	for _, x := range a.byAge {
		if a.answerBytes <= maxAnswerBytes {
			return
		}
		if x.answer != nil {
			a.answerBytes -= len(x.answer.Body)
			x.answer = nil
		}
	}
}

// void voids an attempt that has not started, even if the attempt has not arrived yet. It
// returns the attempt and its resulting state. A started attempt continues, and closes done
// when it finishes.
func (a *attemptTable) void(now time.Time, id string) (attemptState, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil {
		x = a.add(now, id, attemptVoided)
	}
	if x.state == attemptPending {
		x.state = attemptVoided
		close(x.done)
	}
	return x.state, x
}

// lookup returns an attempt with its state and changes nothing. The state is 0 when the
// attempt is not known, or no longer.
func (a *attemptTable) lookup(id string) (attemptState, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil {
		return 0, nil
	}
	return x.state, x
}

// keptAnswer returns the answer of a finished attempt, or nil when it was dropped.
func (a *attemptTable) keptAnswer(x *attempt) *cicadaseam.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.answer
}

// expire removes old attempts. It stops at the first one that is still running. a.mu must
// be held.
func (a *attemptTable) expire(now time.Time) {
	for len(a.byAge) > 0 {
		x := a.byAge[0]
		age := now.Sub(x.createdAt)
		old := age > attemptRetention || (age > minAttemptRetention && len(a.byAge) > maxAttempts)
		if !old || x.state == attemptStarted {
			return
		}
		if x.answer != nil {
			a.answerBytes -= len(x.answer.Body)
		}
		delete(a.byID, x.id)
		a.byAge = a.byAge[1:]
	}
}
