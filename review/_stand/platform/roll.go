package main

import (
	"sync"
	"time"
)

const (
	rolls     = 4
	rollEvery = 22 * time.Second
	rollGap   = time.Second
	// rollPoison is the time between two arrivals of the request that crashes backend servers.
	rollPoison = 7 * time.Second
)

// rollCase stops and starts all machines in turn, a few times, while a request that crashes its backend
// servers comes again and again. Each start of a backend server has a new ID.
func rollCase(w *world) int {
	return w.playPoison(rollPoison, rolls*rollEvery+8*time.Second, func() {
		time.Sleep(8 * time.Second)
		for range rolls {
			if !w.trouble {
				return
			}
			next := time.Now().Add(rollEvery)
			var group sync.WaitGroup
			for _, m := range w.machines {
				group.Add(1)
				go func() {
					defer group.Done()
					m.restart()
				}()
				time.Sleep(rollGap)
			}
			group.Wait()
			time.Sleep(time.Until(next))
		}
	})
}
