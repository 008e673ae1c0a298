package dispatch

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/quota"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// fakeQuota gives a fixed decision and counts.
type fakeQuota struct {
	decision           quota.Decision
	acquired, returned int
}

func (q *fakeQuota) Acquire(_ context.Context, c *cicadaseam.Customer) quota.Decision {
	if c == nil {
		return quota.Decision{OK: true}
	}
	q.acquired++
	return q.decision
}

func (q *fakeQuota) Return(c *cicadaseam.Customer, _ quota.Decision) {
	if c != nil {
		q.returned++
	}
}

// nestedLocal runs the request "outer" at its backend server.
type nestedLocal struct{ noLocal }

func (nestedLocal) Running(id string) (running, isRetry bool) { return id == "outer", false }

// A request takes one token however many targets it tries, and returns it once if it did not run.
// Nested calls take none. A request without a token reaches no target.
func TestTokensOfARequest(t *testing.T) {
	granted := quota.Decision{OK: true}
	tests := []struct {
		name               string
		decision           quota.Decision
		id                 string
		targets            []cicadaseam.MeshAnswer
		status             int
		acquired, returned int
		retryAfter         string
	}{
		{"served", granted, "q1", []cicadaseam.MeshAnswer{ran}, 200, 1, 0, ""},
		{"served at the second target", granted, "q1", []cicadaseam.MeshAnswer{full, ran}, 200, 1, 0, ""},
		{"no capacity at three targets", granted, "q1", []cicadaseam.MeshAnswer{full, full, full}, 503, 1, 1, ""},
		{"failed at a backend server", granted, "q1", []cicadaseam.MeshAnswer{failure, full}, 500, 1, 0, ""},
		{"may have run", granted, "q1", []cicadaseam.MeshAnswer{lost, full}, 502, 1, 0, ""},
		{"nested call", quota.Decision{}, "outer.1", []cicadaseam.MeshAnswer{ran}, 200, 0, 0, ""},
		{"over the quota", quota.Decision{RetryAfter: 1234567 * time.Microsecond}, "q1", []cicadaseam.MeshAnswer{ran}, 429, 1, 0, "1.235"},
		{"not joined yet", quota.Decision{NotReady: true, RetryAfter: 500 * time.Millisecond}, "q1", []cicadaseam.MeshAnswer{ran}, 503, 1, 0, "0.500"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newFakeMesh(t, true)
			table, err := route.New(&cicadaseam.Revision{
				RevisionID: cicadaseam.RevisionID{Number: 1}, Routes: []cicadaseam.MeshRoute{*m.table.Find("a.example", "/x/1")},
				Customers: []cicadaseam.Customer{{Name: "c1", Rate: 1, KeyHashes: []cicadaseam.KeyHash{sha256.Sum256([]byte("k"))}}},
			})
			require.NoError(t, err)
			m.table = table
			for i, a := range tt.targets {
				m.add(string(rune('a'+i)), a)
			}
			q := &fakeQuota{decision: tt.decision}
			d := New("self", "north", "portal", m, m, nestedLocal{}, m, rand.New(rand.NewPCG(1, 1)), WithQuota(q),
				WithRetryBudget(NewRetryBudget(time.Now().Add(-time.Minute), RetryBudgetConfig{Ratio: 1, Slack: 100, Window: 10 * time.Second})))
			r := &Request{Method: "POST", Host: "a.example", Path: "/x/1", RequestURI: "/x/1", Header: http.Header{}, Arrived: time.Now()}
			r.Header.Set("Authorization", "Bearer k")
			r.Header.Set(d.Headers.RequestID, tt.id)
			reply := d.Serve(context.Background(), r)
			require.Equal(t, tt.status, reply.Status)
			require.Equal(t, tt.acquired, q.acquired)
			require.Equal(t, tt.returned, q.returned)
			if tt.retryAfter != "" {
				require.Equal(t, []cicadaseam.Header{{Name: "Retry-After", Value: tt.retryAfter}}, reply.Headers)
				require.Empty(t, m.attempts())
			}
		})
	}
}
