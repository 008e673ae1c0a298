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

func (f *fleet) operate(method, path, token, body string) int {
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

func TestOperatorsNeedTheToken(t *testing.T) {
	withFleet(t, 3, 60, func(f *fleet) {
		for _, path := range []string{"/v1/tree", "/v1/fleet", "/v1/progress?version=1", "/v1/metrics", "/v1/burn", "/v1/config", "/v1/health"} {
			require.Equal(t, 401, f.operate("GET", path, "", ""), path)
			require.Equal(t, 401, f.operate("GET", path, "wrong", ""), path)
			require.Equal(t, 200, f.operate("GET", path, "secret", ""), path)
		}
		change := `{"id":"x","base":1,"edits":[{"path":"scope:*","key":"retries","value":"1"}]}`
		require.Equal(t, 401, f.operate("POST", "/v1/changes", "", change))
		_, version := f.hosts[0].node.Store().Tree()
		require.Equal(t, 200, f.operate("POST", "/v1/changes", "secret", change))
		_, after := f.hosts[0].node.Store().Tree()
		require.Equal(t, version+1, after)
		require.Equal(t, 400, f.operate("POST", "/v1/changes", "secret", `{"edit":[]}`), "an unknown field")
	}, func(s *node.Settings) { s.Token = "secret" })
}

func (f *fleet) progress(version cicadaseam.Offset) api.Progress {
	resp, err := f.client.Get(fmt.Sprintf("http://%s:8082/v1/progress?version=%d", f.hosts[0].ip, version))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	var p api.Progress
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&p))
	return p
}

// Watching a version come costs the asked node no more than control may use
// (30 KB/s a node), though it asks every other node.
func TestWatchingAVersionIsCheap(t *testing.T) {
	const target = 30 << 10 // bytes a second
	withFleet(t, 24, 62, func(f *fleet) {
		watcher := f.hosts[0].node
		f.net.Partition(f.hosts[0].ip, f.hosts[5].ip)
		d := f.publish(f.hosts[0], "4s")
		const looks = 20
		var p api.Progress
		for range looks {
			p = f.progress(d.Version)
			time.Sleep(500 * time.Millisecond)
		}
		require.Equal(t, 24, p.Total)
		require.Equal(t, 23, p.Reached)
		require.Equal(t, []string{f.hosts[5].ip}, p.Behind)
		bytes := watcher.Metrics().Value("link.bytes.status")
		f.net.HealAll()
		require.True(t, f.eventually(30*time.Second, func() bool {
			p = f.progress(d.Version)
			return p.Reached == p.Total
		}))
		t.Logf("%d bytes in %d looks, 23 nodes asked", bytes, looks)
		require.Positive(t, bytes)
		// Twice a second, as cicadaseam publish --wait does.
		require.Less(t, bytes*719/23*2/looks, int64(target))
	})
}

func TestProgressNeedsAVersion(t *testing.T) {
	withFleet(t, 3, 63, func(f *fleet) {
		require.Equal(t, 400, f.operate("GET", "/v1/progress", "", ""))
		require.Equal(t, 400, f.operate("GET", "/v1/progress?version=-1", "", ""))
	})
}

func TestBadAnnouncementIsRefused(t *testing.T) {
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

// A node counts as having a version once it takes calls with it, so that what an
// operator waited for is in force.
func TestVersionIsInForceOnlyWhereCallsAreTaken(t *testing.T) {
	withFleet(t, 6, 64, func(f *fleet) {
		d := f.publish(f.hosts[0], "4s")
		require.True(t, f.eventually(30*time.Second, func() bool {
			p := f.progress(d.Version)
			return p.Reached == p.Total
		}))
		h := f.hosts[2]
		f.kill(h)
		f.start(h, 99)
		id := h.node.ID()
		met := false
		for range 5000 {
			_, known := f.hosts[0].node.Member(id)
			if p := f.progress(d.Version); known && p.Reached == p.Total {
				met = true
				require.True(t, isReady(h.node))
				break
			}
			time.Sleep(time.Millisecond)
		}
		require.True(t, met)
	})
}
