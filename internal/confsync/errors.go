package confsync

import (
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// PublishError says that no verdict on a change is known.
type PublishError struct {
	// Outcome is NotRun when the change is in no log and never will be. When it
	// is Unknown, the change may still come into force; its ID finds the verdict,
	// and publishing it again under the same ID does no harm.
	Outcome    outcome.Outcome
	RetryAfter time.Duration // 0: coming back doesn't help by itself
	Err        error
}

// Error implements error.
func (e *PublishError) Error() string {
	if e.Outcome == outcome.NotRun {
		return fmt.Sprintf("publish: not run: %v", e.Err)
	}
	return fmt.Sprintf("publish: outcome unknown, the change may still come into force: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Err }

var (
	// ErrLogUnavailable says that the log can't be read or appended to.
	ErrLogUnavailable = errors.New("configuration log unavailable")
	// ErrBehind says that records were lost to retention and no peer's state or
	// snapshot has come yet, so that no change can be judged.
	ErrBehind = errors.New("configuration behind the log's retention")
)
