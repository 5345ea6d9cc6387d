//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// unreadableSteps are served one after the other; the spoiled answer is of the second.
const unreadableSteps = 3

// unreadableResults: one byte of one answer of a server is wrong. What had been read of its step,
// and the other steps, are read again at the end.
func unreadableResults(w *world, trouble bool) (bool, error) {
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
	var steps []*step
	for n := 1; n <= unreadableSteps; n++ {
		s := w.newStep(fmt.Sprintf("7c%02x", n), model, n, 1, 8, 8, 8)
		s.turn = n
		if n == 2 && trouble {
			w.spoil(s.longest(), spoilData)
		}
		if err := s.submit(trainerPath); err != nil {
			return false, err
		}
		s.readUntil(s.first.Add(stepTimeLimit))
		s.end()
		steps = append(steps, s)
		time.Sleep(time.Until(s.first.Add(stepEvery)))
	}
	for _, s := range steps {
		if len(s.results) == 0 {
			return false, errors.New("nothing was read of a step")
		}
	}
	time.Sleep(stableWindow)
	broken := false
	for _, s := range steps {
		until := time.Now().Add(finishTime)
		for _, d := range w.daemons {
			if !w.readAgain(s, d, until) {
				w.note("step %s at %s: the %d results that had been read don't come again", s.id, d.name, len(s.results))
				broken = true
			}
		}
	}
	return broken, nil
}

// longest is the item of the step that runs longest.
func (s *step) longest() string {
	longest := s.items[0]
	for _, item := range s.items {
		if shortLength(item) > shortLength(longest) {
			longest = item
		}
	}
	return longest
}
