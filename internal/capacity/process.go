package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the kernel's USER_HZ, the unit of /proc/PID/stat.
const ticksPerSecond = 100

var errStat = errors.New("capacity: unreadable process statistics")

// Process is what the system says of the daemon's process at one moment.
type Process struct {
	CPUSeconds float64 `json:"cpu_seconds"` // user and system, in steps of 10 ms
	RSSBytes   int64   `json:"rss_bytes"`
}

func readProcess(pid int) (Process, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Process{}, err
	}
	cpu, err := cpuOf(string(stat))
	if err != nil {
		return Process{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Process{}, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return Process{}, errStat
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return Process{CPUSeconds: cpu, RSSBytes: pages * int64(os.Getpagesize())}, err
}

// cpuOf reads utime and stime, fields 14 and 15. The name in field 2 may hold
// blanks and
// brackets, so the fields are counted from the last bracket.
func cpuOf(stat string) (float64, error) {
	end := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[end+1:])
	if end < 0 || len(fields) < 13 {
		return 0, errStat
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return float64(user+system) / ticksPerSecond, errors.Join(err1, err2)
}

// Memory is the daemon's own count, from /debug/vars.
type Memory struct {
	Mallocs    uint64 // objects allocated since the start
	TotalAlloc uint64 // bytes allocated since the start
	HeapAlloc  uint64 // bytes of live and not yet swept objects
	NumGC      uint32
}

func readMemory(ctx context.Context, adminURL, token string) (Memory, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL+"/debug/vars", nil)
	if err != nil {
		return Memory{}, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Memory{}, err
	}
	defer response.Body.Close()
	var vars struct {
		Memory Memory `json:"memstats"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return Memory{}, fmt.Errorf("capacity: /debug/vars: %w", err)
	}
	return vars.Memory, nil
}
