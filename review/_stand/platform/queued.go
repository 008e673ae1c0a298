package main

import (
	"net/http"
	"sync"
	"time"
)

// The figures of the route and of the bounds are those of the sheet in large/LATER.md: aim 5,000 ms,
// the timeout of its site file, and drain_ms 3,000.
const (
	queuedAim     = 5000
	queuedTimeout = 15000
	queuedDrain   = 3 * time.Second
	queuedWork    = 500 * time.Millisecond
	queuedSlots   = 9
	usualLoad     = 0.85 // of the capacity
	burstFactor   = 2.4
	burstTime     = 6 * time.Second
	// queuedEnd is how long after the acknowledgement the backend server ends: drain_ms and a little
	// longer.
	queuedEnd = queuedDrain + 400*time.Millisecond
)

// queuedCase lets a backend server leave while requests that may run once wait for it, and counts those
// that reach it too late. Without the trouble there is no burst.
func queuedCase(w *world) int {
	front := w.addMachine("alcantara", "pesquisa")
	leaver := w.addMachine("alcantara", "arquivo")
	w.addMachine("alcantara", "arquivo")
	w.putConfig(1, []route{{Name: "r-rules", Host: "lopu12.example", Prefix: "/migo893/", Type: "non_idempotent", Timeout: queuedTimeout, Aim: queuedAim, Prio: 2, Service: "arquivo", Max: 2}})
	backends := map[*machine]*backend{}
	for _, m := range w.machines {
		b, err := m.startBackend(w.nextID("i-"), queuedSlots, queuedWork)
		if err != nil || m.run() != nil {
			return couldNot
		}
		backends[m] = b
	}
	for _, m := range w.machines {
		if !m.awaitReady(5 * time.Second) {
			return couldNot
		}
	}
	time.Sleep(livenessTime)
	capacity := 2 * queuedSlots / queuedWork.Seconds()
	start := time.Now()
	burstAt := start.Add(5 * time.Second)
	stop := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	load.Add(1)
	go func() {
		defer load.Done()
		c := front.newClient()
		next := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			rate := usualLoad * capacity
			if now := time.Now(); w.trouble && now.After(burstAt) && now.Before(burstAt.Add(burstTime)) {
				rate *= burstFactor
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			load.Add(1)
			go func() {
				defer load.Done()
				a := c.send(w.nextID("a-"), http.MethodPost, "lopu12.example", "/migo893/2f", []byte("order"), 30*time.Second)
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(time.Until(burstAt.Add(burstTime)))
	b := backends[leaver]
	b.leaving()
	if status := leaver.call(http.MethodPut, b.id, b.beat("draining")); status != 200 {
		w.logf("%s: the heartbeat of %s got %d", leaver.name, b.id, status)
		return couldNot
	}
	w.logf("%s: it is acknowledged that %s is draining", leaver.name, b.id)
	acked := time.Now()
	time.Sleep(time.Until(acked.Add(queuedEnd)))
	leaver.call(http.MethodDelete, b.id, nil)
	b.stop()
	w.logf("%s: backend server %s ends", leaver.name, b.id)
	close(stop)
	load.Wait()
	late, lost, last := 0, 0, time.Duration(0)
	for _, a := range b.all() {
		after := a.at.Sub(acked)
		if a.ran && after > queuedDrain {
			late++
			last = max(last, after)
			if answers[a.id].status != http.StatusOK {
				lost++
			}
		}
	}
	w.logf("%d requests reached %s more than %v after the acknowledgement, the last %.3f s after it; %d of them got no answer of the backend server", late, b.id, queuedDrain, last.Seconds(), lost)
	if late > 0 {
		return broken
	}
	return held
}
