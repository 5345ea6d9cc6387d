package dispatch

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

var (
	attemptsMade  = metrics.Counter("dispatch_attempts")
	failures      = metrics.Counter("dispatch_attempts_failed")
	retriesMade   = metrics.Counter("dispatch_retries")
	resumesMade   = metrics.Counter("dispatch_resumes")
	refusals      = metrics.Counter("dispatch_refused")
	parkings      = metrics.Counter("dispatch_parked")
	hedgesMade    = metrics.Counter("dispatch_hedges")
	hedgesWon     = metrics.Counter("dispatch_hedges_won")
	tokensWasted  = metrics.Counter("dispatch_tokens_wasted")
	cachedTokens  = metrics.Counter("dispatch_prompt_tokens_cached")
	deaths        = metrics.Counter("dispatch_upstream_deaths")
	suspects      = metrics.Counter("dispatch_poison_suspects")
	copiesJoined  = metrics.Counter("dispatch_copies_joined")
	copiesUnasked = metrics.Counter("dispatch_copies_unasked")
	copiesStopped = metrics.Counter("dispatch_copies_stopped")
	poisonFinal   = metrics.Counter("dispatch_poison_refused")
)

// noteQueued counts a request that had to wait for a place, by team.
func noteQueued(team ident.Team, waited time.Duration) {
	metrics.Counter("dispatch_queued_" + string(team)).Add(1)
	metrics.Counter("dispatch_queue_us_" + string(team)).Add(waited.Microseconds())
}
