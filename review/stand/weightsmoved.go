//go:build review

package main

import (
	"errors"
	"time"
)

// weightsMoved: a rollout route has two services with weights. The operator moves all weight from
// the first to the second, and a step is asked then.
func weightsMoved(w *world, trouble bool) (bool, error) {
	const model = "daka510000"
	services := []string{"huvo11a", "zigo56b"}
	for _, service := range services {
		for range 4 {
			if _, err := w.addEngine(service, []string{model}, eventTime, shortLength); err != nil {
				return false, err
			}
		}
	}
	config := rolloutConfig(3, false, model)
	engines := config["services"].([]map[string]any)[0]
	second := map[string]any{}
	for name, value := range engines {
		second[name] = value
	}
	second["name"] = services[1]
	config["services"] = []map[string]any{engines, second}
	route := config["routes"].([]map[string]any)[0]
	delete(route, "service")
	weigh := func(a, b int) {
		route["weighted_services"] = []map[string]any{{"service": services[0], "weight": a}, {"service": services[1], "weight": b}}
	}
	weigh(100, 0)
	if err := w.configure(config); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	if trouble {
		weigh(0, 100)
	}
	config["version"] = 5
	if err := w.configure(config); err != nil {
		return false, err
	}
	time.Sleep(applyTime + stableWindow)
	s := w.newStep("3e01", model, 1, 1, 8, 8, 8)
	s.readStep()
	if len(s.results) == 0 {
		return false, errors.New("the step wasn't served")
	}
	runs := map[string]int{}
	for _, e := range w.servers {
		runs[e.service] += len(e.runs)
	}
	w.note("runs by service: %v", runs)
	if trouble {
		return runs[services[0]] > 0, nil
	}
	return runs[services[1]] > 0, nil
}
