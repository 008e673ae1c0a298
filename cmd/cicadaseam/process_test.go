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
)

// The processes below use real time; nothing is judged by how long it takes.
const patience = 30 * time.Second

// binary is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cicadaseam")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cicadaseam")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary folder
	os.Exit(code)
}

// process is a running command.
type process struct {
	cmd  *exec.Cmd
	logs bytes.Buffer
	mu   sync.Mutex
}

// Write implements io.Writer for the log lines.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(b)
}

func (p *process) text() string {
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
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have ended
	if args[0] == "node" {
		return p, ""
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err, p.text())
	go func() { _, _ = io.Copy(io.Discard, out) }() // until the process ends
	return p, line
}

// run runs a command to its end.
func run(t *testing.T, want int, args ...string) string {
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	code := 0
	if exit, ok := err.(*exec.ExitError); ok {
		code = exit.ExitCode()
	}
	require.Equal(t, want, code, "cicadaseam %s: %s", strings.Join(args, " "), out)
	return string(out)
}

// freeAddrs returns loopback addresses that were free a moment ago.
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.Fail(t, "it did not happen: "+what)
}

type testNode struct {
	*process
	calls, backend, operator string
}

func startNode(t *testing.T, i int, logURL string) testNode {
	a := freeAddrs(t, 4)
	text := fmt.Sprintf("[node]\nname = node-%d\nregion = us-southeast\ndeployment = georgia-east\nzone = atl-%s\n"+
		"[listen]\ncalls = %s\nlinks = %s\nbackend = %s\noperator = %s\n[log]\nurl = %s\n",
		i, []string{"north", "south", "east"}[i], a[0], a[1], a[2], a[3], logURL)
	file := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p, _ := start(t, "node", file)
	return testNode{process: p, calls: "http://" + a[0], backend: "http://" + a[2], operator: "http://" + a[3]}
}

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

func TestProcesses(t *testing.T) {
	_, line := start(t, "logd", "--listen", "127.0.0.1:0")
	logURL := "http://" + regexp.MustCompile(`\S+$`).FindString(strings.TrimSpace(line))
	var nodes []testNode
	for i := range 3 {
		n := startNode(t, i, logURL)
		nodes = append(nodes, n)
		eventually(t, "the backend address answers", func() bool {
			status, _ := get(n.backend+"/", "")
			return status > 0
		})
		start(t, "backend", "--service", "status-portal", "--node", n.backend, "--service-time", "20ms")
	}
	out := run(t, 0, "publish", "../../examples/peachtree.ini", "--wait", "--node", nodes[0].operator, "--id", "the-tree")
	require.Contains(t, out, "verdict  accepted")
	require.Contains(t, out, "at version 1 or past it")
	out = run(t, 0, "publish", "../../examples/peachtree.ini", "--node", nodes[1].operator, "--id", "the-tree")
	require.Contains(t, out, "version  1\nverdict  accepted", "the same id has the same verdict")
	eventually(t, "all nodes know all backend servers", func() bool {
		for _, n := range nodes {
			_, fleet := get(n.operator+"/v1/fleet", "")
			if strings.Count(fleet, `"state":"ready"`) != 3 {
				return false
			}
		}
		return true
	})
	checkCommands(t, nodes[0])
	drainUnderCalls(t, nodes)
}

// checkCommands runs each command of an operator and a caller once.
func checkCommands(t *testing.T, n testNode) {
	eventually(t, "calls are answered", func() bool {
		status, _ := get(n.calls+"/status/claim", "passenger-token")
		return status == 200
	})
	require.Contains(t, run(t, 0, "call", "/status/claim", "--token", "passenger-token", "--node", n.calls), "outcome  ran")
	require.Contains(t, run(t, 0, "call", "/status/claim", "--token", "passenger-token", "--node", n.calls, "--count", "50", "--parallel", "5"), "50  200 ran")
	require.Contains(t, run(t, 1, "call", "/status/claim", "--token", "wrong", "--node", n.calls), "no-credential")
	require.Contains(t, run(t, 0, "status", "--node", n.operator), "node-2")
	require.Regexp(t, `deadline +1s +scope:georgia-east/\*/status-portal`, run(t, 0, "config", "--node", n.operator, "--zone", "atl-north", "--service", "status-portal"))
	require.Contains(t, run(t, 1, "config", "--node", n.operator, "--service", "nothing"), `there is no service "nothing"`)
	require.Regexp(t, `status-portal +passenger`, run(t, 0, "report", "--node", n.operator))
	require.Contains(t, run(t, 0, "report", "--node", n.operator, "--format", "html"), "<!DOCTYPE html>")
	require.Contains(t, run(t, 0, "settings"), "[member]")
	bad := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[scope:*]\nretries = 9\n[route:x]\nprefix = /x\nservice = none\n"), 0o600))
	out := run(t, 1, "publish", bad, "--node", n.operator)
	require.Contains(t, out, "bad.ini:2: scope:* retries: 9 is outside 0 to 5")
	require.Contains(t, out, `bad.ini:5: route:x service: there is no service "none"`)
	require.Contains(t, run(t, 1, "node", bad), "[node] name: required key is missing")
	run(t, 2, "publish")
	run(t, 2, "demo", "--seconds", "0")
	require.Contains(t, run(t, 0, "--help"), "exit codes: 0 done, 1 failed, 2 bad use")
}

// drainUnderCalls ends one node by SIGTERM while calls are in flight through
// the others, which use its backend server too.
func drainUnderCalls(t *testing.T, nodes []testNode) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	bad := map[string]int{}
	good := 0
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				status, body := get(nodes[i%2].calls+"/status/claim", "passenger-token")
				mu.Lock()
				if status == 200 {
					good++
				} else {
					bad[body]++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, nodes[2].cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, nodes[2].cmd.Wait(), nodes[2].text())
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	require.Empty(t, bad, "nothing in flight is cut")
	require.Positive(t, good)
	require.Contains(t, nodes[2].text(), `"msg":"drained"`)
}
