// Package timeline keeps what happened on this VM in a bounded memory, stamped
// so that the events of all daemons merge into one order. It never holds
// prompts, bodies or secrets.
package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxDetail bounds Event.Detail in bytes; the rest is cut.
const maxDetail = 200

// Event is one change of state. Fields that don't apply are zero.
type Event struct {
	HLC      Stamp           `json:"hlc,string"` // set by Add when zero
	VM       ident.VM        `json:"vm"`         // set by Add
	Kind     string          `json:"kind"`
	Request  ident.RequestID `json:"request,omitempty"`
	Team     ident.Team      `json:"team,omitempty"`
	Job      ident.Job       `json:"job,omitempty"`
	Step     ident.Step      `json:"step,omitempty"`
	Sample   string          `json:"sample,omitempty"` // "group/index"
	Upstream ident.Upstream  `json:"upstream,omitempty"`
	Version  ident.Version   `json:"version,omitempty"`
	Detail   string          `json:"detail,omitempty"` // a reason or count, never content
}

// MarshalJSON adds the wall clock time in RFC 3339 beside the stamp.
func (e Event) MarshalJSON() ([]byte, error) {
	type plain Event
	return json.Marshal(struct {
		Time time.Time `json:"time"`
		plain
	}{e.HLC.Time(), plain(e)})
}

// Filter selects events. Zero fields select everything.
type Filter struct {
	Request ident.RequestID
	Team    ident.Team
	Job     ident.Job
	Sample  string
	Since   Stamp // events after this one
	Limit   int   // newest so many; 0: DefaultLimit
}

// DefaultLimit is how many events a Filter without a limit returns at most.
const DefaultLimit = 1000

// Match reports whether an event is selected, the limit aside.
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

// Merge puts several daemons' events into one order: by stamp, then by VM.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return merged
}

func compareEvents(a, b Event) int {
	return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.VM, b.VM))
}

// Newest keeps the last of a sorted list, up to the filter's limit.
func (f Filter) Newest(events []Event) []Event {
	if n := f.limit(); len(events) > n {
		return events[len(events)-n:]
	}
	return events
}

// cut bounds a detail without ending it inside a character.
func cut(detail string) string {
	if len(detail) <= maxDetail {
		return detail
	}
	end := maxDetail
	for end > 0 && detail[end]&0xC0 == 0x80 {
		end--
	}
	return detail[:end] + "…"
}
