package sidecar

import (
	"testing"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/base/pack/packtest"
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
	"github.com/cicadaseam/cicadaseam/internal/mesh/revision"
)

// Guards against a message or a record that the nodes of an earlier release cannot read, or read as
// something else, while old and new nodes run side by side.
func TestMessagesMatchTheSamplesOfReleases(t *testing.T) {
	load := cicadaseam.MeshLoad{InFlight: 5, Queued: 2, Slots: 6, LatencyPermille: 410, FailurePermille: 30, RateLimit: &cicadaseam.MeshRateLimit{Interval: 50 * time.Millisecond, Wait: 70 * time.Millisecond}}
	id := cicadaseam.RevisionID{Number: 40, Written: cicadaseam.Position{Epoch: 3, Offset: 17}}
	priority := 1
	route := cicadaseam.MeshRoute{Name: "r", Host: "a.example", PathPrefix: "/a/", Idempotent: true, Public: true, Timeout: 2 * time.Second, LatencyObjective: 600 * time.Millisecond, MaxAttempts: 2, Priority: 1, TrafficSplit: []cicadaseam.WeightedService{{Service: "desk", Weight: 3}}}
	customer := cicadaseam.Customer{Name: "c1", KeyHashes: []cicadaseam.KeyHash{{1, 2}}, Priority: &priority, Rate: 10.5, Burst: 3}
	limits := cicadaseam.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 65536, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	for name, message := range map[string]any{
		"call": &cicadaseam.MeshCall{
			ID: "q1", Method: "POST", Host: "a.example", RequestURI: "/a/b?c=d", Headers: []cicadaseam.Header{{Name: "Accept", Value: "*/*"}}, Body: []byte("body"),
			Service: "desk", Route: "r", Customer: "c1", Timeout: 2 * time.Second, MaxWait: 300 * time.Millisecond, LatencyBudget: 550 * time.Millisecond, LatencyObjective: 600 * time.Millisecond,
			Priority: 1, Nested: true, Late: true, CallerRetry: true, Idempotent: true, Fingerprint: 1 << 60, SenderID: 1 << 61, SentAt: time.Hour, Retry: true,
		},
		"answer": &cicadaseam.MeshAnswer{
			Outcome: cicadaseam.OutcomeRan, Status: 200, Headers: []cicadaseam.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("done"), Reason: cicadaseam.ReasonQueueFull,
			ReachedBackend: true, RetryAfter: time.Second, QueueTime: 20 * time.Millisecond, BackendTime: 160 * time.Millisecond, Load: load, CallRefused: true,
		},
		"revision-id": &id,
		"update": &revision.Update{
			Deltas: []revision.Delta{{From: id, To: cicadaseam.RevisionID{Number: 41}, Limits: limits, Changed: []cicadaseam.MeshRoute{route}, Removed: []string{"s"}, ChangedCustomers: []cicadaseam.Customer{customer}, RemovedCustomers: []string{"c2"}}},
			Full:   &cicadaseam.Revision{RevisionID: id, Routes: []cicadaseam.MeshRoute{route}, Limits: limits, Customers: []cicadaseam.Customer{customer}},
		},
		"departures":       &[]cicadaseam.Departure{{ID: "i-1", StartUnixMilli: 1700000000000}},
		"proof-query":      &keys.Query{Epoch: 3},
		"proof":            &keys.Answer{Revision: id, Proven: true, Age: 400 * time.Millisecond, Epoch: 3},
		"token-request":    &quota.Request{Customer: "c1", From: 7, Count: 1, Use: 9, Spent: 2, Held: 3, Returned: []uint32{4}, Known: 13, Handover: []quota.Level{{Customer: "c2", MilliTokens: 1500}}, HandoverShare: 250},
		"token-answer":     &quota.Answer{Status: quota.Granted, RetryAfterUS: 250, Token: 8, Reserve: 2, Age: quota.AgeSettled},
		"node-record":      &nodeRecord{Addr: "10.1.0.8:7620", Zone: "z1"},
		"departure-record": &departureRecord{StartUnixMilli: 1700000000000},
	} {
		t.Run(name, func(t *testing.T) { packtest.Check(t, name, message) })
	}
}
