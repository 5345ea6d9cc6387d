//go:build review

package main

import (
	"errors"
	"hash/fnv"
	"time"
)

const (
	// spoiledReports is how many servers spoil one report each.
	spoiledReports = 2
	// spoilSpan is the time in which servers spoil answers, from the start of a step on, namedAfter
	// when in it the next version is named.
	spoilSpan  = 5 * time.Second
	namedAfter = 300 * time.Millisecond
	// calmTime is from the spoiled reports to the next step: the steady state is long back.
	calmTime = 8 * time.Second
)

// longLength spreads items from 110 to 149 events.
func longLength(item string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(item))
	return 110 + int(h.Sum32()%40)
}

// answersSoFar is how many answers the servers have given or begun.
func (w *world) answersSoFar() int {
	n := 0
	for _, e := range w.servers {
		e.mu.Lock()
		n += e.answers
		e.mu.Unlock()
	}
	return n
}

// spoiledReport: while a version is loaded, one byte of one report is wrong at two servers, in the
// time of their start. Later steps need newer versions.
func spoiledReport(w *world, trouble bool) (bool, error) {
	var models []string
	for _, t := range trainers {
		models = append(models, t.model)
	}
	model := models[0]
	for range 9 {
		if _, err := w.addEngine("huvo11a", models, eventTime, longLength); err != nil {
			return false, err
		}
	}
	if err := w.configure(rolloutConfig(3, false, models...)); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	first := w.newStep("5b01", model, 1, 1, 8, 8, 8)
	first.readStep()
	if first.completeGroups() < first.wanted {
		return false, errors.New("the first step wasn't served")
	}
	second := w.newStep("5b02", model, 2, 1, 8, 8, 8)
	if err := second.submit(trainerPath); err != nil {
		return false, err
	}
	answers := w.answersSoFar()
	time.Sleep(namedAfter)
	if trouble {
		w.mu.Lock()
		w.reportsToSpoil = spoiledReports
		w.mu.Unlock()
	}
	if err := w.name(model, 2); err != nil {
		return false, err
	}
	time.Sleep(spoilSpan - namedAfter)
	w.mu.Lock()
	spoiled := spoiledReports - w.reportsToSpoil
	w.reportsToSpoil = 0
	w.mu.Unlock()
	if trouble {
		w.note("%d of the servers' %d answers of %s had a wrong byte", spoiled, w.answersSoFar()-answers, spoilSpan)
	}
	second.readUntil(second.first.Add(stepTimeLimit))
	second.end()
	time.Sleep(calmTime)
	if err := w.name(model, 3); err != nil {
		return false, err
	}
	third := w.newStep("5b03", model, 3, 2, 8, 8, 8)
	third.readStep()
	for _, e := range w.servers {
		w.note("%s serves version %d of %s", e.name, e.version(model), model)
	}
	limit := third.first.Add(stepTimeLimit)
	return w.starvedStep(third, w.lastNamedAt().Add(namingPause), limit), nil
}

// readStep submits a step, reads it until its time limit, and ends it.
func (s *step) readStep() {
	if err := s.submit(trainerPath); err != nil {
		s.w.note("%v", err)
		return
	}
	s.readUntil(s.first.Add(stepTimeLimit))
	s.end()
}
