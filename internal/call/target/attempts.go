package target

import (
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Limits of the kept attempts.
const (
	keepAttempts = 10 * time.Minute
	// leastKeep is how long an attempt is kept however many there are: far
	// longer than an entry node may still ask about it.
	leastKeep = 2 * time.Minute
	// maxAnswerBytes bounds the kept answers; past it the oldest are dropped
	// and a resend learns only that the request ran.
	maxAnswerBytes = 16 << 20
	maxAttempts    = 50000
)

// attemptState is how far an attempt of a non-idempotent request is.
type attemptState uint8

const (
	// attemptOpen may still start.
	attemptOpen attemptState = iota + 1
	attemptStarted
	attemptFinished
	// attemptVoid has not started and never will.
	attemptVoid
)

type attempt struct {
	id     string
	state  attemptState
	answer *cicadaseam.Answer
	at     time.Time
	// done is closed when the attempt is finished or void.
	done chan struct{}
}

// attempts remembers what became of non-idempotent requests at this node.
type attempts struct {
	mu    sync.Mutex
	byID  map[string]*attempt
	order []*attempt
	bytes int
}

func newAttempts() *attempts {
	return &attempts{byID: map[string]*attempt{}}
}

// open notes an attempt that may start. It returns false when the id is known:
// the attempt was voided, or the request came twice.
func (a *attempts) open(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] != nil {
		return false
	}
	a.add(now, id, attemptOpen)
	return true
}

func (a *attempts) add(now time.Time, id string, state attemptState) *attempt {
	a.expire(now)
	x := &attempt{id: id, state: state, at: now, done: make(chan struct{})}
	a.byID[id] = x
	a.order = append(a.order, x)
	return x
}

// start is the one step after which the attempt counts as run. It returns
// false when the attempt was voided meanwhile.
func (a *attempts) start(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil || x.state != attemptOpen {
		return false
	}
	x.state = attemptStarted
	return true
}

// finish keeps the answer of an attempt.
func (a *attempts) finish(id string, answer *cicadaseam.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil || x.state != attemptStarted {
		return
	}
	x.state = attemptFinished
	x.answer = answer
	close(x.done)
	a.bytes += len(answer.Body)
	a.dropAnswers()
}

// dropAnswers forgets the bodies of the oldest answers over the limit.
func (a *attempts) dropAnswers() {
	for _, x := range a.order {
		if a.bytes <= maxAnswerBytes {
			return
		}
		if x.answer != nil {
			a.bytes -= len(x.answer.Body)
			x.answer = nil
		}
	}
}

// void makes sure that an attempt never starts. It returns the state after it
// and the attempt, whose done is closed when a started one finishes.
func (a *attempts) void(now time.Time, id string) (attemptState, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil {
		x = a.add(now, id, attemptVoid)
	}
	if x.state == attemptOpen {
		x.state = attemptVoid
		close(x.done)
	}
	return x.state, x
}

// lookup returns the state of an attempt and changes nothing. The state is 0
// when the attempt is not, or no longer, known.
func (a *attempts) lookup(id string) (attemptState, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.byID[id]
	if x == nil {
		return 0, nil
	}
	return x.state, x
}

// answerOf returns the kept answer of a finished attempt, or nil.
func (a *attempts) answerOf(x *attempt) *cicadaseam.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.answer
}

// expire forgets old attempts, but none that is still running.
func (a *attempts) expire(now time.Time) {
	for len(a.order) > 0 {
		x := a.order[0]
		age := now.Sub(x.at)
		old := age > keepAttempts || (age > leastKeep && len(a.order) > maxAttempts)
		if !old || x.state == attemptStarted {
			return
		}
		if x.answer != nil {
			a.bytes -= len(x.answer.Body)
		}
		delete(a.byID, x.id)
		a.order = a.order[1:]
	}
}
