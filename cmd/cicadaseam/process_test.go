package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam/internal/fake/program"
)

// eventTimeout bounds the wait for each expected event. The processes run in real time, so the
// tests check only that events happen, not how long they take.
const eventTimeout = 30 * time.Second

// binary is the path of the command, which TestMain builds once.
var binary string

func TestMain(m *testing.M) { os.Exit(program.Main(m, "cicadaseam", &binary)) }

// process is a running command and what it wrote to standard error, and to standard output
// if it is a node.
type process struct {
	cmd  *exec.Cmd
	logs bytes.Buffer
	mu   sync.Mutex
}

// Write implements io.Writer and collects the output of the command.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(b)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// start starts a command and returns it with its first line of output.
func start(t *testing.T, args ...string) (*process, string) {
	p := &process{cmd: exec.Command(binary, args...)}
	p.cmd.Stderr = p
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have exited
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err, p.logText())
	go func() { _, _ = io.Copy(io.Discard, out) }() // until the process ends
	return p, line
}

// run runs a command to its end, requires its exit code and returns its output.
func run(t *testing.T, wantCode int, args ...string) string {
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	code := 0
	if exitErr, ok := err.(*exec.ExitError); ok {
		code = exitErr.ExitCode()
	}
	require.Equal(t, wantCode, code, "cicadaseam %s: %s", strings.Join(args, " "), out)
	return string(out)
}

// freeAddrs returns loopback addresses that were free when it looked.
func freeAddrs(t *testing.T, n int) []string {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// eventually waits until the condition holds and fails the test after eventTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.Fail(t, "condition not met in time: "+what)
}

// testNode is a node process, its settings and the URLs of its addresses.
type testNode struct {
	*process
	file                             string
	callURL, backendURL, operatorURL string
}

// startNode starts a node with settings of its own in a zone of its own. Its standard output
// is written to out, or else collected.
func startNode(t *testing.T, i int, logURL, level string, out io.Writer) testNode {
	n := newNode(t, i, logURL, level)
	n.start(t, binary, out)
	return n
}

// newNode writes the settings of a node.
func newNode(t *testing.T, i int, logURL, level string) testNode {
	addrs := freeAddrs(t, 4)
	text := fmt.Sprintf("[node]\nname = node-%d\nregion = us-southeast\ndeployment = georgia-east\nzone = atl-%s\n"+
		"[listen]\ncalls = %s\nlinks = %s\nbackend = %s\noperator = %s\n[log]\nurl = %s\n[logging]\nlevel = %s\n",
		i, []string{"north", "south", "east"}[i], addrs[0], addrs[1], addrs[2], addrs[3], logURL, level)
	file := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return testNode{file: file, callURL: "http://" + addrs[0], backendURL: "http://" + addrs[2], operatorURL: "http://" + addrs[3]}
}

// start starts the process of a node with a program.
func (n *testNode) start(t *testing.T, program string, out io.Writer) {
	p := &process{cmd: exec.Command(program, "node", n.file)}
	p.cmd.Stderr, p.cmd.Stdout = p, p
	if out != nil {
		p.cmd.Stdout = out
	}
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have exited
	n.process = p
}

