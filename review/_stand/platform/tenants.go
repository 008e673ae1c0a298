package main

import (
	"net/http"
	"time"
)

// revokeTime is revoke_ms of the deployments with tenants.
const revokeTime = 5 * time.Second

// tenantsCase takes away the only tenant of a deployment and sends requests with its key. Without the
// trouble the tenant stays and loses its only key.
func tenantsCase(w *world) int {
	w.strictKeys = true
	front := w.addMachine("riga-a", "customer-desk")
	w.addMachine("riga-b", "network-archive")
	routes := []route{{Name: "r-read", Host: "jepu9.example", Prefix: "/lepu270/", Type: "non_idempotent", Timeout: 1500, Aim: 600, Prio: 1, Service: "network-archive", Max: 2}}
	const key = "b5f3a1c09d2e4477"
	w.putTenants(1, routes, []tenant{{Name: "house-1", Keys: []string{key}}})
	var backends []*backend
	for _, m := range w.machines {
		b, err := m.startBackend(w.nextID("i-"), 9, 20*time.Millisecond)
		if err != nil || m.run() != nil {
			return couldNot
		}
		b.setBorn(time.Now())
		backends = append(backends, b)
	}
	for _, m := range w.machines {
		if !m.awaitReady(5 * time.Second) {
			return couldNot
		}
	}
	time.Sleep(livenessTime)
	c := front.newClient()
	send := func(n int) {
		for range n {
			c.send(w.nextID("a-"), http.MethodPost, "jepu9.example", "/lepu270/2f", []byte("payment"), 1500*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.key = "another"
	send(3) // 401
	c.key = key
	send(10) // 200
	if w.trouble {
		w.putTenants(2, routes, []tenant{})
	} else {
		w.putTenants(2, routes, []tenant{{Name: "house-1", Keys: []string{}}})
	}
	acked := time.Now()
	for range 9 {
		send(1)
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(time.Until(acked.Add(revokeTime + time.Second)))
	send(20)
	c.key = "another"
	send(5)
	ran, passedOn := 0, 0
	for _, b := range backends {
		for _, a := range b.all() {
			if a.ran && a.at.After(acked.Add(revokeTime+time.Second)) {
				ran++
				if a.key {
					passedOn++
				}
			}
		}
	}
	w.logf("%d requests with a key that is revoked or was never held ran later than %v after the acknowledgement; %d backend servers' requests bore the key itself", ran, revokeTime, passedOn)
	if ran > 0 {
		return broken
	}
	return held
}
