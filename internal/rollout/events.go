package rollout

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// SampleID identifies a sample of a step: sample number Index of group number Group,
// both from 0.
type SampleID struct {
	Group int
	Index int
}

// Event is an input of a step. The types below are the only implementations.
type Event interface{ event() }

// Tick reports that time has passed. Slots whose backoff has expired start again.
type Tick struct{}

// Began reports that an attempt got its first token and which version generated
// it. This event is optional; it lets the step cancel an attempt early if that
// version is already too old.
type Began struct {
	ID      SampleID
	Attempt uint32
	Version ident.Version
}

// Generated reports that an attempt generated a complete text.
type Generated struct {
	ID      SampleID
	Attempt uint32
	Text    string
	// Tokens is the number of tokens in Text. Segments must cover exactly these tokens.
	Tokens   int
	Segments []Segment
}

// GenerateFailed reports that an attempt ended without a completion.
type GenerateFailed struct {
	ID      SampleID
	Attempt uint32
	Failure Failure
}

// Scored reports the reward of an attempt's completion.
type Scored struct {
	ID      SampleID
	Attempt uint32
	Reward  float64
}

// ScoreFailed reports that the scorer returned no reward. The step keeps the
// completion and scores it again after a backoff, unless the failure is final.
type ScoreFailed struct {
	ID      SampleID
	Attempt uint32
	Failure Failure
}

// NewestVersion reports the newest published version of the step's model.
type NewestVersion struct{ Version ident.Version }

// SetStalenessBound changes the staleness bound, in versions, after a change of the
// configuration.
type SetStalenessBound struct{ Bound int64 }

// MemoryPressure reports whether the memory for all steps of the daemon is full.
type MemoryPressure struct{ Full bool }

// Cursor reports the cursor of a pull on its arrival: the groups that the trainer
// holds and the newest version that it knows. The step doesn't retain Have. Group
// numbers beyond the last group are ignored.
type Cursor struct {
	Have           *roaring.Bitmap
	TrainerVersion ident.Version
}

// Pull requests an answer with the groups that are deliverable now. Staleness is
// checked as of this event. A Pull has the effect of a Cursor as well.
type Pull struct {
	Have           *roaring.Bitmap // groups that the trainer holds
	TrainerVersion ident.Version   // newest version that the trainer knows
	MaxGroups      int             // maximum number of groups in the answer, 0 for no limit
	// MaxBytes limits the completions and prompts in the answer, 0 for no limit. No
	// group is added once the limit is reached, so the first one is always included.
	MaxBytes int
}

// Cancel ends the step. All attempts are cancelled and nothing is delivered any more.
type Cancel struct{}

func (Tick) event()              {}
func (Began) event()             {}
func (Generated) event()         {}
func (GenerateFailed) event()    {}
func (Scored) event()            {}
func (ScoreFailed) event()       {}
func (NewestVersion) event()     {}
func (SetStalenessBound) event() {}
func (MemoryPressure) event()    {}
func (Cursor) event()            {}
func (Pull) event()              {}
func (Cancel) event()            {}

// FailureKind classifies failures by how a step handles them.
type FailureKind int

const (
	// Transient: the attempt may have run but returned no complete result. It is
	// retried after a backoff.
	Transient FailureKind = iota
	// NotRun: the attempt was refused, or there was no upstream for it. It is retried
	// when the circuit breaker allows it.
	NotRun
	// Permanent: a retry can't succeed, for example because the input is invalid. The
	// group fails.
	Permanent
	// Poison: the request was found to crash upstreams. The group fails.
	Poison
)

// Failure describes why an attempt failed.
type Failure struct {
	Kind       FailureKind
	RetryAfter time.Duration // minimum delay before the next attempt
	Reason     string        // reported to the trainer if the group fails
}

// Action is an output of a step, to be run by its caller. The types below are the
// only implementations.
type Action interface{ action() }

// Generate starts an attempt at generating a sample.
type Generate struct {
	ID             SampleID
	Attempt        uint32
	MinVersion     ident.Version // oldest version that may generate the sample, 0 for any
	ExpectedTokens int           // expected length of the completion, 0 if unknown
	// Straggler marks one of the last unfinished samples. The end of the step depends
	// on it, so it should go to the fastest upstream.
	Straggler bool
	// Prefer is the oldest version that leaves the sample some time before it becomes
	// stale. An engine that serves this version or a newer one is preferred if it has
	// capacity, but isn't worth waiting for. Prefer is never below MinVersion.
	Prefer ident.Version
}

// Score requests the reward of a completion.
type Score struct {
	ID         SampleID
	Attempt    uint32
	Completion string
}

// CancelAttempt cancels an attempt that is generating or being scored.
type CancelAttempt struct {
	ID      SampleID
	Attempt uint32
}

// Deliver is the answer to a Pull.
type Deliver struct {
	Groups    []Group
	JudgedBy  ident.Version // newest version known when staleness was checked
	Whole     bool          // with these groups the trainer holds every group of the step
	Remaining int           // groups that neither the cursor nor the answer contains
}

func (Generate) action()      {}
func (Score) action()         {}
func (CancelAttempt) action() {}
func (Deliver) action()       {}
