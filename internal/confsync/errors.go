package confsync

import (
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// PublishError is returned if the verdict on a change isn't known.
type PublishError struct {
	// Outcome is NotRun if the change isn't in the log and never will be. If it is
	// Unknown, the change may still take effect; State.Verdict returns its verdict by
	// its ID, and publishing it again with the same ID is safe.
	Outcome    outcome.Outcome
	RetryAfter time.Duration // 0: a retry alone doesn't help
	Err        error
}

// Error implements error.
func (e *PublishError) Error() string {
	if e.Outcome == outcome.NotRun {
		return fmt.Sprintf("publish: not run: %v", e.Err)
	}
	return fmt.Sprintf("publish: outcome unknown, the change may still take effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Err }

var (
	// ErrLogUnavailable is returned if the log can't be read or appended to.
	ErrLogUnavailable = errors.New("configuration log unavailable")
	// ErrRecordsMissing is returned if records expired before they were read and no
	// snapshot or peer's state has replaced them yet, so that changes can't be
	// validated.
	ErrRecordsMissing = errors.New("configuration behind the log's retention")
)
