package node_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

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
		for _, path := range []string{"/v1/tree", "/v1/fleet", "/v1/metrics", "/v1/burn", "/v1/config", "/v1/health"} {
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
