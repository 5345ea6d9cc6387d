package duties

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// caller makes a duty's calls, each under a claim of its own.
type caller struct {
	options    Options
	unanswered atomic.Bool // the last call was
}

// do claims a duty and makes a call under the claim. It reports false if none was made.
func (c *caller) do(ctx context.Context, duty string, call func(context.Context, Call) (Outcome, error)) (o Outcome, fence int64, made bool) {
	log := c.options.Logger
	if c.unanswered.Load() && !c.options.Platform.Reachable(ctx) {
		// The way to the platform may be cut for this daemon alone. Its claims would bar
		// those that could stand in.
		log.Info().Str("duty", duty).Msg("platform not reached, duty left to others")
		return Unknown, 0, false
	}
	permit, err := c.options.Claims.Claim(ctx, duty)
	if err != nil {
		log.Info().Str("duty", duty).Err(err).Msg("duty not claimed")
		return Unknown, 0, false
	}
	if c.options.Now() >= permit.Until {
		log.Warn().Str("duty", duty).Int64("fence", permit.Fence).Msg("claim too old for a call")
		return Unknown, 0, false
	}
	began := c.options.Now()
	o, err = call(ctx, Call{Holder: c.options.VM, Fence: permit.Fence})
	c.unanswered.Store(o == Unknown)
	line := log.Info()
	if o != Done {
		line = log.Warn().Err(err)
	}
	line.Str("duty", duty).Int64("fence", permit.Fence).Str("outcome", o.String()).Dur("took", c.options.Now()-began).Msg("duty's call ended")
	return o, permit.Fence, true
}

// rest waits after a step that failed, until a claim may be written again. All that stand in
// wait for the same moment; the holder goes first, or it would lose the duty for as long as a
// claim bars others to whoever happens to look just then.
func (c *caller) rest(ctx context.Context, duty string, rank int) {
	wait := c.options.Claims.Barred(duty)
	if wait > 0 {
		wait += time.Duration(rank) * rankRest
	}
	pause.For(ctx, max(min(wait, maxRest), stepPause))
}

// maxRest bounds a wait: a daemon that can't read the claims' log doesn't know for how long
// it is barred. It is above what a claim bars others for with the usual lease of 3 s.
const maxRest = 5 * time.Second

// rankRest is between the tries of one rank and the next: above turnLook.
const rankRest = 300 * time.Millisecond

// stepPause follows a step that failed: a claim that was refused, a call without an
// answer. Reports have some seconds.
const stepPause = 400 * time.Millisecond
