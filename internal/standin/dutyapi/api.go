// Package dutyapi simulates the platform API that the duties call (see package duties). It
// accepts usage reports and orders for servers, checks fencing tokens if configured to, and
// records every violation of the guarantees that callers give.
package dutyapi

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
)

// Options configure an API.
type Options struct {
	// CheckFencing refuses calls whose fencing token is lower than the highest one seen.
	// Without it they are accepted and recorded as violations.
	CheckFencing bool
	// LeaseDuration is the time within which holders must not alternate.
	LeaseDuration time.Duration
	// MaxCallsPerSecond limits the calls per second of all daemons together; 0: no limit.
	MaxCallsPerSecond int
}

// API is the simulated API. It is safe for concurrent use.
type API struct {
	options Options

	mu              sync.Mutex
	scopes          map[string]*fencingScope
	reports         map[int64]Report                            // by window
	orders          map[string]map[scaling.Pool][]acceptedOrder // by service, oldest first
	spotReclaimed   map[string]bool                             // data centres without spot servers
	violations      []string
	calls           int
	currentSecond   int64 // Unix time of the last call, in seconds
	callsThisSecond int
}

// fencingScope holds what was seen of the calls that share one sequence of fencing tokens:
// all usage reports, or the orders for a service in a data centre.
type fencingScope struct {
	highestFence  int64                // highest fencing token seen
	lastHolder    string               // that made the last accepted call
	holderByFence map[int64]string     // by fencing token: the holder that used it
	lastCallAt    map[string]time.Time // by holder: its last accepted call
}

// Report is the first accepted report of a window.
type Report struct {
	Counts     map[string]int
	AcceptedAt time.Time // when it was accepted
	Holder     string    // that sent it
	Duplicates int       // identical reports accepted later
}

// New returns an API without reports and orders.
func New(o Options) *API {
	return &API{options: o, scopes: map[string]*fencingScope{}, reports: map[int64]Report{}, orders: map[string]map[scaling.Pool][]acceptedOrder{}, spotReclaimed: map[string]bool{}}
}

// usageScope is the fencing scope of all usage reports.
const usageScope = "usage"

// ReportUsage accepts the usage report of a window and returns the HTTP status.
func (a *API) ReportUsage(holder string, fence, window int64, counts map[string]int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status := a.checkCall(usageScope, holder, fence); status != http.StatusOK {
		return status
	}
	report, exists := a.reports[window]
	switch {
	case !exists:
		report = Report{Counts: maps.Clone(counts), AcceptedAt: time.Now(), Holder: holder}
	case !maps.Equal(report.Counts, counts):
		a.addViolation("window %d was reported as %v by %s and as %v by %s", window, report.Counts, report.Holder, counts, holder)
	default:
		report.Duplicates++
	}
	a.reports[window] = report
	return http.StatusOK
}

// StatusNoneAvailable is the status of an order if no server of its kind is available now. On the
// wire it has the same status as a refused fencing token.
const StatusNoneAvailable = http.StatusGone

// Scale accepts an order for servers and returns the HTTP status, which is 410 if no server
// of the kind is available.
func (a *API) Scale(holder string, fence int64, service string, o scaling.Order) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status := a.checkCall("scaling "+service+" "+o.DataCentre, holder, fence); status != http.StatusOK {
		return status
	}
	if a.orders[service] == nil {
		a.orders[service] = map[scaling.Pool][]acceptedOrder{}
	}
	if o.Spot && a.spotReclaimed[o.DataCentre] && o.Count > lastCount(a.orders[service][o.Pool]) {
		return StatusNoneAvailable
	}
	a.orders[service][o.Pool] = append(a.orders[service][o.Pool], acceptedOrder{o.Count, time.Now()})
	return http.StatusOK
}

// acceptedOrder sets the number of servers of one kind in one data centre.
type acceptedOrder struct {
	count      int // servers
	acceptedAt time.Time
}

// lastCount returns the number of servers that the last order asked for.
func lastCount(orders []acceptedOrder) int {
	if len(orders) == 0 {
		return 0
	}
	return orders[len(orders)-1].count
}

// Servers returns the running servers of a service by data centre. An ordered server runs
// once the boot time has passed; one that is no longer ordered stops immediately.
func (a *API) Servers(service string, boot time.Duration) map[string]scaling.Servers {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]scaling.Servers{}
	for k, orders := range a.orders[service] {
		n := 0
		for _, o := range orders {
			if o.count < n || time.Since(o.acceptedAt) >= boot {
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

// Orders returns the number of accepted orders for a service.
func (a *API) Orders(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, orders := range a.orders[service] {
		n += len(orders)
	}
	return n
}

// ReclaimSpot removes all spot servers of a service in a data centre. No more spot servers are
// available there until the reclaim is ended.
func (a *API) ReclaimSpot(service, dataCentre string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spotReclaimed[dataCentre] = true
	k := scaling.Pool{DataCentre: dataCentre, Spot: true}
	if a.orders[service] != nil {
		a.orders[service][k] = append(a.orders[service][k], acceptedOrder{0, time.Now()})
	}
}

// RestoreSpot makes spot servers available again in a data centre where they were reclaimed.
func (a *API) RestoreSpot(dataCentre string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.spotReclaimed, dataCentre)
}

// checkCall counts a call, applies the rate limit, and checks the call's fencing token and
// that holders don't alternate within the lease. It returns the HTTP status. The caller
// holds the lock.
func (a *API) checkCall(scope, holder string, fence int64) int {
	a.calls++
	if !a.admitCall() {
		return http.StatusTooManyRequests
	}
	s := a.scopes[scope]
	if s == nil {
		s = &fencingScope{holderByFence: map[int64]string{}, lastCallAt: map[string]time.Time{}}
		a.scopes[scope] = s
	}
	if other, used := s.holderByFence[fence]; used && other != holder {
		a.addViolation("%s: %s and %s used the same fencing token %d", scope, other, holder, fence)
	}
	s.holderByFence[fence] = holder
	if fence < s.highestFence {
		if a.options.CheckFencing {
			return http.StatusConflict
		}
		a.addViolation("%s: %s used fencing token %d after %d was seen", scope, holder, fence, s.highestFence)
	}
	s.highestFence = max(s.highestFence, fence)
	now := time.Now()
	if previous, called := s.lastCallAt[holder]; called && s.lastHolder != holder && now.Sub(previous) < a.options.LeaseDuration {
		a.addViolation("%s: calls by %s, %s and %s again within %v", scope, holder, s.lastHolder, holder, now.Sub(previous))
	}
	s.lastHolder = holder
	s.lastCallAt[holder] = now
	return http.StatusOK
}

// admitCall reports whether the rate limit allows one more call. The caller holds the lock.
func (a *API) admitCall() bool {
	second := time.Now().Unix()
	if second != a.currentSecond {
		a.currentSecond, a.callsThisSecond = second, 0
	}
	a.callsThisSecond++
	return a.options.MaxCallsPerSecond == 0 || a.callsThisSecond <= a.options.MaxCallsPerSecond
}

func (a *API) addViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations describes each violation of the callers' guarantees so far.
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

// Calls returns the number of calls received, including the refused ones.
func (a *API) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}
