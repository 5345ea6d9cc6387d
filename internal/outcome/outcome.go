// Package outcome says whether an upstream ran a request, as far as is known.
package outcome

import "fmt"

// Outcome is what is known about whether an upstream ran a request.
type Outcome int

const (
	// Unknown, the zero value: bytes of the request may have reached an upstream, so it may
	// have run.
	Unknown Outcome = iota
	// NotRun: certainly no upstream began to run the request.
	NotRun
	// Ran: certainly an upstream ran the request, since it answered.
	Ran
)

// String returns the form that problem documents have.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// MarshalText encodes the outcome as String does.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the texts that MarshalText returns; any other text is an error.
func (o *Outcome) UnmarshalText(text []byte) error {
	for _, candidate := range []Outcome{Unknown, NotRun, Ran} {
		if candidate.String() == string(text) {
			*o = candidate
			return nil
		}
	}
	return fmt.Errorf("outcome: %q is none of unknown, not run, ran", text)
}
