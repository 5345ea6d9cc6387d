package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// ErrSpec says that a step can't be made from its Spec.
var ErrSpec = errors.New("rollout: bad step")

// Spec is what a trainer submitted, with its job's settings.
type Spec struct {
	Team            ident.Team
	Job             ident.Job
	Step            ident.Step
	Model           ident.Model
	Prompts         []Prompt
	GroupSize       int
	Bound           int64 // staleness bound in versions
	MaxTokens       int
	Scorer          string        // group of scorers; "" gives every sample the reward 0
	TrainerVersion  ident.Version // newest version that the trainer knows of
	StalenessWeight float64       // 0 weighs idle time alone, 1 staleness alone
}

// Samples returns how many samples the step has.
func (s *Spec) Samples() int { return len(s.Prompts) * s.GroupSize }

func (s *Spec) check() error {
	if len(s.Prompts) == 0 {
		return fmt.Errorf("%w: no prompts", ErrSpec)
	}
	if s.GroupSize < 1 {
		return fmt.Errorf("%w: group size %d", ErrSpec, s.GroupSize)
	}
	if s.Bound < 0 {
		return fmt.Errorf("%w: staleness bound %d", ErrSpec, s.Bound)
	}
	return nil
}

// Options tune a step. Zero fields get the defaults below.
type Options struct {
	Window      int           // attempts generating at once
	ScoreWindow int           // attempts being scored at once
	MaxBytes    int           // of finished completions; above it no new attempts while a group can be pulled
	BackoffBase time.Duration // after the first failure, doubled by each further one
	BackoffMax  time.Duration
	HoldMax     time.Duration // longest wait of a step between probes, see hold
	// StragglerShare: once no larger share of the samples is outstanding, those
	// that start are stragglers. Negative: none are.
	StragglerShare float64
}

// Defaults of Options.
const (
	DefaultWindow         = 256
	DefaultMaxBytes       = 64 << 20
	DefaultBackoffBase    = 100 * time.Millisecond
	DefaultBackoffMax     = 5 * time.Second
	DefaultHoldMax        = 500 * time.Millisecond
	DefaultStragglerShare = 0.05
)

func (o Options) withDefaults() Options {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.ScoreWindow, o.Window)
	setDefault(&o.MaxBytes, DefaultMaxBytes)
	setDefault(&o.BackoffBase, DefaultBackoffBase)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.HoldMax, DefaultHoldMax)
	setDefault(&o.StragglerShare, DefaultStragglerShare)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
