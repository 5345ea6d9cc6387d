//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	crashDown     = 3 * time.Second
	crashRetry    = 6 * time.Second
	crashPlay     = 75 * time.Second
	crashCallers  = 24
	crashPause    = 40 * time.Millisecond
	crashPath     = "/lookup/poison"
	stableWindow  = 3 * time.Second
	crashMaxLater = 3
)

// crashRepeat: one request crashes each server that begins to run it, and comes again. After the
// third crash it may reach servers in three more retries at most.
func crashRepeat(w *world, trouble bool) error {
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	o := serviceOptions{
		downTime: crashDown,
		crashes: func(_ *server, path string) bool {
			if path != crashPath || !trouble {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		},
		arrived: func(s *server, id, path string) {
			if path != crashPath {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{id, time.Now()})
			w.record.add("request %s for %s reaches a server of %s", id, path, s.service)
		},
	}
	for range 3 {
		if _, err := w.startServer("gopu72b", 6, nil, newService(o)); err != nil {
			return err
		}
	}
	routes := []map[string]any{{"name": "r1", "host": host, "path_prefix": "/lookup/", "kind": "safe", "timeout_ms": 800, "slo_ms": 150, "service": "gopu72b", "max_attempts": 3, "priority": 2}}
	if _, err := w.putConfig(3, routes, []map[string]any{{"name": "gopu72b", "max_conns": 100}}); err != nil {
		return err
	}
	if err := w.startDaemons(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	served, failed := 0, 0
	for i := range crashCallers {
		callers.Go(func() {
			client := &http.Client{Timeout: time.Second}
			d := w.daemons[i%len(w.daemons)]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(crashPause):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				status, _, _ := call(client, http.MethodPost, "http://"+d.front+"/lookup/"+id, id, map[string]string{"X-Dogwoodflow-Deadline-Ms": "800"}, []byte("q"))
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n, until := 0, time.Now().Add(crashPlay); time.Now().Before(until); n++ {
		id := fmt.Sprintf("poison-%d", n)
		d := w.anyDaemon()
		status, _, _ := call(newConnection, http.MethodPost, "http://"+d.front+crashPath, id, map[string]string{"X-Dogwoodflow-Deadline-Ms": "800"}, []byte("the same body"))
		w.record.add("caller: POST %s as %s at %s -> %d", crashPath, id, d.name, status)
		time.Sleep(crashRetry)
	}
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.record.add("other calls: %d served, %d failed; %d crashes, %d arrivals of the request", served, failed, len(crashes), len(arrivals))
	if served == 0 {
		return fmt.Errorf("no call was served")
	}
	if !trouble || len(crashes) < 3 {
		return nil
	}
	later := map[string]bool{}
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(stableWindow)) {
			later[a.id] = true
		}
	}
	w.record.add("requests that reached servers later than stable_window_ms after the third crash: %d", len(later))
	if len(later) > crashMaxLater {
		return fmt.Errorf("%w: BUDGET: the request reached servers in %d retries later than stable_window_ms after its third crash; %d crashes in all", errBroken, len(later), len(crashes))
	}
	return nil
}
