package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/fake/backend"
)

// Through every node a caller gets the answer to its own request.
func TestCallGetsItsOwnAnswer(t *testing.T) {
	withFleet(t, 6, 1, func(f *fleet) {
		for _, h := range f.hosts {
			r := f.call(h, "GET", "/status/claim", "passenger", backend.HeaderToken, "token-"+h.ip)
			require.Equal(t, 200, r.status, r)
			require.Equal(t, "ran", r.outcome)
			require.Equal(t, "token-"+h.ip, decodeEcho(t, r.body).Token)
		}
	})
}

// A call that is refused has the status and the reason of the refusal, and the outcome
// notrun.
func TestRefusals(t *testing.T) {
	withFleet(t, 3, 1, func(f *fleet) {
		cases := []struct {
			name, method, path, class string
			headers                   []string
			status                    int
			reason                    string
		}{
			{"unknown customer", "GET", "/status/x", "stranger", nil, 401, "no-credential"},
			{"unknown route", "GET", "/nothing", "passenger", nil, 404, "no-route"},
			{"method without route", "DELETE", "/status/x", "passenger", nil, 404, "no-route"},
			{"key that is no UUID", "POST", "/claims/file", "solicitor", []string{"Idempotency-Key", "abc"}, 400, "bad-key"},
			{"call loop", "GET", "/status/x", "passenger", []string{"Cicadaseam-Depth", "65"}, 508, "no-route"},
		}
		for _, c := range cases {
			r := f.call(f.hosts[0], c.method, c.path, c.class, c.headers...)
			require.Equal(t, c.status, r.status, c.name)
			require.Equal(t, c.reason, r.reason, c.name)
			require.Equal(t, "notrun", r.outcome, c.name)
		}
		big := f.callBody(f.hosts[0], "POST", "/claims/file", "solicitor", string(make([]byte, 5<<20)))
		require.Equal(t, 413, big.status)
		require.Contains(t, big.body, "over the limit of 4194304 bytes")
	})
}

// An accepted change takes effect at all nodes within 3 s.
func TestChangeTakesEffectEverywhere(t *testing.T) {
	withFleet(t, 12, 1, func(f *fleet) {
		d := f.publishDeadline(f.hosts[5], "4s")
		require.Equal(t, cicadaseam.VerdictAccepted, d.Verdict)
		require.True(t, f.eventually(3*time.Second, func() bool { return f.atVersion(d.Version) }))
	})
}

// An invalid change leaves the digest of the configuration stream unchanged.
func TestInvalidChangeIsAppliedNowhere(t *testing.T) {
	withFleet(t, 3, 1, func(f *fleet) {
		_, before := f.hosts[0].node.Store().Position()
		d := f.publishDeadline(f.hosts[0], "soon")
		require.Equal(t, cicadaseam.VerdictInvalid, d.Verdict)
		require.Contains(t, d.Faults[0].String(), `"soon" is not a duration`)
		time.Sleep(time.Second)
		_, after := f.hosts[0].node.Store().Position()
		require.Equal(t, before, after)
	})
}
