package usage

import (
	"maps"
	"slices"
)

// State is the state of all windows, built from the log's records. Daemons that have read
// the same records have the same reports. It is not safe for concurrent use.
//
// Invariants:
//   - a writer's record counts once, even if the log has several copies of it;
//   - a window's report doesn't change once it is decided, whatever is counted afterwards;
//   - from the first window on, every window is reported, also one without counts.
type State struct {
	windows    map[int64]*window
	writers    map[string]int64 // sequence number of the last applied record, by writer
	started    bool             // first is set
	first      int64            // first window that is reported
	oldestKept int64            // windows before it have been dropped
}

// window is the state of one window.
type window struct {
	counts map[string]int
	report map[string]int // the decided counts, nil before the decision
	sent   bool           // the platform accepted the report
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{windows: map[int64]*window{}, writers: map[string]int64{}}
}

// Apply applies the next record of the log.
func (s *State) Apply(r Record) {
	switch {
	case r.Counted != nil:
		s.applyCounted(*r.Counted)
	case r.Decided != nil:
		s.applyDecided(r.Decided.Report)
	case r.Sent != nil:
		if w := s.ensureWindow(r.Sent.Window); w != nil {
			w.sent = true
		}
	}
}

func (s *State) applyCounted(r Counted) {
	if r.Sequence <= s.writers[r.Writer] {
		return // a copy of an applied record
	}
	s.writers[r.Writer] = r.Sequence
	for _, c := range r.Windows {
		w := s.ensureWindow(c.Window)
		if w == nil {
			continue // dropped: too late for the report
		}
		for customer, n := range c.Counts {
			w.counts[customer] += n
		}
	}
}

func (s *State) applyDecided(r WindowCounts) {
	w := s.ensureWindow(r.Window)
	if w == nil || w.report != nil {
		return
	}
	w.report = map[string]int{}
	maps.Copy(w.report, r.Counts)
}

// ensureWindow returns window k, which it adds if necessary, or nil if it has been dropped.
func (s *State) ensureWindow(k int64) *window {
	if k < s.oldestKept {
		return nil
	}
	s.StartAt(k)
	w := s.windows[k]
	if w == nil {
		w = &window{counts: map[string]int{}}
		s.windows[k] = w
	}
	return w
}

// StartAt makes k the first window that is reported, unless an earlier one already is. When
// a fleet starts for the first time, the window of its start is the first.
func (s *State) StartAt(k int64) {
	if !s.started || k < s.first {
		s.first = max(k, s.oldestKept)
	}
	s.started = true
}

// Counts returns the counts of window k so far, by customer.
func (s *State) Counts(k int64) map[string]int {
	if w := s.windows[k]; w != nil {
		return maps.Clone(w.counts)
	}
	return map[string]int{}
}

// Report returns the decided counts of window k, and false before the decision.
func (s *State) Report(k int64) (map[string]int, bool) {
	if w := s.windows[k]; w != nil && w.report != nil {
		return maps.Clone(w.report), true
	}
	return nil, false
}

// IsSent reports whether the platform accepted the report of window k.
func (s *State) IsSent(k int64) bool {
	w := s.windows[k]
	return w != nil && w.sent
}

// LastSent returns the newest window whose report the platform accepted, and false if there
// is none.
func (s *State) LastSent() (int64, bool) {
	sent := []int64{}
	for k, w := range s.windows {
		if w.sent {
			sent = append(sent, k)
		}
	}
	if len(sent) == 0 {
		return 0, false
	}
	return slices.Max(sent), true
}

// DropBefore drops the windows before k. Later records on them are ignored.
func (s *State) DropBefore(k int64) {
	for _, old := range slices.Collect(maps.Keys(s.windows)) {
		if old < k {
			delete(s.windows, old)
		}
	}
	s.oldestKept = max(s.oldestKept, k)
	s.first = max(s.first, s.oldestKept)
}
