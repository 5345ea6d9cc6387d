// Package trainer is the stand-in for a trainer: the client library of the
// trainer's API, and a loop of steps that checks every sample it is given.
package trainer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Options describe a run of a trainer.
type Options struct {
	Daemons   []string // base URLs, behind the platform's balancer
	Key       string   // bearer key of the team's trainer
	Job       string
	FirstStep int
	Steps     int
	Prompts   int
	Lengths   Lengths
	Seed      uint64
	// Bound is the staleness bound that samples are held to, in versions.
	Bound int64
	// Model and PublishTo: a new version is published there between steps.
	Model     string
	PublishTo string // URL of the weight store; empty: nothing is published
	// Version is the newest version at the start, when PublishTo is empty.
	Version int64
	// TrainTime is how long the trainer computes on a whole step.
	TrainTime time.Duration
	// Unscored skips the check of rewards, for jobs without a scorer.
	Unscored bool
	// PullWait is how long a pull may wait, StepTime when a step is given up.
	PullWait, StepTime time.Duration
	// FollowStore has the trainer learn of new versions in PublishTo also while
	// a step is on its way, as one of several that train the model does.
	FollowStore bool
	// MaxGroups bounds a pull's answer, PullPause is the time between two pulls:
	// a slow trainer leaves finished samples waiting at their daemon.
	MaxGroups int
	PullPause time.Duration
	// CutAnswers is how many answers the trainer's connection is cut in the
	// middle of, always two running.
	CutAnswers int
	// Restarts is how often the trainer starts anew in mid-step, with a pull
	// outstanding. KeepCursor: it has saved what it had accepted.
	Restarts   int
	KeepCursor bool
	// Progress is told of every accepted answer; may be nil.
	Progress func(step, samples, wanted int)
}

func (o Options) withDefaults() Options {
	if o.FirstStep <= 0 {
		o.FirstStep = 1
	}
	if o.PullWait <= 0 {
		o.PullWait = time.Second
	}
	if o.StepTime <= 0 {
		o.StepTime = 2 * time.Minute
	}
	if o.Version <= 0 {
		o.Version = 1
	}
	if o.Progress == nil {
		o.Progress = func(int, int, int) {}
	}
	return o
}

// Lengths describe how long completions are: uniform between Min and Max
// tokens, but for a share of long ones.
type Lengths struct {
	Min, Max  int
	Tail      int     // tokens of a long one
	TailShare float64 // 0..1
}

// draw returns one length in tokens.
func (l Lengths) draw(random *rand.Rand) int {
	if l.Tail > 0 && random.Float64() < l.TailShare {
		return l.Tail
	}
	low := max(l.Min, 1)
	return low + random.IntN(max(l.Max-low, 0)+1)
}

// templates is how many prefixes the prompts of a step share.
const templates = 8

// prompts makes the prompts of a step; the same seed makes the same ones.
func (o Options) prompts(step int) []rollout.Prompt {
	random := rand.New(rand.NewPCG(o.Seed, uint64(step)))
	out := make([]rollout.Prompt, o.Prompts)
	for i := range out {
		tokens := o.Lengths.draw(random)
		template := fmt.Sprintf("%-*s", wire.PrefixBytes, fmt.Sprintf("job %s, template %d:", o.Job, random.IntN(templates)))
		out[i] = rollout.Prompt{
			Text:           fmt.Sprintf("%s step %d prompt %d seed %d tokens=%d", template, step, i, o.Seed, tokens),
			ExpectedTokens: tokens,
		}
	}
	return out
}
