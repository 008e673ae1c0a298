package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/daemon/api"
	"github.com/cicadaseam/cicadaseam/internal/daemon/node"
)

// operatorRequest sends a request to the operator API of the first host and returns the
// status of the answer.
func (f *fleet) operatorRequest(method, path, token, body string) int {
	req, err := http.NewRequest(method, "http://"+f.hosts[0].ip+":8082"+path, strings.NewReader(body))
	require.NoError(f.t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := f.client.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	return resp.StatusCode
}

// Every path of the operator API needs the token, if one is set.
func TestOperatorsNeedTheToken(t *testing.T) {
	withFleet(t, 3, 60, func(f *fleet) {
		for _, path := range []string{"/v1/tree", "/v1/fleet", "/v1/progress?version=1", "/v1/metrics", "/v1/burn", "/v1/config", "/v1/health"} {
			require.Equal(t, 401, f.operatorRequest("GET", path, "", ""), path)
			require.Equal(t, 401, f.operatorRequest("GET", path, "wrong", ""), path)
			require.Equal(t, 200, f.operatorRequest("GET", path, "secret", ""), path)
		}
		change := `{"id":"x","base":1,"edits":[{"path":"scope:*","key":"retries","value":"1"}]}`
		require.Equal(t, 401, f.operatorRequest("POST", "/v1/changes", "", change))
		_, version := f.hosts[0].node.Store().Tree()
		require.Equal(t, 200, f.operatorRequest("POST", "/v1/changes", "secret", change))
		_, after := f.hosts[0].node.Store().Tree()
		require.Equal(t, version+1, after)
		require.Equal(t, 400, f.operatorRequest("POST", "/v1/changes", "secret", `{"edit":[]}`), "an unknown field")
	}, func(s *node.Settings) { s.Token = "secret" })
}

// progress gets the progress of a version from the first host.
func (f *fleet) progress(version cicadaseam.Offset) api.Progress {
	resp, err := f.client.Get(fmt.Sprintf("http://%s:8082/v1/progress?version=%d", f.hosts[0].ip, version))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	var p api.Progress
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&p))
	return p
}

// Polling the progress of a version costs the polled node less than its bound of control
// traffic (30 KB/s per node), although the node queries every other node.
func TestPollingProgressIsCheap(t *testing.T) {
	const maxRate = 30 << 10 // bytes per second
	withFleet(t, 24, 62, func(f *fleet) {
		polled := f.hosts[0].node
		f.net.Partition(f.hosts[0].ip, f.hosts[5].ip)
		d := f.publishDeadline(f.hosts[0], "4s")
		const polls = 20
		var p api.Progress
		for range polls {
			p = f.progress(d.Version)
			time.Sleep(500 * time.Millisecond)
		}
		require.Equal(t, 24, p.Total)
		require.Equal(t, 23, p.Reached)
		require.Equal(t, []string{f.hosts[5].ip}, p.Behind)
		bytes := polled.Metrics().Value("link.bytes.status")
		f.net.HealAll()
		require.True(t, f.eventually(30*time.Second, func() bool {
			p = f.progress(d.Version)
			return p.Reached == p.Total
		}))
		t.Logf("%d bytes for %d polls, 23 nodes queried", bytes, polls)
		require.Positive(t, bytes)
		// At two polls a second, as by cicadaseam publish --wait, in a fleet of 720 nodes.
		require.Less(t, bytes*719/23*2/polls, int64(maxRate))
	})
}

func TestProgressNeedsAVersion(t *testing.T) {
	withFleet(t, 3, 63, func(f *fleet) {
		require.Equal(t, 400, f.operatorRequest("GET", "/v1/progress", "", ""))
		require.Equal(t, 400, f.operatorRequest("GET", "/v1/progress?version=-1", "", ""))
	})
}

func TestInvalidAnnouncementIsRefused(t *testing.T) {
	withFleet(t, 3, 61, func(f *fleet) {
		for _, body := range []string{
			"", "{}", `{"service":"a","address":"x","slots":1,"connections":1}`,
			`{"service":"a","address":"10.0.0.1:1","slots":0,"connections":1}`,
			`{"service":"a","address":"10.0.0.1:1","slots":1,"connections":1,"weight":9}`,
		} {
			req, err := http.NewRequest(http.MethodPut, "http://"+f.hosts[0].ip+":8081/v1/backend", strings.NewReader(body))
			require.NoError(t, err)
			resp, err := f.client.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, 400, resp.StatusCode, body)
		}
		require.Equal(t, 200, f.call(f.hosts[0], "GET", "/status/claim", "passenger").status)
	})
}

// A node counts as having reached a version only once it answers calls by it, so that a
// change has taken effect everywhere when an operator has waited for it.
func TestProgressCountsOnlyReadyNodes(t *testing.T) {
	withFleet(t, 6, 64, func(f *fleet) {
		d := f.publishDeadline(f.hosts[0], "4s")
		require.True(t, f.eventually(30*time.Second, func() bool {
			p := f.progress(d.Version)
			return p.Reached == p.Total
		}))
		h := f.hosts[2]
		f.kill(h)
		f.start(h, 99)
		id := h.node.ID()
		complete := false
		for range 5000 {
			_, known := f.hosts[0].node.Member(id)
			if p := f.progress(d.Version); known && p.Reached == p.Total {
				complete = true
				require.True(t, isReady(h.node))
				break
			}
			time.Sleep(time.Millisecond)
		}
		require.True(t, complete)
	})
}
