package rollouts

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
)

// Options configure a Manager. The interfaces are required unless noted otherwise. Zero
// limits and durations get the defaults below.
type Options struct {
	Generator Generator
	Scorer    Scorer
	Versions  Versions
	Jobs      Jobs
	Peers     Peers
	Recorder  Recorder // may be nil
	Log       zerolog.Logger
	Step      rollout.Options

	MaxSteps int // maximum number of steps held at the same time
	// MaxHeldBytes limits the prompts and completions of all steps together. Above it
	// no step is accepted, and the steps held start attempts only while a pull couldn't
	// free any of their memory.
	MaxHeldBytes   int64
	MaxAnswerBytes int           // limit on the size of the samples in one answer
	TickInterval   time.Duration // how often a step checks timeouts, versions and its job's settings
	IdleTimeout    time.Duration // a step without a pull for this long is dropped
	// NonOwnerIdleTimeout replaces IdleTimeout on a daemon that isn't the job's owner. It
	// accepted the step while the owner was unreachable, and by now the trainer gets its
	// answers elsewhere.
	NonOwnerIdleTimeout time.Duration
	// FinishedIdleTimeout replaces IdleTimeout once the trainer holds every group.
	FinishedIdleTimeout time.Duration
	ForwardMargin       time.Duration // added to a pull's wait time; after that the owner counts as unreachable
	AttemptTimeout      time.Duration // for generating a sample
	ScoreTimeout        time.Duration // for scoring a sample
	DrainGrace          time.Duration // how long a drain waits for finished groups to be pulled
}

// Default values of Options.
const (
	DefaultMaxSteps            = 64
	DefaultMaxHeldBytes        = 512 << 20
	DefaultMaxAnswerBytes      = 8 << 20
	DefaultTickInterval        = 100 * time.Millisecond
	DefaultIdleTimeout         = 10 * time.Minute
	DefaultNonOwnerIdleTimeout = 30 * time.Second
	DefaultFinishedIdleTimeout = 30 * time.Second
	DefaultForwardMargin       = 2 * time.Second
	DefaultAttemptTimeout      = 10 * time.Minute
	DefaultScoreTimeout        = time.Minute
	DefaultDrainGrace          = 3 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxSteps = cmp.Or(o.MaxSteps, DefaultMaxSteps)
	o.MaxHeldBytes = cmp.Or(o.MaxHeldBytes, DefaultMaxHeldBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.TickInterval = cmp.Or(o.TickInterval, DefaultTickInterval)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.NonOwnerIdleTimeout = cmp.Or(o.NonOwnerIdleTimeout, DefaultNonOwnerIdleTimeout)
	o.FinishedIdleTimeout = cmp.Or(o.FinishedIdleTimeout, DefaultFinishedIdleTimeout)
	o.ForwardMargin = cmp.Or(o.ForwardMargin, DefaultForwardMargin)
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, DefaultAttemptTimeout)
	o.ScoreTimeout = cmp.Or(o.ScoreTimeout, DefaultScoreTimeout)
	o.DrainGrace = cmp.Or(o.DrainGrace, DefaultDrainGrace)
	return o
}
