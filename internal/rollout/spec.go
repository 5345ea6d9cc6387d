package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// ErrInvalidSpec is returned for a Spec from which no step can be created.
var ErrInvalidSpec = errors.New("rollout: invalid step")

// Spec describes a step: what the trainer submitted and the settings of its job.
type Spec struct {
	Team            ident.Team
	Job             ident.Job
	Step            ident.Step
	Model           ident.Model
	Prompts         []Prompt
	GroupSize       int           // samples per prompt
	StalenessBound  int64         // how many versions behind the newest one a delivered token may be
	MaxTokens       int           // limit on the length of a completion, in tokens
	Scorer          string        // name of the scorer group; if empty, every sample gets the reward 0
	TrainerVersion  ident.Version // newest version known to the trainer
	StalenessWeight float64       // trade-off from 0 (only minimize idle time) to 1 (only minimize staleness)
}

// Samples returns the number of samples in the step.
func (s *Spec) Samples() int { return len(s.Prompts) * s.GroupSize }

func (s *Spec) validate() error {
	if len(s.Prompts) == 0 {
		return fmt.Errorf("%w: no prompts", ErrInvalidSpec)
	}
	if s.GroupSize < 1 {
		return fmt.Errorf("%w: group size %d is less than 1", ErrInvalidSpec, s.GroupSize)
	}
	if s.StalenessBound < 0 {
		return fmt.Errorf("%w: staleness bound %d is negative", ErrInvalidSpec, s.StalenessBound)
	}
	return nil
}

// Options are the tuning parameters of a step. Zero fields get the defaults below.
type Options struct {
	MaxGenerating int // maximum number of attempts generating at the same time
	MaxScoring    int // maximum number of completions being scored at the same time; 0 means Window
	// MaxBufferedBytes limits the size of the completions kept. At the limit, no
	// attempt starts as long as a group can be pulled.
	MaxBufferedBytes int
	BackoffBase      time.Duration // backoff after the first failure; doubles with each consecutive failure
	BackoffMax       time.Duration // upper limit of the backoff
	MaxProbeInterval time.Duration // longest delay between probes of the circuit breaker; see breaker
	// StragglerShare is the fraction of the samples that count as stragglers: once
	// no more than this are unfinished, each sample that starts is one. A negative
	// value disables stragglers.
	StragglerShare float64
}

// Default values of Options.
const (
	DefaultMaxGenerating    = 256
	DefaultMaxBufferedBytes = 64 << 20
	DefaultBackoffBase      = 100 * time.Millisecond
	DefaultBackoffMax       = 5 * time.Second
	DefaultMaxProbeInterval = 500 * time.Millisecond
	DefaultStragglerShare   = 0.05
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxGenerating, DefaultMaxGenerating)
	setDefault(&o.MaxScoring, o.MaxGenerating)
	setDefault(&o.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&o.BackoffBase, DefaultBackoffBase)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	setDefault(&o.MaxProbeInterval, DefaultMaxProbeInterval)
	setDefault(&o.StragglerShare, DefaultStragglerShare)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
