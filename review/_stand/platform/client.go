package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int // 0 without an answer
	sealed bool
	err    error
	took   time.Duration
}

// client sends requests to the node of one machine, each on a kept connection or a new one.
type client struct {
	machine *machine
	key     string // API key, or empty
	http    *http.Client
}

func (m *machine) newClient() *client {
	return &client{machine: m, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and returns its answer.
func (c *client) send(id, method, host, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: id, sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.machine.addr(portCalls)+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Cicadaseam-Attempt-Id", id)
	req.Header.Set("X-Cicadaseam-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.http.Timeout = deadline
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Cicadaseam-Response-Seal") != ""
	}
	if err != nil {
		a.status, a.err = 0, err
	}
	a.took = time.Since(a.sentAt)
	w := c.machine.world
	if a.err != nil {
		w.logf("client at %s: %s %s %d bytes: no answer after %v: %v", c.machine.name, id, path, len(body), a.took.Round(time.Millisecond), a.err)
	} else {
		w.logf("client at %s: %s %s %d bytes: %d after %v", c.machine.name, id, path, len(body), a.status, a.took.Round(time.Millisecond))
	}
	return a
}
