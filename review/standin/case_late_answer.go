//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateEngines  = 5
	lateTrainers = 2
	lateItems    = 64
	lateSteps    = 30
	lateStepTime = 2 * time.Second
	// Of the answers of 3 of the 5 engines (0.6), 0.03 come a second time, in spans of 5 s.
	lateShare = 0.03
	lateSpan  = 5 * time.Second
	latePause = 5 * time.Second
)

// isNeverDone: one item in four can never be done.
func isNeverDone(item string) bool {
	n := 0
	_, _ = fmt.Sscanf(item[strings.LastIndex(item, "-")+1:], "%d", &n)
	return n%4 == 3
}

// lateAnswer: some servers send an answer a second time, late, where the next answer on the same
// channel is expected. Each result has to follow from answers to its own item.
func lateAnswer(w *world, trouble bool) error {
	log := &runLog{}
	var faulty sync.Map // *server -> true
	var active atomic.Bool
	o := engineOptions{log: log, neverDone: isNeverDone, extra: func(s *server) bool {
		_, ok := faulty.Load(s)
		return ok && active.Load() && w.chance(lateShare)
	}}
	for i := range lateEngines {
		s, err := w.startServer("zigo56a", 16, map[string]int64{"m0": 1}, newEngine(o))
		if err != nil {
			return err
		}
		if i < 3 {
			faulty.Store(s, true)
		}
	}
	routes := []map[string]any{{"name": "r0", "host": host, "path_prefix": "/lohu930/", "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "service": "zigo56a",
		"max_attempts": 3, "retention_s": 120, "run_target_ms": 7500, "sticky": true, "priority": 1}}
	services := []map[string]any{{"name": "zigo56a", "max_conns": 170, "engine": map[string]any{"slots": 16, "models": []map[string]string{{"name": "m0"}}}}}
	if _, err := w.putConfig(1, routes, services); err != nil {
		return err
	}
	if err := w.startDaemons(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go func() {
			for {
				active.Store(true)
				w.record.add("faulty servers send extra answers late from now on")
				time.Sleep(lateSpan)
				active.Store(false)
				w.record.add("no further extra answers")
				select {
				case <-stop:
					return
				case <-time.After(latePause):
				}
			}
		}()
	}
	var mu sync.Mutex
	var all []*submission
	var trainers sync.WaitGroup
	for t := range lateTrainers {
		trainers.Go(func() {
			for n := range lateSteps {
				began := time.Now()
				s := newSubmission(fmt.Sprintf("%d%02dae", t, n), fmt.Sprintf("/lohu930/%d/%d", t, n), lateItems)
				if !w.submit(s, "m0", n) {
					continue
				}
				w.readAll(s, 8*time.Second)
				w.end(s)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(lateStepTime - time.Since(began))
			}
		})
	}
	trainers.Wait()
	wrong, completed, dead := 0, 0, 0
	for _, s := range all {
		for at, r := range s.results {
			statuses := map[int]int{}
			for _, x := range log.of(r.ID) {
				statuses[x.status]++
			}
			switch {
			case r.State == "completed" && r.Text == wholeText(r.ID):
				completed++
			case r.State == "dead" && statuses[http.StatusUnprocessableEntity] > 0:
				dead++
			default:
				wrong++
				w.record.add("WRONG: submission %s position %d: item %s is %s; servers answered 422 to it %d times and 500 never, runs %d", s.id, at, r.ID, r.State, statuses[http.StatusUnprocessableEntity], statuses[http.StatusOK])
			}
		}
	}
	w.record.add("%d submissions; %d items completed, %d rightly dead, %d wrong", len(all), completed, dead, wrong)
	if completed == 0 || dead == 0 {
		return fmt.Errorf("%d completed, %d dead: no traffic", completed, dead)
	}
	if wrong > 0 {
		return fmt.Errorf("%w: MIXED: %d of %d results do not follow from the answers to their own items", errBroken, wrong, completed+dead+wrong)
	}
	return nil
}
