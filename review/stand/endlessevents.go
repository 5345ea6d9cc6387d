//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// endlessLasting is for how long steps are asked for.
	endlessLasting = 90 * time.Second
	stepEvery      = 4 * time.Second
	// spoilingServers of nine spoil one answer of spoilEvery for spoilFor, again and again with
	// spoilPause between.
	spoilingServers = 5
	spoilEvery      = 34
	spoilFor        = 5900 * time.Millisecond
	spoilPause      = 4100 * time.Millisecond
	smallMemoryMB   = 164
	// memoryPolling is between two looks at a daemon's memory, restartPause before a process
	// that has ended starts again.
	memoryPolling = 20 * time.Millisecond
	restartPause  = 300 * time.Millisecond
	// endsOfMachine and machinesWithEnds break the rule.
	endsOfMachine    = 3
	machinesWithEnds = 2
)

// trainers are those of the sheet: a model, the groups of its steps and their size. They wait for
// 90% of the groups.
var trainers = []struct {
	model                string
	groups, size, wanted int
}{{"daka510000", 9, 8, 9}, {"rada7437b5", 20, 4, 18}, {"ravo486f6a", 19, 4, 18}}

// endlessEvents: some servers go on with empty events, without end, behind the last event of
// one answer in 34, for 5.9 s of every 10 s.
func endlessEvents(w *world, trouble bool) (bool, error) {
	w.memoryMB = smallMemoryMB
	var models []string
	for _, t := range trainers {
		models = append(models, t.model)
	}
	for i := range 9 {
		e, err := w.addEngine("huvo11a", models, eventTime, shortLength)
		if err != nil {
			return false, err
		}
		if trouble && i < spoilingServers {
			e.spoils = spoilSome()
		}
	}
	if err := w.configure(rolloutConfig(3, false, models...)); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	ends := make([]int, len(w.daemons))
	for i, d := range w.daemons {
		watching.Go(func() { ends[i] = d.limitMemory(stop) })
	}
	served, steps := 0, 0
	var training sync.WaitGroup
	var mu sync.Mutex
	until := time.Now().Add(endlessLasting)
	for i, t := range trainers {
		training.Go(func() {
			for n := 1; time.Now().Before(until); n++ {
				began := time.Now()
				s := w.newStep(fmt.Sprintf("e%d%03x", i, n), t.model, n, 1, t.groups, t.size, t.wanted)
				s.turn = i + n
				if s.submit(trainerPath) == nil {
					s.readUntil(s.first.Add(stepTimeLimit))
					s.end()
				}
				mu.Lock()
				steps++
				if s.completeGroups() >= s.wanted {
					served++
				}
				mu.Unlock()
				time.Sleep(time.Until(began.Add(stepEvery)))
			}
		})
	}
	training.Wait()
	close(stop)
	watching.Wait()
	machines := 0
	for i, d := range w.daemons {
		w.note("%s: %d processes went over the memory limit, the largest took %d MB", d.name, ends[i], d.peak>>20)
		if ends[i] >= endsOfMachine {
			machines++
		}
	}
	w.note("%d of %d steps served", served, steps)
	if !trouble && served < steps {
		return false, errors.New("steps aren't served without the disruption")
	}
	return machines >= machinesWithEnds, nil
}

// spoilSome returns what picks the answers that a server spoils. It is called under the server's lock.
func spoilSome() func() bool {
	began, answers := time.Now(), 0
	return func() bool {
		if time.Since(began)%(spoilFor+spoilPause) >= spoilFor {
			return false
		}
		answers++
		return answers%spoilEvery == 0
	}
}

// shortLength is the length of a short item.
func shortLength(item string) int { return 10 + itemLength(item)%20 }

// rolloutConfig is a desired state with one rollout route.
func rolloutConfig(version int, single bool, models ...string) map[string]any {
	var named []map[string]string
	for _, m := range models {
		named = append(named, map[string]string{"name": m})
	}
	return map[string]any{"version": version,
		"routes": []map[string]any{{"name": "r-i9n73hh", "host": routeHost, "path_prefix": trainerPath, "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "priority": 1,
			"service": "huvo11a", "max_attempts": 3, "retention_s": 40.0, "run_target_ms": 7500, "single_version": single, "sticky": true, "resumable": true}},
		"services": []map[string]any{{"name": "huvo11a", "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlots, "kv_cache_tokens": 99699, "kv_token_bytes": 18432, "link_mbps": 530000.0, "moves": true, "backups": true, "models": named}}}}
}

// limitMemory kills the daemon's process whenever it takes more memory than its machine allows, as
// the platform does, and starts it again. It returns how often that happened.
func (d *daemon) limitMemory(stop <-chan struct{}) (ends int) {
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(memoryPolling):
		}
		d.mu.Lock()
		pid, ended := d.process.Process.Pid, d.ended
		d.mu.Unlock()
		used := residentBytes(pid)
		d.peak = max(d.peak, used)
		if used <= d.w.memoryMB<<20 {
			continue
		}
		ends++
		d.w.note("%s takes %d MB, the limit is %d MB: killed, for the %d. time", d.name, used>>20, d.w.memoryMB, ends)
		d.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(restartPause)
		if err := d.start(); err != nil {
			d.w.note("%s not started again: %v", d.name, err)
			return ends
		}
	}
}

// residentBytes is the memory that a process takes, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) >= 2 && string(fields[0]) == "VmRSS:" {
			kb, err := strconv.ParseInt(string(fields[1]), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
