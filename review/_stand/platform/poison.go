package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poisonPath is the path of a request that crashes each backend server that begins to run it.
	poisonPath = "/xapu221/ny95/7"
	// poisonPeriod is the time between two arrivals of that request.
	poisonPeriod = 2 * time.Second
	// downTime is how long a backend server that crashed is away.
	downTime = 1500 * time.Millisecond
	// poisonTime is how long the request comes again and again.
	poisonTime = 60 * time.Second
)

// poisonCase sends a request that crashes its backend servers again and again. They start again
// under the IDs that they had; without the trouble each start has a new ID.
func poisonCase(w *world) int {
	w.keepIDs = w.trouble
	return w.playPoison(poisonPeriod, poisonTime, func() {})
}

// playPoison sends the request that crashes backend servers at one machine after the other, beside a
// usual load, while meanwhile runs.
func (w *world) playPoison(period, length time.Duration, meanwhile func()) int {
	fronts := []*machine{w.addMachine("alcantara", "pesquisa"), w.addMachine("oriente", "pesquisa")}
	w.addMachine("alcantara", "mandatos")
	w.addMachine("oriente", "mandatos")
	w.putConfig(1, []route{{Name: "r-reg", Host: "hulo84.example", Prefix: "/xapu221/ny95/", Type: "non_idempotent", Timeout: 1500, Aim: 600, Prio: 1, Service: "mandatos", Max: 2}})
	for _, m := range w.machines {
		b, err := m.startBackend(w.nextID("i-"), 9, 210*time.Millisecond)
		if err != nil || m.run() != nil {
			return couldNot
		}
		b.setBorn(time.Now())
	}
	for _, m := range w.machines {
		if !m.awaitReady(5 * time.Second) {
			return couldNot
		}
	}
	time.Sleep(livenessTime)
	stop := make(chan struct{})
	var lost atomic.Int64
	var load sync.WaitGroup
	for _, m := range fronts {
		for range 3 {
			load.Add(1)
			go func() {
				defer load.Done()
				c := m.newClient()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					a := c.send(w.nextID("a-"), http.MethodPost, "hulo84.example", "/xapu221/ny95/2", []byte("order"), 1500*time.Millisecond)
					if a.status == http.StatusBadGateway {
						lost.Add(1)
					}
				}
			}()
		}
	}
	load.Add(1)
	go func() {
		defer load.Done()
		meanwhile()
	}()
	began := time.Now()
	sent := map[string]poison{}
	for i := 0; time.Since(began) < length; i++ {
		next := time.Now().Add(period)
		m := fronts[i%len(fronts)] // of the same service, so that the caller is the same
		p := poison{at: time.Now(), inTouch: m.inTouch()}
		a := m.newClient().send(w.nextID("p-"), http.MethodPost, "hulo84.example", poisonPath, []byte("poison"), 1500*time.Millisecond)
		sent[a.id] = p
		time.Sleep(time.Until(next))
	}
	close(stop)
	load.Wait()
	crashes := w.crashes()
	late := 0
	for i, c := range crashes {
		p := sent[c.request]
		w.logf("crash %d: %s %s by %s, which was sent at %.3f s, from a machine in touch: %t", i+1, c.node, c.instance, c.request, p.at.Sub(w.start).Seconds(), p.inTouch)
		if i > 2 && p.inTouch && p.at.After(crashes[2].at.Add(livenessTime)) {
			late++
		}
	}
	w.logf("%d orders of the usual load were lost: 502", lost.Load())
	w.logf("the request reached backend servers in %d retries later than %v after it had crashed the third", late, livenessTime)
	if late > 3 {
		return broken
	}
	return held
}

// poison is one arrival of the request that crashes backend servers.
type poison struct {
	at      time.Time
	inTouch bool // whether its machine was in touch
}

// crashed is one crash of a backend server.
type crashed struct {
	at                      time.Time
	node, instance, request string
}

// crashes returns the crashes so far, in their order.
func (w *world) crashes() []crashed {
	w.crashMu.Lock()
	defer w.crashMu.Unlock()
	return append([]crashed(nil), w.crashList...)
}

func (b *backend) setBorn(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born = at.UnixMilli()
}

// crash closes all sockets of the backend server and starts it again after downTime. It ends the
// goroutine of the request.
func (b *backend) crash(r *http.Request) {
	b.mu.Lock()
	defer panic(http.ErrAbortHandler)
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	w := b.machine.world
	w.crashMu.Lock()
	w.crashList = append(w.crashList, crashed{at: time.Now(), node: b.machine.name, instance: b.id, request: r.Header.Get("X-Cicadaseam-Attempt-Id")})
	w.crashMu.Unlock()
	w.logf("%s: backend server %s crashes", b.machine.name, b.id)
	server := b.server
	_ = b.listener.Close() // as at the end of a process, before its connections are closed
	go func() {
		_ = server.Close()
		time.Sleep(downTime)
		b.restart()
	}()
}

// restart starts a backend server that crashed.
func (b *backend) restart() {
	l, err := net.Listen("tcp", b.machine.addr(portApp))
	if err != nil {
		b.machine.world.logf("%s: backend server not started again: %v", b.machine.name, err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.machine.world.keepIDs {
		b.id = b.machine.world.nextID("i-")
	}
	b.born, b.sequence, b.down = time.Now().UnixMilli(), 0, false
	b.serve(l)
	b.machine.world.logf("%s: backend server %s starts again", b.machine.name, b.id)
}
