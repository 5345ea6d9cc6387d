// Package timeline records events of this VM in memory of bounded size. The events have
// hybrid logical timestamps, so that those of all daemons can be merged into one order. They
// never contain prompts, bodies or secrets.
package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxDetailBytes is the size to which Event.Detail is truncated.
const maxDetailBytes = 200

// Event is one change of state. Fields that don't apply are zero.
type Event struct {
	HLC      Stamp           `json:"hlc,string"` // set by Add if it is zero
	VM       ident.VM        `json:"vm"`         // set by Add
	Kind     string          `json:"kind"`
	Request  ident.RequestID `json:"request,omitempty"`
	Team     ident.Team      `json:"team,omitempty"`
	Job      ident.Job       `json:"job,omitempty"`
	Step     ident.Step      `json:"step,omitempty"`
	Sample   string          `json:"sample,omitempty"` // "group/index"
	Upstream ident.Upstream  `json:"upstream,omitempty"`
	Version  ident.Version   `json:"version,omitempty"`
	Detail   string          `json:"detail,omitempty"` // a reason or count, never content of requests
}

// MarshalJSON adds a field with the wall clock time of the stamp in RFC 3339.
func (e Event) MarshalJSON() ([]byte, error) {
	type plain Event
	return json.Marshal(struct {
		Time time.Time `json:"time"`
		plain
	}{e.HLC.Time(), plain(e)})
}

// Filter selects events. A zero field matches every event.
type Filter struct {
	Request ident.RequestID
	Team    ident.Team
	Job     ident.Job
	Sample  string
	Since   Stamp // only events with a larger stamp
	Limit   int   // number of events, of which the newest are selected; 0: DefaultLimit
}

// DefaultLimit is the limit of a Filter without one.
const DefaultLimit = 1000

// Match reports whether the filter selects an event, except for the limit.
func (f Filter) Match(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Sample == "" || f.Sample == e.Sample) &&
		e.HLC > f.Since
}

func (f Filter) limit() int {
	if f.Limit <= 0 {
		return DefaultLimit
	}
	return f.Limit
}

// Merge merges lists of events and sorts them by stamp, then by VM.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return merged
}

func compareEvents(a, b Event) int {
	return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.VM, b.VM))
}

// Newest returns the last events of a sorted list, up to the filter's limit.
func (f Filter) Newest(events []Event) []Event {
	if n := f.limit(); len(events) > n {
		return events[len(events)-n:]
	}
	return events
}

// truncate truncates a detail at the end of a UTF-8 character and marks it with an ellipsis.
func truncate(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	end := maxDetailBytes
	for end > 0 && detail[end]&0xC0 == 0x80 {
		end--
	}
	return detail[:end] + "…"
}
