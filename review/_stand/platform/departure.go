package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// history is how many backend servers have left this deployment before the trouble.
	history = 2000
	// lateBeat is how late the heartbeat arrives, and lingering how long the backend server serves
	// after it has withdrawn itself.
	lateBeat  = 2500 * time.Millisecond
	lingering = 9 * time.Second
)

// departureCase withdraws a backend server, kills the node beside it after the acknowledgement, and
// lets a heartbeat that was sent before the withdrawal arrive at the next process. Without the
// trouble the node is not killed.
func departureCase(w *world) int {
	front := w.addMachine("alcantara", "pesquisa")
	other := w.addMachine("oriente", "mandatos")
	leaver := w.addMachine("alcantara", "mandatos")
	w.addMachine("oriente", "pesquisa")
	w.putConfig(1, []route{{Name: "r-look", Host: "hulo84.example", Prefix: "/xapu221/", Type: "idempotent", Timeout: 1500, Aim: 600, Prio: 1, Service: "mandatos", Max: 2}})
	for _, m := range w.machines {
		if m.run() != nil {
			return couldNot
		}
	}
	for _, m := range w.machines {
		if !m.awaitReady(5 * time.Second) {
			return couldNot
		}
	}
	// Backend servers start and leave at one machine, as in many days.
	for range history {
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		b := beat{Service: other.service, Address: other.addr(portApp), Zone: other.zone, Version: "v1", Slots: 9, State: "ready", Sequence: 1}
		draining := b
		draining.State, draining.Sequence = "draining", 2
		if other.call(http.MethodPut, id, b) != 200 || other.call(http.MethodPut, id, draining) != 200 || other.call(http.MethodDelete, id, nil) != 200 {
			return couldNot
		}
	}
	w.logf("%d backend servers have come and left at %s", history, other.name)
	backends := map[*machine]*backend{}
	for _, m := range w.machines {
		b, err := m.startBackend(fmt.Sprintf("i-%08x", rand.Uint32()), 9, 40*time.Millisecond)
		if err != nil {
			return couldNot
		}
		backends[m] = b
	}
	time.Sleep(livenessTime)

	sent := map[string]time.Time{}
	var mu sync.Mutex
	var load sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		load.Add(1)
		go func() {
			defer load.Done()
			c := front.newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				id := w.nextID("a-")
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				c.send(id, http.MethodGet, "hulo84.example", "/xapu221/2f", nil, 1500*time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	b := backends[leaver]
	b.stopBeating()
	time.Sleep(beatPeriod)
	late := b.beat("ready")
	lateAt := time.Now().Add(lateBeat)
	time.Sleep(200 * time.Millisecond)
	if status := leaver.call(http.MethodDelete, b.id, nil); status != 200 {
		w.logf("%s: the withdrawal of %s got %d", leaver.name, b.id, status)
		return couldNot
	}
	acked := time.Now()
	w.logf("%s: the withdrawal of %s is acknowledged", leaver.name, b.id)
	inTouch := acked
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		leaver.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if leaver.run() != nil {
			return couldNot
		}
		inTouch = time.Now().Add(livenessTime)
	}
	time.Sleep(time.Until(lateAt))
	w.logf("%s: a heartbeat of %s that was sent before its withdrawal arrives: %d", leaver.name, b.id, leaver.call(http.MethodPut, b.id, late))
	time.Sleep(time.Until(acked.Add(lingering)))
	b.stop()
	w.logf("%s: backend server %s ends", leaver.name, b.id)
	close(stop)
	load.Wait()
	count := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range b.all() {
		if a.ran && a.at.After(acked.Add(drainTime)) && sent[a.id].After(acked.Add(drainTime)) && sent[a.id].After(inTouch) {
			count++
			if count <= 3 {
				w.logf("%s was sent %.3f s and reached %s %.3f s after the acknowledgement", a.id, sent[a.id].Sub(acked).Seconds(), b.id, a.at.Sub(acked).Seconds())
			}
		}
	}
	w.logf("%d requests reached %s more than %v after the acknowledgement", count, b.id, drainTime)
	if count > 0 {
		return broken
	}
	return held
}
