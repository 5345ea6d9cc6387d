package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxQuotedValueBytes bounds how much of an invalid value an error message contains.
const maxQuotedValueBytes = 64

// Error is a validation error of one setting. Value is empty for keys, where an
// operator may have entered the secret by mistake.
type Error struct {
	Path   string // in the tree, for example teams/coop/models/clerk/staleness_bound
	Value  string // invalid value, truncated
	Reason string // what is wrong or what is allowed
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("config: %s: %s", e.Path, e.Detail()) }

// Detail returns the message without the path.
func (e *Error) Detail() string {
	if e.Value == "" {
		return e.Reason
	}
	return e.Value + ": " + e.Reason
}

// ErrNotSnapshot is returned for a record from a peer that isn't a snapshot.
var ErrNotSnapshot = errors.New("config: not a snapshot")

// ErrTooLarge is returned for a record that exceeds the size limits of the log.
var ErrTooLarge = errors.New("config: record too large")

func newError(path, reason string) *Error { return &Error{Path: path, Reason: reason} }

func newValueError(path string, value any, reason string) *Error {
	shown := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		shown = strconv.Quote(truncate(s, maxQuotedValueBytes))
	}
	return &Error{Path: path, Value: shown, Reason: reason}
}

// truncate cuts s to at most n bytes without leaving part of a character at the end.
// JSON would replace that, so a state read from a snapshot would differ from the one
// that was built from the log.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "")
}

// asError converts a nil *Error to a nil error.
func asError(e *Error) error {
	if e == nil {
		return nil
	}
	return e
}
