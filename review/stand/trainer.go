//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// step is a trainer's batch and what was read of it.
type step struct {
	w          *world
	id         string
	model      string
	number     int
	minVersion int64
	groups     int // of items
	wanted     int // groups that the trainer waits for
	items      []string
	groupOf    map[string]string
	accepted   time.Time
	first      time.Time // when it was first submitted
	results    []resultRead
	turn       int
}

type resultRead struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// newStep makes a step of groups of a size; names of items and groups are the step's own.
func (w *world) newStep(id, model string, number int, minVersion int64, groups, size, wanted int) *step {
	s := &step{w: w, id: id, model: model, number: number, minVersion: minVersion, groups: groups, wanted: wanted, groupOf: map[string]string{}}
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("%s%02x%02x", id, g, i)
			s.items = append(s.items, item)
			s.groupOf[item] = fmt.Sprintf("g%s%02x", id, g)
		}
	}
	return s
}

// submit sends the step, to another daemon after each failure.
func (s *step) submit(path string) error {
	var items []map[string]any
	for _, item := range s.items {
		items = append(items, map[string]any{"id": item, "path": path + "run", "group": s.groupOf[item], "tokens": 2400, "body": []byte("prompt of " + item),
			"headers": map[string]string{"X-Dogwoodflow-Model": s.model, "X-Dogwoodflow-Token-Usage": "1016,1400", "X-Dogwoodflow-Prompt-Prefix": "9c2e41:1000," + item[len(item)-4:] + ":16"}})
	}
	body := encode(map[string]any{"step": s.number, "model": s.model, "min_version": s.minVersion, "batch_groups": s.wanted, "items": items})
	s.first = time.Now()
	for range 6 {
		d := s.nextDaemon()
		status, _ := s.w.call(d, http.MethodPost, path+s.id, s.id, 0, body)
		s.w.note("step %s of %s submitted to %s, min_version %d, %d items: %d", s.id, s.model, d.name, s.minVersion, len(s.items), status)
		if status == http.StatusAccepted {
			s.accepted = time.Now()
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("step %s isn't accepted", s.id)
}

func (s *step) nextDaemon() *daemon {
	s.turn++
	return s.w.daemons[s.turn%len(s.w.daemons)]
}

// read reads the step on.
func (s *step) read(wait time.Duration) {
	d := s.nextDaemon()
	status, body := s.w.call(d, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", s.id, len(s.results)), s.id, wait, nil)
	var page struct {
		Results []resultRead `json:"results"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		s.w.note("step %s read at %s: %d", s.id, d.name, status)
		return
	}
	for _, r := range page.Results {
		s.results = append(s.results, r)
		s.w.note("step %s, position %d: %s %s, %d bytes, versions %v", s.id, len(s.results)-1, r.ID, r.State, len(r.Text), r.Versions)
	}
}

// completeGroups returns how many groups have all their items listed.
func (s *step) completeGroups() int {
	missing := map[string]int{}
	for _, group := range s.groupOf {
		missing[group]++
	}
	for _, r := range s.results {
		missing[s.groupOf[r.ID]]--
	}
	n := 0
	for _, left := range missing {
		if left == 0 {
			n++
		}
	}
	return n
}

func (s *step) listed() map[string]bool {
	out := map[string]bool{}
	for _, r := range s.results {
		out[r.ID] = true
	}
	return out
}

// readUntil reads twice a second until the trainer has what it waits for, or a time.
func (s *step) readUntil(until time.Time) {
	for time.Now().Before(until) && s.completeGroups() < s.wanted {
		s.read(500 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	s.w.note("step %s: %d of %d items listed, %d of %d groups complete, %d waited for", s.id, len(s.results), len(s.items), s.completeGroups(), s.groups, s.wanted)
}

// end ends the step.
func (s *step) end() int {
	d := s.nextDaemon()
	status, _ := s.w.call(d, http.MethodDelete, "/api/lots/"+s.id, s.id, 0, nil)
	s.w.note("step %s ended at %s: %d", s.id, d.name, status)
	return status
}
