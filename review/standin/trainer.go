//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// result is a listed item.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// submission is a batch submission of a trainer.
type submission struct {
	id       string
	path     string // that it is submitted to
	items    []string
	accepted time.Time
	results  []result
}

// newSubmission returns one with n items whose paths lie below its own.
func newSubmission(id, path string, n int) *submission {
	s := &submission{id: id, path: path}
	for i := range n {
		s.items = append(s.items, fmt.Sprintf("%s-%d", id, i))
	}
	return s
}

const groupSize = 8

func (s *submission) body(model string, step int) []byte {
	var items []map[string]any
	for i, id := range s.items {
		items = append(items, map[string]any{
			"id": id, "path": s.path + "/" + id, "headers": map[string]string{"X-Dogwoodflow-Model": model, "X-Dogwoodflow-Token-Usage": "540,400", "X-Dogwoodflow-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
			"body": []byte("body of " + id), "tokens": 940, "group": fmt.Sprintf("%s-g%d", s.id, i/groupSize),
		})
	}
	return encode(map[string]any{"step": step, "model": model, "min_version": 1, "batch_groups": (len(s.items) + groupSize - 1) / groupSize, "items": items})
}

// submit sends the submission until it is accepted.
func (w *world) submit(s *submission, model string, step int) bool {
	body := s.body(model, step)
	for range 5 {
		d := w.anyDaemon()
		status, _, _ := call(newConnection, http.MethodPost, "http://"+d.front+s.path, s.id, map[string]string{"Content-Type": "application/json"}, body)
		w.record.add("trainer: POST %s with %d items as submission %s at %s -> %d", s.path, len(s.items), s.id, d.name, status)
		if status == http.StatusAccepted {
			s.accepted = time.Now()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads results from a position on, at any daemon, and returns the status.
func (w *world) read(s *submission, after int) (int, []result) {
	d := w.anyDaemon()
	status, _, data := call(newConnection, http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", d.front, s.id, after), s.id, map[string]string{"X-Dogwoodflow-Wait-Ms": "1000"}, nil)
	var page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &page) != nil {
		status = 0
	}
	w.record.add("trainer: GET results of %s from %d at %s -> %d, %d results", s.id, after, d.name, status, len(page.Results))
	return status, page.Results
}

// readAll reads until all results are there or the time is up.
func (w *world) readAll(s *submission, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && len(s.results) < len(s.items); {
		status, results := w.read(s, len(s.results))
		if status == http.StatusOK {
			s.results = append(s.results, results...)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return len(s.results) == len(s.items)
}

// end ends the submission.
func (w *world) end(s *submission) int {
	d := w.anyDaemon()
	status, _, _ := call(newConnection, http.MethodDelete, "http://"+d.front+"/api/lots/"+s.id, s.id, nil, nil)
	w.record.add("trainer: DELETE %s at %s -> %d", s.id, d.name, status)
	return status
}

// wholeText is the text of an item that was run to its end.
func wholeText(item string) string {
	var events []string
	for n := 1; n <= sampleEvents; n++ {
		events = append(events, eventData(item, n))
	}
	return strings.Join(events, "\n")
}
