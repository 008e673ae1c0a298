package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

const (
	uploads    = 4        // at once at one machine
	uploadSize = 60 << 20 // bytes; the configuration allows 64 MiB
	rounds     = 3        // the rule counts processes that end three times
	roundTime  = 12 * time.Second
)

// memoryCase sends a few requests at once with bodies that the configuration allows, and ends each
// process that takes more memory than its machine has, as the platform does. Without the trouble, the
// same requests come one after the other.
func memoryCase(w *world) int {
	fronts := []*machine{w.addMachine("alcantara", "pesquisa"), w.addMachine("oriente", "pesquisa")}
	w.addMachine("carnide", "mandatos")
	w.addMachine("benfica", "mandatos")
	w.putConfig(1, []route{
		{Name: "r-reg", Host: "hulo84.example", Prefix: "/xapu221/", Type: "non_idempotent", Timeout: 1500, Aim: 600, Prio: 1, Service: "mandatos", Max: 2},
		{Name: "r-scan", Host: "jepu9.example", Prefix: "/lepu270/", Type: "non_idempotent", Timeout: 8000, Aim: 4000, Prio: 2, Service: "mandatos", Max: 2},
	})
	if !w.startAll() {
		return couldNot
	}
	time.Sleep(livenessTime)
	stop := make(chan struct{})
	limits := make([]*memoryLimit, len(w.machines))
	var watchers sync.WaitGroup
	for i, m := range w.machines {
		limits[i] = &memoryLimit{machine: m}
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			limits[i].watch(stop)
		}()
	}
	var load sync.WaitGroup
	end := time.Now().Add(rounds*roundTime + 2*time.Second)
	for _, m := range fronts {
		for range 4 {
			load.Add(1)
			go func() {
				defer load.Done()
				c := m.newClient()
				for ; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
					c.send(w.nextID("a-"), http.MethodPost, "hulo84.example", "/xapu221/2f", bytes.Repeat([]byte("x"), 4000), 1500*time.Millisecond)
				}
			}()
		}
	}
	body := bytes.Repeat([]byte("y"), uploadSize)
	for range rounds {
		began := time.Now()
		for _, m := range fronts {
			var group sync.WaitGroup
			for range uploads {
				group.Add(1)
				upload := func() {
					defer group.Done()
					m.newClient().send(w.nextID("u-"), http.MethodPost, "jepu9.example", "/lepu270/2f", body, 8*time.Second)
				}
				if w.trouble {
					go upload()
				} else {
					upload()
				}
			}
			group.Wait()
		}
		time.Sleep(roundTime - time.Since(began))
	}
	load.Wait()
	close(stop)
	watchers.Wait()
	often := 0
	for _, l := range limits {
		w.logf("%s: %.0f MB at most, over the limit of %d MB %d times", l.machine.name, l.peak, memoryMB, l.exceeded)
		if l.exceeded >= rounds {
			often++
		}
	}
	if often >= 2 {
		return broken
	}
	return held
}

// memoryLimit is the platform's limit of the memory of one machine's process.
type memoryLimit struct {
	machine  *machine
	peak     float64 // MB
	exceeded int
}

// watch kills a process that takes more than memoryMB, and starts the next one.
func (l *memoryLimit) watch(stop <-chan struct{}) {
	m := l.machine
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		mb := m.memory()
		l.peak = max(l.peak, mb)
		if mb <= memoryMB || m.ended() != "" {
			continue
		}
		l.exceeded++
		m.world.logf("%s: the process takes %.0f MB, its machine has %d MB: the platform ends it", m.name, mb, memoryMB)
		m.kill()
		time.Sleep(restartDelay)
		if m.run() != nil {
			return
		}
	}
}
