//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	plainService = "wuno96b"
	// applyTime is config_apply_ms, finishTime finish_s of the settings.
	applyTime  = 2 * time.Second
	finishTime = 10 * time.Second
)

// routeRemoved: a host has a rollout route and a route for all other paths. A step is served and
// read. Then the operator removes the rollout route, and the step is read again.
func routeRemoved(w *world, trouble bool) (bool, error) {
	const model = "daka510000"
	for range 5 {
		if _, err := w.addEngine("huvo11a", []string{model}, 20*time.Millisecond, shortLength); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := w.addPlain(plainService); err != nil {
			return false, err
		}
	}
	others := map[string]any{"name": "r-x73d3zj", "host": routeHost, "path_prefix": "/", "kind": "safe", "timeout_ms": 800, "slo_ms": 150, "priority": 2, "service": plainService, "max_attempts": 2}
	config := rolloutConfig(3, false, model)
	config["routes"] = append(config["routes"].([]map[string]any), others)
	config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false})
	if err := w.configure(config); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	s := w.newStep("7c41e09b52d6a3f8", model, 1, 1, 8, 8, 8)
	if err := s.submit(trainerPath); err != nil {
		return false, err
	}
	s.readUntil(s.first.Add(stepTimeLimit))
	if len(s.results) < len(s.items) || s.end() != http.StatusOK {
		return false, errors.New("the step wasn't served")
	}
	config["version"] = 5
	if trouble {
		config["routes"] = []map[string]any{others}
	}
	if err := w.configure(config); err != nil {
		return false, err
	}
	time.Sleep(applyTime + stableWindow)
	until := time.Now().Add(finishTime)
	broken := false
	for _, d := range w.daemons {
		if !w.readAgain(s, d, until) {
			w.note("%s: the results that had been read don't come again", d.name)
			broken = true
		}
	}
	return broken, nil
}

// readAgain reads all results of a step from the start, again after each failure until a time. It
// reports whether they are those that were read before.
func (w *world) readAgain(s *step, d *daemon, until time.Time) bool {
	for {
		var page struct {
			Results []resultRead `json:"results"`
		}
		status, body := w.call(d, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=0", s.id), s.id, 0, nil)
		err := json.Unmarshal(body, &page)
		same := len(page.Results) > 0
		for i, r := range page.Results {
			if i >= len(s.results) || r.ID != s.results[i].ID || r.State != s.results[i].State || r.Text != s.results[i].Text || !slices.Equal(r.Versions, s.results[i].Versions) {
				same = false
			}
		}
		w.note("step %s read from the start at %s: %d, %d results, as before: %t, %.70q", s.id, d.name, status, len(page.Results), same, body)
		if status == http.StatusOK && err == nil && same {
			return true
		}
		if time.Now().After(until) {
			return false
		}
		time.Sleep(time.Second)
	}
}
