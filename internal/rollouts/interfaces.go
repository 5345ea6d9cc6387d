package rollouts

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// GenerateRequest is one attempt at a sample.
type GenerateRequest struct {
	ID             ident.RequestID // differs for each attempt at each owner
	Team           ident.Team
	Model          ident.Model
	Prompt         string
	MaxTokens      int
	Seed           int64 // the same for all attempts at a sample
	Deadline       time.Time
	ExpectedTokens int
	MinVersion     ident.Version
	Straggler      bool          // one of the step's last samples
	Prefer         ident.Version // an engine that serves it, if one has room
}

// Generated is a whole completion. Segments cover exactly its Tokens.
type Generated struct {
	Text     string
	Tokens   int
	Segments []rollout.Segment
}

// Generator runs attempts. began, when not nil, is called at most once, with
// the version of the first token. Errors: *WorkError, others count as transient.
type Generator interface {
	Generate(ctx context.Context, r GenerateRequest, began func(ident.Version)) (Generated, error)
}

// ScoreRequest asks for the reward of one completion.
type ScoreRequest struct {
	ID         ident.RequestID
	Team       ident.Team
	Group      string // of scorers
	Prompt     string
	Completion string
	Deadline   time.Time
}

// Scorer scores completions. Errors: *WorkError, others count as transient.
type Scorer interface {
	Score(ctx context.Context, r ScoreRequest) (float64, error)
}

// WorkError says how an attempt failed.
type WorkError struct {
	Failure rollout.Failure
	Err     error
}

// Error implements error.
func (e *WorkError) Error() string { return "rollouts: attempt failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WorkError) Unwrap() error { return e.Err }

// Versions knows the newest published version of a model, from the weight store
// or from peers; 0 if none is known.
type Versions interface {
	NewestPublished(model ident.Model) ident.Version
	// Expect tells of a version that a trainer knows and NewestPublished doesn't yet.
	// The trainer's word isn't enough to order it; the store is asked again soon.
	Expect(model ident.Model, v ident.Version)
}

// JobSettings is what the configuration says of a job.
type JobSettings struct {
	Model           ident.Model
	Scorer          string
	GroupSize       int
	Bound           int64 // staleness bound in versions, the job's or its model's
	MaxTokens       int
	StalenessWeight float64
	Cancelled       bool
}

// Jobs looks jobs up in the configuration in force.
type Jobs interface {
	Job(team ident.Team, job ident.Job) (JobSettings, bool)
}

// Peers finds a job's owner and forwards to it. An error of a Forward method is
// an *Error when the owner answered; any other error means that it couldn't be
// reached or didn't answer in the context's time.
type Peers interface {
	// Owner returns the VM that owns a key, and whether that is this one.
	Owner(key string) (vm ident.VM, self bool)
	ForwardSubmit(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r SubmitRequest) (SubmitResponse, error)
	ForwardPull(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r PullRequest) (*PullResponse, error)
	ForwardStatus(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error)
	ForwardCancel(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) error
}

// Kinds of StepEvent. A step's own have no sample.
const (
	StepTaken       = "step-taken"
	PullAnswered    = "pull-answered"
	StepEnded       = "step-ended"
	SampleStarted   = "sample-started"   // Version: the oldest that may generate it
	SampleGenerated = "sample-generated" // Version: the oldest that did
	SampleScored    = "sample-scored"
	SampleFailed    = "sample-failed"    // the attempt, at generating or scoring
	SampleCancelled = "sample-cancelled" // too old, or not wanted any more
	SampleOffered   = "sample-offered"   // sent; that it arrived shows in a cursor only
)

// StepEvent is a step's or a sample's entry in the time line. It holds no
// prompt and no completion.
type StepEvent struct {
	Kind    string
	Team    ident.Team
	Job     ident.Job
	Step    ident.Step
	Sample  *rollout.SampleID // nil: the whole step
	Request ident.RequestID   // of the attempt
	Version ident.Version     // newest known to the step, if the kind names no other
	Detail  string
}

// Recorder takes events for the time line.
type Recorder interface {
	RecordStep(e StepEvent)
}
