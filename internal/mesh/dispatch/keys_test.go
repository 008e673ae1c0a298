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
	"github.com/cicadaseam/cicadaseam/internal/mesh/keys"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// proofs is a KeyProofs with a fixed result.
type proofs struct{ check keys.Check }

func (p *proofs) Check() keys.Check { return p.check }

func keyedTable(t *testing.T, number uint64, key string) *route.Table {
	table, err := route.New(&cicadaseam.Revision{
		RevisionID: cicadaseam.RevisionID{Number: number},
		Routes:     []cicadaseam.MeshRoute{{Name: "r", Host: "a.example", PathPrefix: "/x/", Idempotent: true, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 2, TrafficSplit: []cicadaseam.WeightedService{{Service: "desk", Weight: 1}}}},
		Customers:  []cicadaseam.Customer{{Name: "c1", KeyHashes: []cicadaseam.KeyHash{sha256.Sum256([]byte(key))}}},
	})
	require.NoError(t, err)
	return table
}

// Guards against a request that is sent although its key cannot be checked, or was revoked between
// two attempts, and against 401 for a key that a later version may have.
func TestKeysAreCheckedBeforeEachAttempt(t *testing.T) {
	all := keys.Check{Accept: true, Reject: true}
	for _, tt := range []struct {
		name          string
		check         keys.Check
		authorization string
		between       func(m *fakeMesh, p *proofs) // the first and the second attempt
		status, sent  int
		reason        cicadaseam.Reason
	}{
		{"current", all, "Bearer k1", nil, 200, 2, cicadaseam.ReasonNone},
		{"no proof", keys.Check{}, "Bearer k1", nil, 503, 0, cicadaseam.ReasonKeysOutdated},
		{"no proof, unknown key", keys.Check{}, "Bearer k2", nil, 503, 0, cicadaseam.ReasonKeysOutdated},
		{"no proof, no key", keys.Check{}, "Basic k1", nil, 401, 0, cicadaseam.ReasonUnknownKey},
		{"old proof, unknown key", keys.Check{Accept: true}, "Bearer k2", nil, 503, 0, cicadaseam.ReasonKeysOutdated},
		{"old proof", keys.Check{Accept: true}, "Bearer k1", nil, 200, 2, cicadaseam.ReasonNone},
		{"unknown key", all, "Bearer k2", nil, 401, 0, cicadaseam.ReasonUnknownKey},
		{"proof lost between attempts", all, "Bearer k1", func(_ *fakeMesh, p *proofs) { p.check = keys.Check{} }, 503, 1, cicadaseam.ReasonKeysOutdated},
		{"key revoked between attempts", all, "Bearer k1", func(m *fakeMesh, _ *proofs) { m.table = keyedTable(t, 2, "k2") }, 503, 1, cicadaseam.ReasonUnknownKey},
		{"new version with the key between attempts", all, "Bearer k1", func(m *fakeMesh, _ *proofs) { m.table = keyedTable(t, 2, "k1") }, 200, 2, cicadaseam.ReasonNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, p, recorder := newFakeMesh(t, true), &proofs{tt.check}, &replyRecorder{}
			m.table = keyedTable(t, 1, "k1")
			m.add("a", full)
			m.add("b", ran)
			m.answers["a"] = func(*cicadaseam.MeshCall) *cicadaseam.MeshAnswer {
				if tt.between != nil {
					tt.between(m, p)
				}
				return &full
			}
			d := New("self", "north", "portal", m, m, noLocal{}, m, rand.New(rand.NewPCG(1, 1)), WithKeyProofs(p), WithObserver(recorder))
			r := &Request{Method: "GET", Host: "a.example", Path: "/x/1", RequestURI: "/x/1", Header: http.Header{"Authorization": {tt.authorization}}, Arrived: time.Now()}
			reply := d.Serve(context.Background(), r)
			require.Equal(t, tt.status, reply.Status)
			require.Len(t, m.attempts(), tt.sent)
			require.Equal(t, tt.reason, recorder.stats[0].Reason)
		})
	}
}
