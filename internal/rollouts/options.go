package rollouts

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// Options are what a Manager works with. The interfaces are required; zero
// limits and times get the defaults below.
type Options struct {
	Generator Generator
	Scorer    Scorer
	Versions  Versions
	Jobs      Jobs
	Peers     Peers
	Recorder  Recorder // of the time line, may be nil
	Log       zerolog.Logger
	Step      rollout.Options

	MaxSteps int // held at once
	// MaxHeldBytes bounds the prompts and completions of all steps together:
	// above it no step is taken, and those held start samples only while they
	// have nothing that a pull would free.
	MaxHeldBytes   int64
	MaxAnswerBytes int           // of samples in one answer
	TickInterval   time.Duration // how often a step looks at time, versions and its job
	IdleTimeout    time.Duration // a step without a pull for so long is dropped
	// ForeignTimeout replaces IdleTimeout on a daemon that isn't the job's owner:
	// it took the step while the owner was out of reach, and the trainer is
	// served elsewhere by now.
	ForeignTimeout time.Duration
	// FinishedTimeout replaces IdleTimeout once the trainer holds every group.
	FinishedTimeout time.Duration
	ForwardMargin   time.Duration // on top of a pull's wait, until its owner counts as out of reach
	AttemptTimeout  time.Duration
	ScoreTimeout    time.Duration
	DrainGrace      time.Duration // how long finished groups wait for a last pull in a drain
}

// Defaults of Options.
const (
	DefaultMaxSteps        = 64
	DefaultMaxHeldBytes    = 512 << 20
	DefaultMaxAnswerBytes  = 8 << 20
	DefaultTickInterval    = 100 * time.Millisecond
	DefaultIdleTimeout     = 10 * time.Minute
	DefaultForeignTimeout  = 30 * time.Second
	DefaultFinishedTimeout = 30 * time.Second
	DefaultForwardMargin   = 2 * time.Second
	DefaultAttemptTimeout  = 10 * time.Minute
	DefaultScoreTimeout    = time.Minute
	DefaultDrainGrace      = 3 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxSteps = cmp.Or(o.MaxSteps, DefaultMaxSteps)
	o.MaxHeldBytes = cmp.Or(o.MaxHeldBytes, DefaultMaxHeldBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.TickInterval = cmp.Or(o.TickInterval, DefaultTickInterval)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.ForeignTimeout = cmp.Or(o.ForeignTimeout, DefaultForeignTimeout)
	o.FinishedTimeout = cmp.Or(o.FinishedTimeout, DefaultFinishedTimeout)
	o.ForwardMargin = cmp.Or(o.ForwardMargin, DefaultForwardMargin)
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, DefaultAttemptTimeout)
	o.ScoreTimeout = cmp.Or(o.ScoreTimeout, DefaultScoreTimeout)
	o.DrainGrace = cmp.Or(o.DrainGrace, DefaultDrainGrace)
	return o
}
