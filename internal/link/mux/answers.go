package mux

import (
	"sync"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/link/frame"
)

// answerQueue holds the frames that one connection of a server is to write. Of the answers, the one
// with the fewest frames left goes first, one frame at a time: a small answer waits for at most one
// frame of a large one, and large ones end sooner on average than if they took turns. Pongs and
// refusals go before all answers.
type answerQueue struct {
	budget cicadaseam.ReplyBudget // nil if answers are not bounded

	mu      sync.Mutex
	control []*frame.Frame
	answers []*queuedAnswer // in the order of their arrival
	closed  bool
	// wake has an entry if frames were added since the writer last found none.
	wake chan struct{}
}

// queuedAnswer is the rest of an answer that is not completely written.
type queuedAnswer struct {
	id     uint64
	frames []*frame.Frame
	held   int64 // bytes of the budget
}

// uncountedAnswer is the size in bytes up to which an answer is not counted: the bound on the requests
// of a connection covers it.
const uncountedAnswer = 8 << 10

func newAnswerQueue(budget cicadaseam.ReplyBudget) *answerQueue {
	return &answerQueue{budget: budget, wake: make(chan struct{}, 1)}
}

// addAnswer queues an answer of at least one frame. It returns false if the queue is closed.
func (q *answerQueue) addAnswer(id uint64, frames []*frame.Frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	a := &queuedAnswer{id: id, frames: frames}
	if size := int64(frames[0].Total); q.budget != nil && size > uncountedAnswer {
		q.budget.Hold(size)
		a.held = size
	}
	q.answers = append(q.answers, a)
	q.signal()
	return true
}

// addControl queues a frame that goes before all answers. It returns false if too many wait.
func (q *answerQueue) addControl(f *frame.Frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.control) >= sendQueueMessages {
		return false
	}
	q.control = append(q.control, f)
	q.signal()
	return true
}

// signal wakes the writer. The lock is held.
func (q *answerQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// next removes the next frame. endsAnswer is set if it is the last one of an answer, and flush if
// the frames so far are to be flushed: when none is left, and before a frame of a large answer, so
// that small ones do not wait for that to be written. f is nil if the queue is empty.
func (q *answerQueue) next() (f *frame.Frame, endsAnswer, flush bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.control) > 0 {
		f, q.control = q.control[0], q.control[1:]
		return f, false, q.flushDue()
	}
	i := q.shortest()
	if i < 0 {
		return nil, false, false
	}
	a := q.answers[i]
	f, a.frames = a.frames[0], a.frames[1:]
	endsAnswer = len(a.frames) == 0
	if endsAnswer {
		q.remove(i)
	}
	return f, endsAnswer, q.flushDue()
}

// shortest returns the index of the answer with the fewest frames left, or -1. The lock is held.
func (q *answerQueue) shortest() int {
	best := -1
	for i, a := range q.answers {
		if best < 0 || len(a.frames) < len(q.answers[best].frames) {
			best = i
		}
	}
	return best
}

// flushDue reports whether no frame is left that is written together with the last one. The lock
// is held.
func (q *answerQueue) flushDue() bool {
	if len(q.control) > 0 {
		return false
	}
	i := q.shortest()
	return i < 0 || len(q.answers[i].frames) > 1
}

// release returns what an answer holds of the budget.
func (q *answerQueue) release(a *queuedAnswer) {
	if a.held > 0 {
		q.budget.Release(a.held)
	}
}

// remove removes the answer at an index. The lock is held.
func (q *answerQueue) remove(i int) {
	q.release(q.answers[i])
	copy(q.answers[i:], q.answers[i+1:])
	last := len(q.answers) - 1
	q.answers[last] = nil
	q.answers = q.answers[:last]
}

// drop removes the answer to a request that was canceled. It reports whether there was one.
func (q *answerQueue) drop(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, a := range q.answers {
		if a.id == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// size returns the number of answers that are not completely written.
func (q *answerQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.answers)
}

// isEmpty reports whether nothing is queued.
func (q *answerQueue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.answers) == 0 && len(q.control) == 0
}

// close drops everything that is queued and ends the writer. It returns the number of dropped
// answers.
func (q *answerQueue) close() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0
	}
	q.closed = true
	dropped := len(q.answers)
	for _, a := range q.answers {
		q.release(a)
	}
	q.answers, q.control = nil, nil
	close(q.wake)
	return dropped
}
