// Package dutyapi plays the platform's side of the duties: it takes usage reports and
// orders for upstreams, checks fencing numbers where it is told to, and notes whatever
// breaks a promise.
package dutyapi

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Options of an API.
type Options struct {
	// RequireFence: a call with a lower fencing number than one seen is refused.
	RequireFence bool
	// Lease within which no two holders may take turns.
	Lease time.Duration
	// PerSecond bounds the calls of all daemons together, 0: no bound.
	PerSecond int
}

// API takes calls. It is safe for concurrent use.
type API struct {
	options Options

	mu         sync.Mutex
	subjects   map[string]*subject
	reports    map[int64]Report
	violations []string
	calls      int
	second     int64 // the last one in which a call came
	inSecond   int
}

// subject is what one duty's calls are about: usage, or a service in a data centre.
type subject struct {
	fence  int64 // highest seen
	holder string
	fences map[int64]string     // who used which number
	last   map[string]time.Time // when each holder acted last
}

// Report is the first accepted report of a window.
type Report struct {
	Counts map[string]int
	At     time.Time
	Holder string
	Copies int // taken again
}

// New returns an API that has seen nothing.
func New(o Options) *API {
	return &API{options: o, subjects: map[string]*subject{}, reports: map[int64]Report{}}
}

// usageSubject is that of all windows.
const usageSubject = "usage"

// ReportUsage takes a report and returns the HTTP status.
func (a *API) ReportUsage(holder string, fence, window int64, counts map[string]int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status := a.enter(usageSubject, holder, fence); status != http.StatusOK {
		return status
	}
	known, ok := a.reports[window]
	switch {
	case !ok:
		known = Report{Counts: maps.Clone(counts), At: time.Now(), Holder: holder}
	case !maps.Equal(known.Counts, counts):
		a.violate("window %d was reported as %v by %s and as %v by %s", window, known.Counts, known.Holder, counts, holder)
	default:
		known.Copies++
	}
	a.reports[window] = known
	return http.StatusOK
}

// enter checks a call's fencing number and turn.
func (a *API) enter(name, holder string, fence int64) int {
	a.calls++
	if !a.admit() {
		return http.StatusTooManyRequests
	}
	s := a.subjects[name]
	if s == nil {
		s = &subject{fences: map[int64]string{}, last: map[string]time.Time{}}
		a.subjects[name] = s
	}
	if other, used := s.fences[fence]; used && other != holder {
		a.violate("%s: %s and %s used fencing number %d", name, other, holder, fence)
	}
	s.fences[fence] = holder
	if fence < s.fence {
		if a.options.RequireFence {
			return http.StatusConflict
		}
		a.violate("%s: %s acted with fencing number %d after %d", name, holder, fence, s.fence)
	}
	s.fence = max(s.fence, fence)
	now := time.Now()
	if before, acted := s.last[holder]; acted && s.holder != holder && now.Sub(before) < a.options.Lease {
		a.violate("%s: %s, %s and %s again took turns within %v", name, holder, s.holder, holder, now.Sub(before))
	}
	s.holder = holder
	s.last[holder] = now
	return http.StatusOK
}

func (a *API) admit() bool {
	second := time.Now().Unix()
	if second != a.second {
		a.second, a.inSecond = second, 0
	}
	a.inSecond++
	return a.options.PerSecond == 0 || a.inSecond <= a.options.PerSecond
}

func (a *API) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations returns what broke a promise.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// Reports returns the accepted reports by window.
func (a *API) Reports() map[int64]Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.reports)
}

// Calls is the number of calls that arrived.
func (a *API) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}
