package rollout

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// SampleID names a slot of a step: the sample Index of the prompt Group.
type SampleID struct {
	Group int
	Index int
}

// Event is what a step is told. The concrete types below are all there are.
type Event interface{ event() }

// Tick lets time pass: failed attempts whose backoff is over start again.
type Tick struct{}

// Began says that an attempt got its first token, and by which version. It
// lets the step give up an attempt that is already too old. Optional.
type Began struct {
	ID      SampleID
	Attempt uint32
	Version ident.Version
}

// Generated says that an attempt ended whole.
type Generated struct {
	ID      SampleID
	Attempt uint32
	Text    string
	// Tokens is how many tokens Text holds; Segments must cover exactly them.
	Tokens   int
	Segments []Segment
}

// GenerateFailed says that an attempt ended without a completion.
type GenerateFailed struct {
	ID      SampleID
	Attempt uint32
	Failure Failure
}

// Scored brings the reward of an attempt's completion.
type Scored struct {
	ID      SampleID
	Attempt uint32
	Reward  float64
}

// ScoreFailed says that the scorer gave no reward; the completion is kept and
// scored again after a backoff.
type ScoreFailed struct {
	ID      SampleID
	Attempt uint32
	Failure Failure
}

// NewestVersion says which version of the model is the newest published one.
type NewestVersion struct{ Version ident.Version }

// SetBound brings another staleness bound, in versions, from the configuration.
type SetBound struct{ Bound int64 }

// Pressure says whether memory is full, over all steps of the daemon.
type Pressure struct{ Full bool }

// Cursor is the arrival of a pull: which groups the trainer holds, and the
// newest version it knows. Have isn't kept. Group numbers past the end are ignored.
type Cursor struct {
	Have           *roaring.Bitmap
	TrainerVersion ident.Version
}

// Pull asks for an answer now: staleness is judged at this event. It implies a Cursor.
type Pull struct {
	Have           *roaring.Bitmap
	TrainerVersion ident.Version
	MaxGroups      int // 0: no limit
	MaxBytes       int // of completions and prompts, 0: no limit; one group is always given
}

// Cancel ends the step; every attempt is cancelled and nothing is delivered any more.
type Cancel struct{}

func (Tick) event()           {}
func (Began) event()          {}
func (Generated) event()      {}
func (GenerateFailed) event() {}
func (Scored) event()         {}
func (ScoreFailed) event()    {}
func (NewestVersion) event()  {}
func (SetBound) event()       {}
func (Pressure) event()       {}
func (Cursor) event()         {}
func (Pull) event()           {}
func (Cancel) event()         {}

// FailureKind sorts failures by what a step does about them.
type FailureKind int

const (
	// Transient: the attempt may have run and has no whole answer; tried again.
	Transient FailureKind = iota
	// NotRun: refused, or no upstream; tried again.
	NotRun
	// Permanent: no other attempt can end better (bad input); the group fails.
	Permanent
	// Poison: the request was convicted of crashing upstreams; the group fails.
	Poison
)

// Failure is how an attempt failed.
type Failure struct {
	Kind       FailureKind
	RetryAfter time.Duration // at least this long until the next attempt
	Reason     string        // told to the trainer when the group fails
}

// Action is what a step asks its runtime for. The concrete types below are all there are.
type Action interface{ action() }

// Generate starts an attempt at a sample.
type Generate struct {
	ID             SampleID
	Attempt        uint32
	MinVersion     ident.Version // oldest version that may generate it, 0: any
	ExpectedTokens int
	// Straggler: the sample is one of the last outstanding, so the step's end
	// hangs on it. Send it to the fastest upstream.
	Straggler bool
	// Prefer is the oldest version that leaves the sample time to age. Where such an
	// engine has room it goes there; it isn't worth a wait. Never below MinVersion.
	Prefer ident.Version
}

// Score asks for the reward of a completion.
type Score struct {
	ID         SampleID
	Attempt    uint32
	Completion string
}

// CancelAttempt ends an attempt, be it generating or being scored.
type CancelAttempt struct {
	ID      SampleID
	Attempt uint32
}

// Deliver is the answer to a Pull.
type Deliver struct {
	Groups    []Group
	JudgedBy  ident.Version
	Whole     bool
	Remaining int
}

func (Generate) action()      {}
func (Score) action()         {}
func (CancelAttempt) action() {}
func (Deliver) action()       {}
