// Package outcome holds what is known about whether a request ran.
package outcome

import "fmt"

// Outcome says whether an upstream ran a request.
type Outcome int

const (
	// Unknown is the zero value: a byte may have reached an upstream, so the
	// request may have run.
	Unknown Outcome = iota
	// NotRun is certain: no upstream began the request.
	NotRun
	// Ran is certain: an upstream answered it.
	Ran
)

// String returns the form used in problem documents.
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

// UnmarshalText reads what MarshalText wrote; any other text is an error.
func (o *Outcome) UnmarshalText(text []byte) error {
	for _, known := range []Outcome{Unknown, NotRun, Ran} {
		if known.String() == string(text) {
			*o = known
			return nil
		}
	}
	return fmt.Errorf("outcome: %q is none of unknown, not run, ran", text)
}
