package dispatch

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

var (
	attemptsMade    = metrics.Counter("dispatch_attempts")
	attemptsFailed  = metrics.Counter("dispatch_attempts_failed")
	retriesMade     = metrics.Counter("dispatch_retries")
	resumesMade     = metrics.Counter("dispatch_resumes")
	requestsRefused = metrics.Counter("dispatch_refused")
	requestsParked  = metrics.Counter("dispatch_parked")
	hedgesMade      = metrics.Counter("dispatch_hedges")
	hedgesWon       = metrics.Counter("dispatch_hedges_won")
	tokensWasted    = metrics.Counter("dispatch_tokens_wasted")
	cachedTokens    = metrics.Counter("dispatch_prompt_tokens_cached")
	upstreamDeaths  = metrics.Counter("dispatch_upstream_deaths")
	poisonSuspects  = metrics.Counter("dispatch_poison_suspects")
	copiesJoined    = metrics.Counter("dispatch_copies_joined")
	copiesUnplaced  = metrics.Counter("dispatch_copies_unasked")
	copiesStopped   = metrics.Counter("dispatch_copies_stopped")
	poisonRefused   = metrics.Counter("dispatch_poison_refused")
)

// recordQueueWait counts a request that had to wait for a slot and its waiting time, by team.
func recordQueueWait(team ident.Team, waited time.Duration) {
	metrics.Counter("dispatch_queued_" + string(team)).Add(1)
	metrics.Counter("dispatch_queue_us_" + string(team)).Add(waited.Microseconds())
}
