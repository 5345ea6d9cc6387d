package rollouts

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// GenerateRequest describes one attempt at generating a sample.
type GenerateRequest struct {
	ID             ident.RequestID // unique for each attempt and each owner
	Team           ident.Team
	Model          ident.Model
	Prompt         string
	MaxTokens      int
	Seed           int64 // the same for all attempts at a sample
	Deadline       time.Time
	ExpectedTokens int           // expected length of the completion, 0 if unknown
	MinVersion     ident.Version // oldest version that may generate the sample, 0 for any
	Straggler      bool          // one of the last samples of the step
	Prefer         ident.Version // prefer an engine that serves this version or a newer one, if one has capacity
}

// Generated is a complete completion. Segments cover exactly its Tokens.
type Generated struct {
	Text     string
	Tokens   int // number of tokens in Text
	Segments []rollout.Segment
}

// Generator runs attempts. It calls began, if not nil, at most once, with the version
// of the first token. Its errors are *AttemptError; any other error counts as transient.
type Generator interface {
	Generate(ctx context.Context, r GenerateRequest, began func(ident.Version)) (Generated, error)
}

// ScoreRequest requests the reward of one completion.
type ScoreRequest struct {
	ID         ident.RequestID
	Team       ident.Team
	Group      string // name of the scorer group
	Prompt     string
	Completion string
	Deadline   time.Time
}

// Scorer scores completions. Its errors are *AttemptError; any other error counts as
// transient.
type Scorer interface {
	Score(ctx context.Context, r ScoreRequest) (float64, error)
}

// AttemptError is a failure to generate or score a sample.
type AttemptError struct {
	Failure rollout.Failure
	Err     error
}

// Error implements error.
func (e *AttemptError) Error() string { return "rollouts: attempt failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Versions provides the newest published version of a model, as known from the weight
// store or from peers, or 0 if none is known.
type Versions interface {
	NewestPublished(model ident.Model) ident.Version
	// Expect reports a version that a trainer knows but NewestPublished doesn't return
	// yet. It causes the weight store to be checked again soon. The trainer's claim alone
	// isn't a reason to have engines load the version.
	Expect(model ident.Model, v ident.Version)
}

// JobSettings are the settings of a job in the configuration.
type JobSettings struct {
	Model           ident.Model
	Scorer          string  // name of the scorer group
	GroupSize       int     // samples per prompt
	StalenessBound  int64   // staleness bound in versions, from the job or else its model
	MaxTokens       int     // limit on the length of a completion, in tokens
	StalenessWeight float64 // trade-off from 0 (only minimize idle time) to 1 (only minimize staleness)
	Cancelled       bool
}

// Jobs looks up jobs in the configuration in force.
type Jobs interface {
	Job(team ident.Team, job ident.Job) (JobSettings, bool)
}

// Peers finds the owner of a job and forwards requests to it. The Forward methods
// return an *Error if the owner answered with it. Any other error means that the owner
// couldn't be reached or didn't answer before the context ended.
type Peers interface {
	// Owner returns the VM that owns a key and whether it is this VM.
	Owner(key string) (vm ident.VM, self bool)
	ForwardSubmit(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r SubmitRequest) (SubmitResponse, error)
	ForwardPull(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step, r PullRequest) (*PullResponse, error)
	ForwardStatus(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) (StatusResponse, error)
	ForwardCancel(ctx context.Context, vm ident.VM, team ident.Team, job ident.Job, step ident.Step) error
}

// Kinds of StepEvent. The events of a step as a whole have no sample.
const (
	StepTaken       = "step-taken"
	PullAnswered    = "pull-answered"
	StepEnded       = "step-ended"
	SampleStarted   = "sample-started"   // Version is the oldest one that may generate the sample
	SampleGenerated = "sample-generated" // Version is the oldest one that generated a token
	SampleScored    = "sample-scored"
	SampleFailed    = "sample-failed"    // an attempt failed to be generated or scored
	SampleCancelled = "sample-cancelled" // too old, or no longer needed
	SampleOffered   = "sample-offered"   // sent; only a later cursor shows that it arrived
)

// StepEvent is an entry in the time line for a step or a sample. It contains no prompt
// and no completion.
type StepEvent struct {
	Kind    string
	Team    ident.Team
	Job     ident.Job
	Step    ident.Step
	Sample  *rollout.SampleID // nil for the step as a whole
	Request ident.RequestID   // of the attempt
	Version ident.Version     // newest version known to the step, unless the kind defines another meaning
	Detail  string
}

// Recorder records events in the time line.
type Recorder interface {
	RecordStep(e StepEvent)
}
