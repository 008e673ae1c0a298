package procs

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times that the kernel shows.
const clockTick = 10 * time.Millisecond

// stealField is the place of the stolen time in the first line of /proc/stat.
const stealField = 8

// Lost returns the time that processors of this machine were ready to work and
// the host let others run, since it started; 0 where the kernel does not tell.
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
