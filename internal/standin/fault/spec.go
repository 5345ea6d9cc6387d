// Package fault injects faults into stand-in servers. An Injector holds the active
// faults; its middleware and its listener apply them. Its HTTP API on Path adds a fault
// (POST), lists the active ones (GET) and clears them (DELETE).
package fault

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Path is the path of a stand-in's fault API.
const Path = "/_standin/fault"

// Kind names a fault.
type Kind string

// The kinds of fault. The comments say what Spec.Value means for the kinds that use it.
const (
	Crash               Kind = "crash"                 // the process exits on a matching request
	Refuse              Kind = "refuse"                // 503 with X-Not-Run; the request isn't executed
	Reset               Kind = "reset"                 // connection reset before the first byte; the request isn't executed
	ResetBody           Kind = "reset_body"            // connection reset after Value bytes of the body
	Truncate            Kind = "truncate"              // connection closed after Value bytes of the body
	EndEarly            Kind = "end_early"             // body ends cleanly after Value bytes, without its end marker
	Freeze              Kind = "freeze"                // the whole process is suspended for DurationMillis
	Silence             Kind = "silence"               // open connections transfer nothing any more; new ones work
	Slow                Kind = "slow"                  // delays each request by Value ms; on an engine, multiplies the time per token by Value
	Late                Kind = "late"                  // executes the request at once and responds Value ms later
	AnswerLost          Kind = "answer_lost"           // executes the request, then resets the connection
	Crossed             Kind = "crossed"               // swaps the responses of two concurrent requests, including their ids
	Outage              Kind = "outage"                // 503 on every request
	SwapFails           Kind = "swap_fails"            // engine: load and switch orders fail
	ReportBeforeServing Kind = "report_before_serving" // engine: reports a version Value ms before serving it
)

var kinds = []Kind{
	Crash, Refuse, Reset, ResetBody, Truncate, EndEarly, Freeze, Silence, Slow,
	Late, AnswerLost, Crossed, Outage, SwapFails, ReportBeforeServing,
}

// Spec describes one fault. It is the body of POST on Path.
type Spec struct {
	Kind Kind `json:"kind"`
	// Match is a substring of the request's "METHOD path?query" or of its body; empty
	// matches every request.
	Match string `json:"match,omitempty"`
	// Count is the number of requests to affect; 0 means all.
	Count int `json:"count,omitempty"`
	// DurationMillis is how long the fault stays active, in ms; 0 means until cleared.
	DurationMillis int64 `json:"duration_ms,omitempty"`
	// Value is the argument of some kinds, in the unit given there.
	Value float64 `json:"value,omitempty"`
}

// ParseSpec decodes and validates a fault.
func ParseSpec(raw []byte) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(raw, &s); err != nil {
		return Spec{}, fmt.Errorf("fault: %w", err)
	}
	return s, s.Validate()
}

// Validate returns an error if the fault is invalid.
func (s Spec) Validate() error {
	switch {
	case !slices.Contains(kinds, s.Kind):
		return fmt.Errorf("fault: unknown kind %q, want one of %v", s.Kind, kinds)
	case s.Count < 0 || s.DurationMillis < 0 || s.Value < 0:
		return fmt.Errorf("fault: count, duration_ms and value must not be negative")
	case s.Kind == Freeze && s.DurationMillis == 0:
		return fmt.Errorf("fault: freeze requires duration_ms")
	}
	return nil
}

// matches reports whether one of a request's texts contains Match.
func (s Spec) matches(texts []string) bool {
	if s.Match == "" {
		return true
	}
	return slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(t, s.Match) })
}

// delay returns Value as milliseconds, or fallback if Value isn't set.
func (s Spec) delay(fallback time.Duration) time.Duration {
	if s.Value == 0 {
		return fallback
	}
	return time.Duration(s.Value * float64(time.Millisecond))
}

// bodyBytes returns Value as a number of bytes of the body, or a default if Value isn't
// set.
func (s Spec) bodyBytes() int {
	const fallback = 40
	if s.Value == 0 {
		return fallback
	}
	return int(s.Value)
}
