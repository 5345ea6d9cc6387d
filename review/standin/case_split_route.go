//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	splitSteps = 8
	splitItems = 72
	// splitEventTime makes an item take about half a second.
	splitEventTime = 40 * time.Millisecond
)

// splitRoute: a desired state splits a route, so that the paths below one prefix go to another
// service. A trainer that asks steps ahead has submissions open on both parts. Each item has to
// be run by the service of its own submission's route.
func splitRoute(w *world, trouble bool) error {
	log := &runLog{}
	for _, service := range []string{"zigo56a", "zigo56b"} {
		for range 3 {
			if _, err := w.startServer(service, 16, map[string]int64{"m0": 1}, newEngine(engineOptions{log: log, eventTime: splitEventTime})); err != nil {
				return err
			}
		}
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "service": service,
			"max_attempts": 3, "retention_s": 120, "run_target_ms": 7500, "sticky": true, "priority": 1}
	}
	var services []map[string]any
	for _, name := range []string{"zigo56a", "zigo56b"} {
		services = append(services, map[string]any{"name": name, "max_conns": 170, "engine": map[string]any{"slots": 16, "models": []map[string]string{{"name": "m0"}}}})
	}
	whole := []map[string]any{route("r0", "/pufi791/", "zigo56a")}
	if _, err := w.putConfig(3, whole, services); err != nil {
		return err
	}
	if err := w.startDaemons(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	next := whole
	if trouble {
		next = append(next, route("r0-b", "/pufi791/b/", "zigo56b"))
	}
	if _, err := w.putConfig(7, next, services); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // config_apply_ms is 2 s
	var all []*submission
	for n := range splitSteps {
		// Two steps are open at a time, one below each prefix.
		a := newSubmission(fmt.Sprintf("a%04x", n), fmt.Sprintf("/pufi791/a/%d", n), splitItems)
		b := newSubmission(fmt.Sprintf("b%04x", n), fmt.Sprintf("/pufi791/b/%d", n), splitItems)
		for _, s := range []*submission{a, b} {
			if !w.submit(s, "m0", n) {
				return fmt.Errorf("submission %s was not accepted", s.id)
			}
			all = append(all, s)
		}
		for _, s := range []*submission{a, b} {
			w.readAll(s, 8*time.Second)
			w.end(s)
		}
	}
	runs, wrong, completed := 0, 0, 0
	for _, s := range all {
		completed += len(s.results)
		allowed := "zigo56a"
		if trouble && strings.HasPrefix(s.path, "/pufi791/b/") {
			allowed = "zigo56b"
		}
		for _, item := range s.items {
			for _, x := range log.of(item) {
				runs++
				if x.service != allowed {
					wrong++
					w.record.add("WRONG: item %s, path %s, was run by %s of service %s; its route allows %s only", item, x.path, x.server, x.service, allowed)
				}
			}
		}
	}
	w.record.add("%d submissions, %d results, %d runs, %d at a service that no desired state allows", len(all), completed, runs, wrong)
	if completed == 0 {
		return fmt.Errorf("no item was completed")
	}
	if wrong > 0 {
		return fmt.Errorf("%w: ROUTE: %d of %d runs were at a service to which no desired state ever allowed the item to go", errBroken, wrong, runs)
	}
	return nil
}
