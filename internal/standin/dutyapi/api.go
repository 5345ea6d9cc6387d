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

	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
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
	servers    map[string]map[scaling.Pool][]placed // orders by service, oldest first
	closed     map[string]bool                      // data centres without spot servers
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
	return &API{options: o, subjects: map[string]*subject{}, reports: map[int64]Report{}, servers: map[string]map[scaling.Pool][]placed{}, closed: map[string]bool{}}
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

// NoneAvailable is how Scale tells that there are no servers of the kind now. On the wire it
// shares a status with a refused fencing number.
const NoneAvailable = http.StatusGone

// Scale takes an order for servers and returns the HTTP status, or NoneAvailable.
func (a *API) Scale(holder string, fence int64, service string, o scaling.Order) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status := a.enter("scaling "+service+" "+o.DataCentre, holder, fence); status != http.StatusOK {
		return status
	}
	if a.servers[service] == nil {
		a.servers[service] = map[scaling.Pool][]placed{}
	}
	if o.Spot && a.closed[o.DataCentre] && o.Count > last(a.servers[service][o.Pool]) {
		return NoneAvailable
	}
	a.servers[service][o.Pool] = append(a.servers[service][o.Pool], placed{o.Count, time.Now()})
	return http.StatusOK
}

// placed is an order that was taken.
type placed struct {
	count int
	at    time.Time
}

func last(orders []placed) int {
	if len(orders) == 0 {
		return 0
	}
	return orders[len(orders)-1].count
}

// Servers returns the servers of a service by data centre that were ordered so long ago that
// they serve now.
func (a *API) Servers(service string, boot time.Duration) map[string]scaling.Servers {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]scaling.Servers{}
	for k, orders := range a.servers[service] {
		n := 0
		for _, o := range orders {
			if o.count < n || time.Since(o.at) >= boot {
				n = o.count
			}
		}
		s := out[k.DataCentre]
		if k.Spot {
			s.Spot = n
		} else {
			s.Regular = n
		}
		out[k.DataCentre] = s
	}
	return out
}

// Orders is the number of orders that were taken for a service.
func (a *API) Orders(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, orders := range a.servers[service] {
		n += len(orders)
	}
	return n
}

// Reclaim takes all spot servers of a data centre away; no more are to be had there until
// Reopen.
func (a *API) Reclaim(service, dataCentre string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed[dataCentre] = true
	k := scaling.Pool{DataCentre: dataCentre, Spot: true}
	if a.servers[service] != nil {
		a.servers[service][k] = append(a.servers[service][k], placed{0, time.Now()})
	}
}

// Reopen ends what Reclaim began.
func (a *API) Reopen(dataCentre string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.closed, dataCentre)
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
