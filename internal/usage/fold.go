package usage

import (
	"maps"
	"slices"
)

// Fold is what the log says of all windows. Every daemon that has read the same records
// has the same reports. Not safe for concurrent use.
//
// Invariants:
//   - a writer's record counts once, however often it stands in the log;
//   - a window's report never changes once it is decided, whatever is counted after;
//   - every window from the first known one on is reported, also one without a count.
type Fold struct {
	windows map[int64]*window
	writers map[string]int64 // number of the last record by writer
	known   bool             // some window is
	first   int64            // first window that is reported, if one is known
	floor   int64            // windows before it are forgotten
}

type window struct {
	counts map[string]int
	report map[string]int // nil until it is decided
	sent   bool
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{windows: map[int64]*window{}, writers: map[string]int64{}}
}

// Apply takes the next record.
func (f *Fold) Apply(r Record) {
	switch {
	case r.Counted != nil:
		f.counted(*r.Counted)
	case r.Decided != nil:
		f.decided(r.Decided.Report)
	case r.Sent != nil:
		if w := f.at(r.Sent.Window); w != nil {
			w.sent = true
		}
	}
}

func (f *Fold) counted(r Counted) {
	if r.Number <= f.writers[r.Writer] {
		return // a second copy
	}
	f.writers[r.Writer] = r.Number
	for _, c := range r.Windows {
		w := f.at(c.Window)
		if w == nil {
			continue // too late for any report
		}
		for customer, n := range c.Counts {
			w.counts[customer] += n
		}
	}
}

func (f *Fold) decided(r WindowCounts) {
	w := f.at(r.Window)
	if w == nil || w.report != nil {
		return
	}
	w.report = map[string]int{}
	maps.Copy(w.report, r.Counts)
}

// at returns a window, which is known from then on; nil if it is forgotten.
func (f *Fold) at(k int64) *window {
	if k < f.floor {
		return nil
	}
	f.Begin(k)
	w := f.windows[k]
	if w == nil {
		w = &window{counts: map[string]int{}}
		f.windows[k] = w
	}
	return w
}

// Begin has windows reported from this one on unless an earlier one is known. A fleet that
// starts for the first time begins with the window of its start.
func (f *Fold) Begin(k int64) {
	if !f.known || k < f.first {
		f.first = max(k, f.floor)
	}
	f.known = true
}

// Counts returns what was counted in a window so far.
func (f *Fold) Counts(k int64) map[string]int {
	if w := f.windows[k]; w != nil {
		return maps.Clone(w.counts)
	}
	return map[string]int{}
}

// Report returns what is reported of a window; it reports false until that is decided.
func (f *Fold) Report(k int64) (map[string]int, bool) {
	if w := f.windows[k]; w != nil && w.report != nil {
		return maps.Clone(w.report), true
	}
	return nil, false
}

// Sent reports whether a window's report was taken.
func (f *Fold) Sent(k int64) bool {
	w := f.windows[k]
	return w != nil && w.sent
}

// LastSent returns the newest window whose report was taken, false if none was.
func (f *Fold) LastSent() (int64, bool) {
	sent := []int64{}
	for k, w := range f.windows {
		if w.sent {
			sent = append(sent, k)
		}
	}
	if len(sent) == 0 {
		return 0, false
	}
	return slices.Max(sent), true
}

// Forget drops the windows before k. What is counted in them later doesn't show any more.
func (f *Fold) Forget(k int64) {
	for _, old := range slices.Collect(maps.Keys(f.windows)) {
		if old < k {
			delete(f.windows, old)
		}
	}
	f.floor = max(f.floor, k)
	f.first = max(f.first, f.floor)
}
