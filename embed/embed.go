// Package embed has constructors for the parts of cicadaseam that other programs may use on
// their own.
//
// # Model
//
// Implementations live under internal/ and change freely; the API of this package is stable.
// Config is the configuration of one process: it applies the records of a log, holds an
// immutable table of the newest accepted version, and publishes changes. It depends on nothing
// but a log. Membership is the view of a fleet of processes that one of them has, and Admission
// decides which requests run at a backend server. For a complete node run cmd/cicadaseam.
//
// # Usage
//
//	log := embed.NewMemoryLog()
//	cfg := embed.NewConfig(log, cicadaseam.Locality{Deployment: "georgia-east", Zone: "atl-north"})
//	go cfg.Run(ctx)
//	decision, err := cfg.Publish(ctx, change)
//	value, _ := cfg.Setting("status-portal", "passenger", "deadline")
//
// examples/embed has a program for each part, in a module of its own.
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

// NewMemoryLog returns an in-memory log for tests and experiments.
func NewMemoryLog() cicadaseam.Log { return logstore.New() }

// NewLogClient returns a client of the platform's log at a URL.
func NewLogClient(url string) cicadaseam.Log { return logclient.New(url) }

// NewBalancer returns a Picker for callers at a locality. It is a pure state machine: the same
// seed and events give the same choices.
func NewBalancer(locality cicadaseam.Locality, seed uint64) cicadaseam.Picker {
	return balance.New(locality, rand.New(rand.NewPCG(seed, seed)))
}

// Config is the configuration of one process. It is safe for concurrent use.
type Config struct {
	log       cicadaseam.Log
	locality  cicadaseam.Locality
	store     *store.Store
	publisher *publish.Publisher
}

const (
	// readLimit bounds the records of one read, and readWait how long a read waits for the
	// first of them.
	readLimit = 500
	readWait  = time.Second
	// The delay after a failed read is drawn at random between 0 and a bound. The bound is
	// minBackoff after the first failure, doubles with each further one, and is at most
	// maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// NewConfig returns a Config that has not read any record yet.
func NewConfig(log cicadaseam.Log, locality cicadaseam.Locality) *Config {
	s := store.New(locality)
	return &Config{log: log, locality: locality, store: s, publisher: publish.New(log, s)}
}

// Run reads the log and applies its records until the context ends. After an error it waits
// for a capped exponential backoff with full jitter.
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
		wait.Sleep(ctx, wait.Backoff(rand.Int64N, failures, minBackoff, maxBackoff))
		failures++
	}
}

// Publish publishes a change and returns the decision on it. If the verdict is unknown, call
// Publish again with the same change id to learn it.
func (c *Config) Publish(ctx context.Context, change cicadaseam.Change) (cicadaseam.Decision, error) {
	return c.publisher.Publish(ctx, change)
}

// Version returns the version of the current table.
func (c *Config) Version() cicadaseam.Offset { return c.store.Table().Version }

// Changed returns a channel that is closed when the next record is applied.
func (c *Config) Changed() <-chan struct{} { return c.store.Changed() }

// Setting returns the effective value of a setting for a service and class at the locality of
// this process, and the path of the scope that sets it.
func (c *Config) Setting(service, class, key string) (value, scope string, ok bool) {
	t, _ := c.store.Tree()
	target := tree.ScopeTarget{Deployment: c.locality.Deployment, Zone: c.locality.Zone, Service: service, Class: class}
	for _, s := range t.Explain(target) {
		if s.Key == key {
			return s.Value, s.Scope, true
		}
	}
	return "", "", false
}
