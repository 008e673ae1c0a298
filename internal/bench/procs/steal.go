package procs

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// stealField is the index of the steal time in the first line of /proc/stat.
const stealField = 8

// StealTime returns the steal time of all processors since this machine started, the time that
// they were ready to run while the hypervisor ran other virtual machines. It is 0 where the
// kernel does not report it.
func StealTime() time.Duration {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	fields := strings.Fields(line)
	if len(fields) <= stealField || fields[0] != "cpu" {
		return 0
	}
	ticks, err := strconv.ParseInt(fields[stealField], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ticks) * clockTick
}
