//go:build review

package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

const (
	trainerPath = "/pufi791/"
	// stepTimeLimit is a step's time limit on the sheets.
	stepTimeLimit = 12 * time.Second
	// starvedFor is the time at no server that breaks the rule.
	starvedFor = 5 * time.Second
	// namingPause is the time after a named version that the rule leaves out.
	namingPause = 6 * time.Second
	// briefRun is up to where a run that its sender ends doesn't count.
	briefRun = time.Second
	// crashAfter is from the step's acceptance to the loss of a server.
	crashAfter = 1200 * time.Millisecond
)

// itemLength spreads items from 60 to 119 events.
func itemLength(item string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(item))
	return 60 + int(h.Sum32()%60)
}

// singleVersion: on a route with single_version one server of nine is lost for good while it runs
// a part of a step under version 1. The model's two other servers serve version 2, which the step
// allows as well.
func singleVersion(w *world, trouble bool) (bool, error) {
	var models []string
	for _, t := range trainers {
		models = append(models, t.model)
	}
	model := slices.Max(models)
	for range 9 {
		if _, err := w.addEngine("huvo11a", models, eventTime, itemLength); err != nil {
			return false, err
		}
	}
	if err := w.configure(rolloutConfig(3, true, models...)); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, bounds()); err != nil {
		return false, err
	}
	first := w.newStep("51a0", model, 1, 1, 8, 8, 7)
	if err := first.submit(trainerPath); err != nil {
		return false, err
	}
	first.readUntil(time.Now().Add(stepTimeLimit))
	if first.completeGroups() < first.wanted || first.end() != 200 {
		return false, errors.New("the step before the case wasn't served")
	}
	if err := w.name(model, 2); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // two of the model's three servers load it
	s := w.newStep("51a1", model, 2, 1, 8, 8, 7)
	if err := s.submit(trainerPath); err != nil {
		return false, err
	}
	crash := s.accepted.Add(crashAfter)
	time.Sleep(time.Until(crash))
	var old []*engine
	for _, e := range w.servers {
		w.note("%s serves version %d and runs %d items", e.name, e.version(model), e.occupied())
		if e.version(model) == 1 && e.occupied() > 0 {
			old = append(old, e)
		}
	}
	if len(old) != 1 {
		return false, fmt.Errorf("%d servers run items under version 1, one is needed", len(old))
	}
	if trouble {
		old[0].lose()
	}
	limit := s.first.Add(stepTimeLimit)
	s.readUntil(limit)
	return w.starvedStep(s, maxTime(crash.Add(stableWindow), w.lastNamedAt().Add(namingPause)), limit), nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// starvedStep checks the rule on a step that runs out of time: one of its items, which no server
// has finished or failed, is at no server for five seconds of steady state. A run that its
// sender ends within a second doesn't count. steady is when the steady state begins.
func (w *world) starvedStep(s *step, steady, limit time.Time) bool {
	if s.completeGroups() >= s.wanted {
		w.note("the step was served in time")
		return false
	}
	listed, runs := s.listed(), w.itemRuns()
	begun, starved := 0, 0
	for _, item := range s.items {
		if len(runs[item]) > 0 {
			begun++
		}
		if listed[item] {
			continue
		}
		span, brief := w.longestAbsence(runs[item], steady, limit)
		w.note("item %s isn't listed: %d runs, %d of them ended by their sender within a second, at no server for %.1f s of steady state", item, len(runs[item]), brief, span.Seconds())
		if !finished(runs[item]) && span >= starvedFor {
			starved++
		}
	}
	occupied, slots := 0, 0
	for _, e := range w.servers {
		if !e.lost {
			occupied, slots = occupied+e.occupied(), slots+e.slots
		}
	}
	w.note("%d items had begun, %d were at no server for 5 s; %d of %d places of the servers are taken", begun, starved, occupied, slots)
	return starved > 0 && begun > 0 && 2*occupied < slots
}

func finished(runs []seenRun) bool {
	for _, r := range runs {
		if r.finished || r.failedWith != 0 {
			return true
		}
	}
	return false
}

// longestAbsence returns the longest time between from and to in which an item was at no server,
// and how many of its runs don't count.
func (w *world) longestAbsence(runs []seenRun, from, to time.Time) (longest time.Duration, brief int) {
	at := from
	for {
		var next *seenRun
		brief = 0
		for i := range runs {
			r := &runs[i]
			end := r.ended
			if end.IsZero() {
				end = to
			}
			if !r.ended.IsZero() && r.ended.Sub(r.begun) <= briefRun && !r.finished {
				brief++
				continue
			}
			if end.After(at) && (next == nil || r.begun.Before(next.begun)) {
				next = r
			}
		}
		if next == nil || !next.begun.Before(to) {
			return max(longest, to.Sub(at)), brief
		}
		longest = max(longest, next.begun.Sub(at))
		if next.ended.IsZero() {
			return longest, brief
		}
		at = next.ended
	}
}
