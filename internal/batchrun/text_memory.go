package batchrun

import (
	"errors"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// errNoRoom cancels a run whose events find no room in memory.
var errNoRoom = errors.New("no room in memory for the sample's text")

// yieldPercent is the part of the budget from which the run that holds most of it yields. The rest
// is for the events that arrive until that run has ended.
const yieldPercent = 75

var runsYielded = metrics.Counter("sample_runs_no_room")

// textMemory bounds what the texts of all runs of this daemon take in memory until they are in the
// log. It is safe for concurrent use.
type textMemory struct {
	budget *membudget.Budget // nil: no bound

	mu   sync.Mutex
	runs map[*run]int64 // bytes that a run's unsaved events take
}

func newTextMemory(b *membudget.Budget) *textMemory {
	return &textMemory{budget: b, runs: map[*run]int64{}}
}

// grow takes n bytes for an event of a run, and reports whether there is room. If room gets scarce
// it cancels the run that holds most. What that run has saved isn't lost, so that a long text
// still comes to its end.
func (m *textMemory) grow(x *run, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Limit() > 0 && m.budget.Held() > m.budget.Limit()*yieldPercent/100 {
		if largest := m.largestLocked(); largest != nil && largest.ctx.Err() == nil {
			runsYielded.Add(1)
			largest.cancel(errNoRoom)
		}
	}
	if x.lease == nil {
		lease, ok := m.budget.Acquire(n)
		if !ok {
			return false
		}
		x.lease = lease
	} else if !x.lease.Grow(n) {
		return false
	}
	m.runs[x] += n
	return true
}

// largestLocked returns the run that holds most, nil if none holds anything.
func (m *textMemory) largestLocked() *run {
	var largest *run
	for x, n := range m.runs {
		if largest == nil || n > m.runs[largest] {
			largest = x
		}
	}
	return largest
}

// move passes n bytes that a run's events took to the outbox, as a lease on the kept ones. Without a
// run the lease has no bound.
func (m *textMemory) move(x *run, n, kept int64) *membudget.Lease {
	if x == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[x] -= n
	x.lease.Shrink(n - min(n, kept))
	return x.lease.Split(min(n, kept))
}

// release gives back all that a run holds.
func (m *textMemory) release(x *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runs, x)
	x.lease.Release()
}
