//go:build review

package main

import (
	"errors"
	"strings"
)

// missingEvent: one byte of one answer of a server is wrong: it is in the name of a field, so that
// an event has no data. The texts of the step are compared with what the servers made.
func missingEvent(w *world, trouble bool) (bool, error) {
	const model = "daka510000"
	for range 9 {
		if _, err := w.addEngine("huvo11a", []string{model}, eventTime, shortLength); err != nil {
			return false, err
		}
	}
	if err := w.configure(rolloutConfig(3, false, model)); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	s := w.newStep("0ad1", model, 1, 1, 8, 8, 8)
	if trouble {
		w.spoil(s.longest(), spoilName)
	}
	if err := s.submit(trainerPath); err != nil {
		return false, err
	}
	s.readUntil(s.first.Add(stepTimeLimit))
	s.end()
	if len(s.results) == 0 {
		return false, errors.New("nothing was read of the step")
	}
	broken := false
	for _, r := range s.results {
		if r.State != "completed" {
			continue
		}
		var events []string
		for n := 1; n <= shortLength(r.ID); n++ {
			events = append(events, eventData(r.ID, n, shortLength(r.ID)))
		}
		if r.Text == strings.Join(events, "\n") {
			continue
		}
		broken = true
		w.note("the text of %s isn't the item's whole output", r.ID)
		got := strings.Split(r.Text, "\n")
		for n := range events {
			if n >= len(got) || got[n] != events[n] {
				w.note("event %d is missing: %q in place of %q", n+1, at(got, n), events[n])
			}
		}
	}
	return broken, nil
}

func at(list []string, i int) string {
	if i >= len(list) {
		return ""
	}
	return list[i]
}
