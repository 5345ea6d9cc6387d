// Package fault switches faults of a stand-in on and off: an Injector keeps the
// faults in force, its middleware and its listener bring them about, and its
// HTTP interface (POST, GET and DELETE on Path) sets them.
package fault

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Path is where a stand-in takes faults.
const Path = "/_standin/fault"

// Kind names a fault.
type Kind string

// The kinds of fault. Value is explained where a kind uses it.
const (
	Crash       Kind = "crash"                 // the process exits on a matching request
	Refuse      Kind = "refuse"                // 503 with X-Not-Run, nothing runs
	Reset       Kind = "reset"                 // connection reset before the first byte, nothing runs
	ResetBody   Kind = "reset_body"            // connection reset after Value bytes of body
	Truncate    Kind = "truncate"              // connection closed after Value bytes of body
	EndEarly    Kind = "end_early"             // body ends cleanly after Value bytes, without its end mark
	Freeze      Kind = "freeze"                // the whole process stops for DurationMillis
	Silence     Kind = "silence"               // connections open now go silent for good, new ones work
	Slow        Kind = "slow"                  // Value ms before each request; on an engine, Value x the token time
	Late        Kind = "late"                  // runs at once, answers Value ms later
	AnswerLost  Kind = "answer_lost"           // runs, then the connection is reset
	Crossed     Kind = "crossed"               // two concurrent answers are swapped, ids included
	Outage      Kind = "outage"                // 503 on everything
	SwapFails   Kind = "swap_fails"            // engine: load and switch orders fail
	ReportEarly Kind = "report_before_serving" // engine: names a version Value ms before serving it
)

var kinds = []Kind{
	Crash, Refuse, Reset, ResetBody, Truncate, EndEarly, Freeze, Silence, Slow,
	Late, AnswerLost, Crossed, Outage, SwapFails, ReportEarly,
}

// Spec is one fault: the body of POST on Path.
type Spec struct {
	Kind Kind `json:"kind"`
	// Match is a substring of the request's "METHOD path?query" or body; empty matches all.
	Match string `json:"match,omitempty"`
	// Count is how many requests it hits; 0 means all.
	Count int `json:"count,omitempty"`
	// DurationMillis is how long it stays in force; 0 means until deleted.
	DurationMillis int64 `json:"duration_ms,omitempty"`
	// Value is the argument of some kinds.
	Value float64 `json:"value,omitempty"`
}

// ParseSpec decodes and checks a fault.
func ParseSpec(raw []byte) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(raw, &s); err != nil {
		return Spec{}, fmt.Errorf("fault: %w", err)
	}
	return s, s.Validate()
}

// Validate says what is wrong with a fault.
func (s Spec) Validate() error {
	switch {
	case !slices.Contains(kinds, s.Kind):
		return fmt.Errorf("fault: unknown kind %q, want one of %v", s.Kind, kinds)
	case s.Count < 0 || s.DurationMillis < 0 || s.Value < 0:
		return fmt.Errorf("fault: count, duration_ms and value can't be negative")
	case s.Kind == Freeze && s.DurationMillis == 0:
		return fmt.Errorf("fault: freeze wants a duration_ms")
	}
	return nil
}

func (s Spec) matches(texts []string) bool {
	if s.Match == "" {
		return true
	}
	return slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(t, s.Match) })
}

// delay returns Value in milliseconds, or fallback when there is none.
func (s Spec) delay(fallback time.Duration) time.Duration {
	if s.Value == 0 {
		return fallback
	}
	return time.Duration(s.Value * float64(time.Millisecond))
}

// bytes returns Value as a number of bytes of body.
func (s Spec) bytes() int {
	const fallback = 40
	if s.Value == 0 {
		return fallback
	}
	return int(s.Value)
}
