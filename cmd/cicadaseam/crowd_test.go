package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/fake/crowd"
)

// crowdMemory is the memory in bytes of the smallest machine, 184 MB.
const crowdMemory = 184 << 20

// crowdedNode is a node process that serves calls, and whose memory is sampled.
type crowdedNode struct {
	testNode
	t     *testing.T
	usage *crowd.Usage
}

// startCrowdedNode starts a log, a node and its backend server, and waits until calls are answered.
func startCrowdedNode(t *testing.T) *crowdedNode {
	_, firstLine := start(t, "logd", "--listen", "127.0.0.1:0")
	logURL := "http://" + regexp.MustCompile(`\S+$`).FindString(strings.TrimSpace(firstLine))
	n := &crowdedNode{testNode: startNode(t, 0, logURL, "warn", nil), t: t}
	eventually(t, "the backend address answers", func() bool {
		status, _ := get(n.backendURL+"/", "")
		return status > 0
	})
	start(t, "backend", "--service", "status-portal", "--node", n.backendURL)
	run(t, 0, "publish", "../../examples/peachtree.ini", "--wait", "--node", n.operatorURL)
	eventually(t, "calls are answered", func() bool { return n.call() == http.StatusOK })
	n.usage = crowd.Watch(n.cmd.Process.Pid, address(n.callURL), address(n.backendURL), address(n.operatorURL))
	t.Cleanup(n.usage.Stop)
	return n
}

// address returns the address in a URL.
func address(url string) string { return strings.TrimPrefix(url, "http://") }

// call makes an ordinary call on a new connection and returns its status.
func (n *crowdedNode) call() int {
	client := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, n.callURL+"/status/claim", strings.NewReader(strings.Repeat("b", 4<<10)))
	require.NoError(n.t, err)
	req.Header.Set("Authorization", "Bearer passenger-token")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode
}

// startCrowd starts a crowd that leaves when the test ends.
func startCrowd(t *testing.T, url string, number int, send func(c *crowd.Client)) {
	c := crowd.Start(address(url), number, send)
	t.Cleanup(c.Leave)
}

// check requires that the node lives, answers an ordinary call and its operator, and has stayed within
// the memory.
func (n *crowdedNode) check() {
	n.usage.Settle()
	require.Equal(n.t, http.StatusOK, n.call(), "an ordinary call: %s", n.logText())
	client := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(n.operatorURL + "/v1/health")
	require.NoError(n.t, err, "the operator's request")
	_ = resp.Body.Close() // only the status matters
	require.Equal(n.t, http.StatusOK, resp.StatusCode)
	memory, descriptors := n.usage.Peaks()
	n.t.Logf("at most %s, and %d descriptors", memory, descriptors)
	require.LessOrEqual(n.t, memory.Total()>>20, crowdMemory>>20, "MB, with what the kernel holds unread")
}

// crowdHead returns the head of a request with further header lines.
func crowdHead(path, lines string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer passenger-token\r\n" + lines + "\r\n"
}

// Guards against bodies within the limit that stop short of their end.
func TestCrowdOfUnfinishedCalls(t *testing.T) {
	n := startCrowdedNode(t)
	const size = 2 << 20
	body := strings.Repeat("b", size-1)
	startCrowd(t, n.callURL, 300, func(c *crowd.Client) {
		if c.Index%2 == 0 {
			c.Send(crowdHead("/claims/x", fmt.Sprintf("Content-Length: %d\r\n", size)) + body)
			return
		}
		c.Send(crowdHead("/claims/x", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n", size) + body)
	})
	n.check()
}

// Guards against heads of calls that take far more memory than their bytes once they are parsed.
func TestCrowdOfHeadsOfCalls(t *testing.T) {
	n := startCrowdedNode(t)
	fields := crowd.SmallestFields(900 << 10)
	legal := crowd.SmallestFields(15 << 10)
	startCrowd(t, n.callURL, 400, func(c *crowd.Client) {
		switch c.Index % 3 {
		case 0:
			c.Send(strings.TrimSuffix(crowdHead("/status/claim", fields), "\r\n"))
		case 1:
			c.Send(strings.TrimSuffix(crowdHead("/status/claim", legal), "\r\n"))
		default:
			c.Send(crowdHead("/status/claim", legal+"Content-Length: 10\r\n") + "b")
		}
	})
	n.check()
}

// Guards against the same heads at the addresses of the backend server and of the operator.
func TestCrowdOfHeadsAtTheOtherAddresses(t *testing.T) {
	n := startCrowdedNode(t)
	fields := crowd.SmallestFields(900 << 10)
	for _, url := range []string{n.backendURL, n.operatorURL} {
		startCrowd(t, url, 200, func(c *crowd.Client) {
			if c.Index%2 == 0 {
				c.Send(strings.TrimSuffix(crowdHead("/v1/changes", fields), "\r\n"))
				return
			}
			c.Send(crowdHead("/v1/changes", fields+"Content-Length: 10\r\n") + "b")
		})
	}
	n.check()
}

// Guards against connections that send nothing and are never closed.
func TestCrowdOfIdleCallers(t *testing.T) {
	n := startCrowdedNode(t)
	for _, url := range []string{n.callURL, n.backendURL, n.operatorURL} {
		startCrowd(t, url, 1500, func(*crowd.Client) {})
	}
	time.Sleep(time.Second) // they are accepted
	n.check()
}