// get makes a request with a bearer token and returns the status and the body; the status is 0
// and the body the error where there is no response.
func get(url, token string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// TestProcesses runs the log, three nodes and their backend servers as processes of the built
// command, publishes a configuration, runs the commands of operators and callers, and drains a
// node under load.
func TestProcesses(t *testing.T) {
	_, firstLine := start(t, "logd", "--listen", "127.0.0.1:0")
	logURL := "http://" + regexp.MustCompile(`\S+$`).FindString(strings.TrimSpace(firstLine))
	var nodes []testNode
	for i := range 3 {
		n := startNode(t, i, logURL, "info", nil)
		nodes = append(nodes, n)
		eventually(t, "the backend address answers", func() bool {
			status, _ := get(n.backendURL+"/", "")
			return status > 0
		})
		start(t, "backend", "--service", "status-portal", "--node", n.backendURL, "--service-time", "20ms")
	}
	out := run(t, 0, "publish", "../../examples/peachtree.ini", "--wait", "--node", nodes[0].operatorURL, "--id", "the-tree")
	require.Contains(t, out, "verdict  accepted")
	require.Contains(t, out, "at version 1 or past it")
	out = run(t, 0, "publish", "../../examples/peachtree.ini", "--node", nodes[1].operatorURL, "--id", "the-tree")
	require.Contains(t, out, "version  1\nverdict  accepted", "publishing an id again returns the first verdict")
	eventually(t, "all nodes know all backend servers", func() bool {
		for _, n := range nodes {
			_, fleet := get(n.operatorURL+"/v1/fleet", "")
			if strings.Count(fleet, `"state":"ready"`) != 3 {
				return false
			}
		}
		return true
	})
	checkCommands(t, nodes[0])
	drainUnderLoad(t, nodes)
}

// checkCommands runs the commands for operators and callers against a node and checks their
// output and exit codes.
func checkCommands(t *testing.T, n testNode) {
	eventually(t, "calls are answered", func() bool {
		status, _ := get(n.callURL+"/status/claim", "passenger-token")
		return status == 200
	})
	require.Contains(t, run(t, 0, "call", "/status/claim", "--token", "passenger-token", "--node", n.callURL), "outcome  ran")
	require.Contains(t, run(t, 0, "call", "/status/claim", "--token", "passenger-token", "--node", n.callURL, "--count", "50", "--parallel", "5"), "50  200 ran")
	require.Contains(t, run(t, 1, "call", "/status/claim", "--token", "wrong", "--node", n.callURL), "no-credential")
	require.Contains(t, run(t, 0, "status", "--node", n.operatorURL), "node-2")
	require.Regexp(t, `deadline +1s +scope:georgia-east/\*/status-portal`, run(t, 0, "config", "--node", n.operatorURL, "--zone", "atl-north", "--service", "status-portal"))
	require.Contains(t, run(t, 1, "config", "--node", n.operatorURL, "--service", "nothing"), `there is no service "nothing"`)
	require.Regexp(t, `status-portal +passenger`, run(t, 0, "report", "--node", n.operatorURL))
	require.Contains(t, run(t, 0, "report", "--node", n.operatorURL, "--format", "html"), "<!DOCTYPE html>")
	require.Contains(t, run(t, 0, "settings"), "[member]")
	bad := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[scope:*]\nretries = 9\n[route:x]\nprefix = /x\nservice = none\n"), 0o600))
	out := run(t, 1, "publish", bad, "--node", n.operatorURL)
	require.Contains(t, out, "bad.ini:2: scope:* retries: 9 is outside 0 to 5")
	require.Contains(t, out, `bad.ini:5: route:x service: there is no service "none"`)
	require.Contains(t, run(t, 1, "node", bad), "[node] name: required key is missing")
	run(t, 2, "publish")
	run(t, 2, "demo", "--seconds", "0")
	require.Contains(t, run(t, 0, "--help"), "exit codes: 0 done, 1 failed, 2 bad use")
}

// drainUnderLoad ends a node with SIGTERM while the other nodes send calls, some of them to its
// backend server, and requires that every call succeeds.
func drainUnderLoad(t *testing.T, nodes []testNode) {
	callers := startCallers(nodes[:2])
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, nodes[2].cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, nodes[2].cmd.Wait(), nodes[2].logText())
	time.Sleep(300 * time.Millisecond)
	callers.stop(t)
	require.Contains(t, nodes[2].logText(), `"msg":"drained"`)
}

// callers call through nodes, one call after another each.
type callers struct {
	ended chan struct{}
	wg    sync.WaitGroup

	mu        sync.Mutex
	succeeded int
	failures  map[string]int // by response body
}

// startCallers starts eight callers.
func startCallers(nodes []testNode) *callers {
	c := &callers{ended: make(chan struct{}), failures: map[string]int{}}
	for i := range 8 {
		c.wg.Add(1)
		go c.run(nodes[i%len(nodes)].callURL + "/status/claim")
	}
	return c
}

func (c *callers) run(url string) {
	defer c.wg.Done()
	for {
		select {
		case <-c.ended:
			return
		default:
		}
		status, body := get(url, "passenger-token")
		c.mu.Lock()
		if status == 200 {
			c.succeeded++
		} else {
			c.failures[body]++
		}
		c.mu.Unlock()
	}
}

// stop ends the callers and requires that every call succeeded.
func (c *callers) stop(t *testing.T) {
	close(c.ended)
	c.wg.Wait()
	require.Empty(t, c.failures, "no call fails")
	require.Positive(t, c.succeeded)
}

// A node whose log nobody reads still answers its calls. Its lines at level debug fill the
// pipe, to which a write then blocks.
func TestUnreadLogBlocksNoCall(t *testing.T) {
	const calls = 3000 // their lines do not fit into a pipe of 64 KiB
	_, firstLine := start(t, "logd", "--listen", "127.0.0.1:0")
	logURL := "http://" + regexp.MustCompile(`\S+$`).FindString(strings.TrimSpace(firstLine))
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	n := startNode(t, 0, logURL, "debug", writer)
	eventually(t, "the backend address answers", func() bool {
		status, _ := get(n.backendURL+"/", "")
		return status > 0
	})
	start(t, "backend", "--service", "status-portal", "--node", n.backendURL)
	run(t, 0, "publish", "../../examples/peachtree.ini", "--wait", "--node", n.operatorURL)
	eventually(t, "calls are answered", func() bool {
		status, _ := get(n.callURL+"/status/claim", "passenger-token")
		return status == 200
	})
	for i := range calls {
		status, body := get(n.callURL+"/status/claim", "passenger-token")
		require.Equal(t, 200, status, "call %d: %s", i, body)
	}
}
