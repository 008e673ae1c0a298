package mux

import "sync"

// maxIdleWorkers bounds the goroutines that wait for jobs, and thereby the memory that their
// stacks take.
const maxIdleWorkers = 32

// workerPool runs jobs on goroutines that it reuses. The stack of a goroutine that has run a job
// has already grown to the size that a handler needs, while the stack of a new goroutine is
// copied several times as it grows.
type workerPool struct {
	jobs chan func()
	quit chan struct{}

	mu     sync.Mutex
	idle   int
	closed bool
}

func newWorkerPool() *workerPool {
	return &workerPool{jobs: make(chan func()), quit: make(chan struct{})}
}

// do runs a job on an idle worker, or on a new goroutine if none is idle. It does not wait.
func (w *workerPool) do(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.run(job)
	}
}

func (w *workerPool) run(job func()) {
	for {
		job()
		if !w.becomeIdle() {
			return
		}
		select {
		case job = <-w.jobs:
			w.leaveIdle()
		case <-w.quit:
			return
		}
	}
}

// becomeIdle counts one more idle worker and reports true, unless the pool is closed or has
// enough idle workers.
func (w *workerPool) becomeIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.idle >= maxIdleWorkers {
		return false
	}
	w.idle++
	return true
}

func (w *workerPool) leaveIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle--
}

// close ends the idle workers. Jobs that are running are not interrupted; their workers end
// after them.
func (w *workerPool) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.quit)
	}
}
