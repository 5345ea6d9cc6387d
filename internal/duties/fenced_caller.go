package duties

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// fencedCaller makes the duties' calls to the platform, each under its own claim.
type fencedCaller struct {
	options        Options
	lastUnanswered atomic.Bool // the last call got no answer
}

// claimAndCall claims a duty and makes a call under the claim. It returns the call's outcome
// and the claim's fencing token. made is false if no call was made.
func (c *fencedCaller) claimAndCall(ctx context.Context, duty string, call func(context.Context, Claim) (Outcome, error)) (o Outcome, fence int64, made bool) {
	log := c.options.Logger
	if c.lastUnanswered.Load() && !c.options.Platform.Reachable(ctx) {
		// The platform may be unreachable for this daemon alone. Its claims would block the
		// standbys that could make the call.
		log.Info().Str("duty", duty).Msg("platform not reached, duty left to others")
		return Unknown, 0, false
	}
	permit, err := c.options.Claims.Claim(ctx, duty)
	if err != nil {
		log.Info().Str("duty", duty).Err(err).Msg("duty not claimed")
		return Unknown, 0, false
	}
	if c.options.Now() >= permit.ExpiresAt {
		log.Warn().Str("duty", duty).Int64("fence", permit.Fence).Msg("claim expired before the call")
		return Unknown, 0, false
	}
	began := c.options.Now()
	o, err = call(ctx, Claim{Holder: c.options.VM, FencingToken: permit.Fence})
	c.lastUnanswered.Store(o == Unknown)
	event := log.Info()
	if o != Done {
		event = log.Warn().Err(err)
	}
	event.Str("duty", duty).Int64("fence", permit.Fence).Str("outcome", o.String()).Dur("took", c.options.Now()-began).Msg("duty's call ended")
	return o, permit.Fence, true
}

// waitToRetry waits after a failed action until this daemon may claim the duty again. Another
// daemon's claim ends at the same time for all candidates. Rank 0 retries first: if a standby
// claimed the duty first, its claim would block the holder in turn.
func (c *fencedCaller) waitToRetry(ctx context.Context, duty string, rank int) {
	wait := c.options.Claims.BlockedFor(duty)
	if wait > 0 {
		wait += time.Duration(rank) * rankDelay
	}
	pause.For(ctx, max(min(wait, maxClaimWait), minRetryDelay))
}

// maxClaimWait limits the wait for the end of another daemon's claim: a daemon that can't
// read the claims' log doesn't know when the claim ends. It is above the time for which a
// claim blocks other daemons with the usual lease of 3 s.
const maxClaimWait = 5 * time.Second

// rankDelay is the time between the retries of two successive ranks. It is above pollInterval.
const rankDelay = 300 * time.Millisecond

// minRetryDelay is the shortest wait after a failed action, such as a refused claim or a call
// without an answer. Reports have some seconds.
const minRetryDelay = 400 * time.Millisecond
