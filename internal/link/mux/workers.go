package mux

import "sync"

// idleWorkers bounds the goroutines that wait for work, and with them the
// memory of their stacks.
const idleWorkers = 32

// workers run handlers. A goroutine that has run one waits for the next: its
// stack has already grown to what a handler needs, which a new goroutine pays
// for with several copies of its stack.
type workers struct {
	jobs chan func()
	quit chan struct{}

	mu    sync.Mutex
	idle  int
	ended bool
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func()), quit: make(chan struct{})}
}

// do runs a job on a goroutine of its own, a waiting one if there is any.
func (w *workers) do(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.run(job)
	}
}

func (w *workers) run(job func()) {
	for {
		job()
		if !w.rest() {
			return
		}
		select {
		case job = <-w.jobs:
			w.rise()
		case <-w.quit:
			return
		}
	}
}

// rest reports whether one more worker may wait.
func (w *workers) rest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.idle >= idleWorkers {
		return false
	}
	w.idle++
	return true
}

func (w *workers) rise() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle--
}

// close sends the waiting workers home. Jobs that run end by themselves.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.ended = true
		close(w.quit)
	}
}
