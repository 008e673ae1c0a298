// Package embed has constructors for the parts of cicadaseam that others may
// use in their own programs.
//
// # Model
//
// Implementations live under internal/ and change freely; what stands here is
// kept. Config is the configuration of one process: it folds the records of a
// log, holds an immutable table of the newest accepted version, and publishes
// changes. It needs nothing but a log. A program that wants the whole node,
// with membership and calls, runs cmd/cicadaseam.
//
// # Usage
//
//	log := embed.NewMemoryLog()
//	cfg := embed.NewConfig(log, cicadaseam.Place{Deployment: "georgia-east", Zone: "atl-north"})
//	go cfg.Run(ctx)
//	decision, err := cfg.Publish(ctx, change)
//	value, _ := cfg.Setting("status-portal", "passenger", "deadline")
package embed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/wait"
	"github.com/cicadaseam/cicadaseam/internal/call/balance"
	"github.com/cicadaseam/cicadaseam/internal/client/logclient"
	"github.com/cicadaseam/cicadaseam/internal/config/publish"
	"github.com/cicadaseam/cicadaseam/internal/config/store"
	"github.com/cicadaseam/cicadaseam/internal/config/tree"
	"github.com/cicadaseam/cicadaseam/internal/fake/logstore"
)

// NewMemoryLog returns a log in memory, for tests and trials.
func NewMemoryLog() cicadaseam.Log { return logstore.New() }

// NewLogClient returns the platform's log at a URL.
func NewLogClient(url string) cicadaseam.Log { return logclient.New(url) }

// NewBalancer returns the choice of targets for callers at a place. It is a
// plain state machine: the same seed and events give the same choices.
func NewBalancer(place cicadaseam.Locality, seed uint64) cicadaseam.Picker {
	return balance.New(place, rand.New(rand.NewPCG(seed, seed)))
}

// Config is the configuration of one process. It is safe for concurrent use.
type Config struct {
	log       cicadaseam.Log
	place     cicadaseam.Locality
	store     *store.Store
	publisher *publish.Publisher
}

const (
	readLimit    = 500
	readWait     = time.Second
	backoffFirst = 50 * time.Millisecond
	backoffCap   = 5 * time.Second
)

// NewConfig returns a configuration before its first record.
func NewConfig(log cicadaseam.Log, place cicadaseam.Locality) *Config {
	s := store.New(place)
	return &Config{log: log, place: place, store: s, publisher: publish.New(log, s)}
}

// Run follows the log until the context ends. After an error it waits for a
// capped exponential backoff with full jitter.
func (c *Config) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		position, _ := c.store.Position()
		records, err := c.log.Read(ctx, cicadaseam.StreamConfig, position+1, readLimit, readWait)
		if err == nil {
			_, err = c.store.Ingest(records)
		}
		if err == nil {
			failures = 0
			continue
		}
		wait.Sleep(ctx, wait.Backoff(rand.Int64N, failures, backoffFirst, backoffCap))
		failures++
	}
}

// Publish publishes a change and returns the decision on it. A verdict that is
// unknown is asked for again with the same id.
func (c *Config) Publish(ctx context.Context, change cicadaseam.Change) (cicadaseam.Decision, error) {
	return c.publisher.Publish(ctx, change)
}

// Version returns the version in force.
func (c *Config) Version() cicadaseam.Offset { return c.store.Table().Version }

// Changed returns a channel that is closed when a record is taken.
func (c *Config) Changed() <-chan struct{} { return c.store.Changed() }

// Setting returns the effective value of a setting for a service and class at
// the place of this process, and the scope that it comes from.
func (c *Config) Setting(service, class, key string) (value, scope string, ok bool) {
	t, _ := c.store.Tree()
	target := tree.Target{Deployment: c.place.Deployment, Zone: c.place.Zone, Service: service, Class: class}
	for _, s := range t.Explain(target) {
		if s.Key == key {
			return s.Value, s.Scope, true
		}
	}
	return "", "", false
}
