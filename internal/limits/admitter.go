package limits

import "time"

const (
	// admitterTTL is how long an Admitter remembers a customer that makes no calls.
	admitterTTL = 5 * time.Second
	// maxAdmitterEntries bounds the memory of an Admitter, also if keys are made up.
	maxAdmitterEntries = 4096
)

// Admitter turns fractions into decisions for single calls. For each customer and level it
// adds up the fractions and admits a call when a whole one has accumulated (error
// diffusion). A customer whose fraction is 1/3 thus never has three calls refused in a row,
// which would be frequent with random decisions. Not safe for concurrent use.
type Admitter struct {
	entries map[customerLevel]accumulated
	sweptAt time.Duration
}

// accumulated is the state of one customer at one level.
type accumulated struct {
	calls  float64 // from 0 to below 1
	seenAt time.Duration
}

// NewAdmitter returns an empty admitter.
func NewAdmitter() *Admitter { return &Admitter{entries: map[customerLevel]accumulated{}} }

// Admit decides on one call. phase is a random number from 0 to below 1 with which a new
// customer starts, so that the daemons of a fleet do not all refuse its first call.
func (a *Admitter) Admit(customer string, level int, fraction, phase float64, now time.Duration) bool {
	a.sweep(now)
	key := customerLevel{customer, level}
	entry, ok := a.entries[key]
	if !ok {
		entry.calls = phase
	}
	entry.calls += min(1, max(0, fraction))
	admit := entry.calls >= 1-roundingError
	if admit {
		entry.calls = max(0, entry.calls-1)
	}
	entry.seenAt = now
	// A customer that finds no room is decided by its phase alone, that is, at random.
	if ok || len(a.entries) < maxAdmitterEntries {
		a.entries[key] = entry
	}
	return admit
}

// Customers returns the number of remembered pairs of customer and level.
func (a *Admitter) Customers() int { return len(a.entries) }

// sweep forgets customers not seen for admitterTTL, at most once a second.
func (a *Admitter) sweep(now time.Duration) {
	if now-a.sweptAt < time.Second {
		return
	}
	a.sweptAt = now
	for key, entry := range a.entries {
		if now-entry.seenAt > admitterTTL {
			delete(a.entries, key)
		}
	}
}
