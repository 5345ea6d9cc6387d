//go:build review

package main

import (
	"fmt"
	"net/http"
	"reflect"
	"time"
)

// routeGone: a desired state removes a route while a batch submission on it is open and its
// results have been read. The submission must stay readable.
func routeGone(w *world, trouble bool) error {
	log := &runLog{}
	for range 3 {
		if _, err := w.startServer("zigo56a", 16, map[string]int64{"m0": 1}, newEngine(engineOptions{log: log})); err != nil {
			return err
		}
	}
	if _, err := w.startServer("gopu72b", 6, nil, newService(serviceOptions{})); err != nil {
		return err
	}
	calls := map[string]any{"name": "r1", "host": "other.example", "path_prefix": "/c/", "kind": "safe", "timeout_ms": 800, "slo_ms": 150, "service": "gopu72b", "max_attempts": 2, "priority": 2}
	rollouts := map[string]any{"name": "r0", "host": host, "path_prefix": "/lohu930/", "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "service": "zigo56a",
		"max_attempts": 3, "retention_s": 120, "run_target_ms": 7500, "sticky": true, "priority": 1}
	services := []map[string]any{
		{"name": "zigo56a", "max_conns": 170, "engine": map[string]any{"slots": 16, "models": []map[string]string{{"name": "m0"}}}},
		{"name": "gopu72b", "max_conns": 100},
	}
	if _, err := w.putConfig(3, []map[string]any{calls, rollouts}, services); err != nil {
		return err
	}
	if err := w.startDaemons(3); err != nil {
		return err
	}
	s := newSubmission("7c41e0", "/lohu930/7c41e0", 32)
	if !w.submit(s, "m0", 0) {
		return fmt.Errorf("the submission was not accepted")
	}
	if !w.readAll(s, 10*time.Second) {
		return fmt.Errorf("%d of %d results", len(s.results), len(s.items))
	}
	next := []map[string]any{calls}
	if !trouble {
		next = append(next, rollouts)
	}
	if _, err := w.putConfig(8, next, services); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	lost := 0
	for range 12 {
		status, results := w.read(s, 0)
		switch {
		case status == http.StatusNotFound || status == http.StatusGone:
			lost++
		case status == http.StatusOK && !reflect.DeepEqual(results, s.results[:len(results)]):
			return fmt.Errorf("%w: TWICE: a position holds another result than before", errBroken)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of 12 reads of an accepted submission, whose results had been read, were answered 404", errBroken, lost)
	}
	return nil
}
