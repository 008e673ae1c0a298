package crowd

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// samplePeriod is the time between two samples of a Usage.
	samplePeriod = 20 * time.Millisecond
	// maxSettleTime bounds the wait of Settle.
	maxSettleTime = 60 * time.Second
)

// Usage samples the memory and the descriptors of a process.
type Usage struct {
	pid       int
	listeners map[string]bool // local addresses as in /proc/net/tcp
	quit      chan struct{}
	wg        sync.WaitGroup

	mu          sync.Mutex
	memory      Memory // at the peak of their sum
	descriptors int    // peak
}

// Memory is what a process takes, in bytes.
type Memory struct {
	Resident int
	Unread   int // received by the kernel for the process, and not read by it
}

// Total returns the sum in bytes.
func (m Memory) Total() int { return m.Resident + m.Unread }

// String returns the parts in MB.
func (m Memory) String() string {
	return fmt.Sprintf("%d MB, of which %d are unread in the kernel", m.Total()>>20, m.Unread>>20)
}

// Watch starts to sample the process that listens on addresses.
func Watch(pid int, addrs ...string) *Usage {
	u := &Usage{pid: pid, listeners: map[string]bool{}, quit: make(chan struct{})}
	for _, addr := range addrs {
		u.listeners[kernelAddr(addr)] = true
	}
	u.wg.Add(1)
	go u.run()
	return u
}

// kernelAddr returns an address as /proc/net/tcp shows it.
func kernelAddr(addr string) string {
	a := netip.MustParseAddrPort(addr)
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", uint32(ip[0])|uint32(ip[1])<<8|uint32(ip[2])<<16|uint32(ip[3])<<24, a.Port())
}

func (u *Usage) run() {
	defer u.wg.Done()
	for {
		select {
		case <-u.quit:
			return
		case <-time.After(samplePeriod):
			u.sample()
		}
	}
}

// Stop ends the samples.
func (u *Usage) Stop() {
	close(u.quit)
	u.wg.Wait()
}

// sample updates the peaks.
func (u *Usage) sample() {
	memory := Memory{Resident: u.resident(), Unread: u.unread()}
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)) // none if the process has ended
	u.mu.Lock()
	defer u.mu.Unlock()
	if memory.Total() > u.memory.Total() {
		u.memory = memory
	}
	u.descriptors = max(u.descriptors, len(files))
}

// Peaks returns the most memory and the most descriptors of all samples.
func (u *Usage) Peaks() (memory Memory, descriptors int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.memory, u.descriptors
}

const (
	// settlePeriod is the time between two looks at the processor time of a process that settles, and
	// settleLooks the number of them in a row in which it used next to none.
	settlePeriod = 100 * time.Millisecond
	settleLooks  = 5
	// idleTicks is the processor time of a process without work between two looks, in clock ticks.
	idleTicks = 1
)

// Settle waits until the process has handled what it has received: it uses no more processor time, or
// maxSettleTime has passed.
func (u *Usage) Settle() {
	idle, last := 0, u.processorTime()
	for end := time.Now().Add(maxSettleTime); idle < settleLooks && time.Now().Before(end); {
		time.Sleep(settlePeriod)
		now := u.processorTime()
		if idle++; now-last > idleTicks {
			idle = 0
		}
		last = now
	}
}

// processorTime returns the processor time that the process has used, in clock ticks, or 0 if it has
// ended.
func (u *Usage) processorTime() (ticks int) {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.pid)) // empty if the process has ended
	_, rest, _ := strings.Cut(string(stat), ") ")
	const user, system = 11, 12 // fields behind the name
	if fields := strings.Fields(rest); len(fields) > system {
		for _, f := range fields[user : system+1] {
			n, _ := strconv.Atoi(f) // the kernel writes a number
			ticks += n
		}
	}
	return ticks
}

// resident returns the resident memory of the process in bytes, or 0 if it has ended.
func (u *Usage) resident() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid)) // empty if the process has ended
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0]) // the kernel writes a number
			return kb << 10
		}
	}
	return 0
}

// unread returns the bytes that the kernel has received on the connections of the process, and that
// the process has not read.
func (u *Usage) unread() (bytes int) {
	table, _ := os.ReadFile("/proc/net/tcp") // always readable
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		const established, closeWait = "01", "08"
		if len(fields) < 5 || !u.listeners[fields[1]] || fields[3] != established && fields[3] != closeWait {
			continue // the second queue of a listener is the number of connections
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes a number
		bytes += int(n)
	}
	return bytes
}
