package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxShownValue bounds how much of a faulty value an error repeats, in bytes.
const maxShownValue = 64

// Error says which setting is wrong and what is allowed there. Value is empty
// for keys, where an operator may have put the secret by mistake.
type Error struct {
	Path   string // in the tree, for example teams/coop/models/clerk/staleness_bound
	Value  string // as found
	Reason string // what is allowed
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("config: %s: %s", e.Path, e.Detail()) }

// Detail is the message without the path.
func (e *Error) Detail() string {
	if e.Value == "" {
		return e.Reason
	}
	return e.Value + ": " + e.Reason
}

// ErrNoSnapshot says that bytes from a peer hold something else than a state.
var ErrNoSnapshot = errors.New("config: not a snapshot")

// ErrTooLarge says that a record is larger than the log takes.
var ErrTooLarge = errors.New("config: record too large")

func fault(path, reason string) *Error { return &Error{Path: path, Reason: reason} }

func valueFault(path string, value any, reason string) *Error {
	shown := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		shown = strconv.Quote(truncate(s, maxShownValue))
	}
	return &Error{Path: path, Value: shown, Reason: reason}
}

// truncate cuts s to at most n bytes. It leaves no half character at the end:
// JSON would replace it, and a state read from a snapshot would differ from one
// that was folded.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "")
}

// asError keeps a nil *Error from becoming an error that isn't nil.
func asError(e *Error) error {
	if e == nil {
		return nil
	}
	return e
}
