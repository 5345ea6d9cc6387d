package weights

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// pacer limits the loads of one daemon to what the weight store can serve. The store doesn't
// announce its rate; the daemon only sees loads fail. So loads start at once. The number of
// concurrent loads grows by one with each load that succeeds and halves with each round of
// failures (additive increase, multiplicative decrease), and a round of failures is followed
// by a pause, which doubles each time. The daemons share the store without communicating, and
// all of them slow down together.
//
// If a group is so large that loads of a version still failed some time after its
// publication, the loads of the next version are spread over that time. Without failures,
// the spread halves with each version until it is gone.
type pacer struct {
	window      int           // most concurrent loads
	pause       time.Duration // length of the last pause, halved by each load that succeeded since
	pausedUntil time.Time     // no load starts before
	lastFailure time.Time     // when a load last failed
	spread      time.Duration // time over which the loads of the newest version start
}

// initialWindow is the number of concurrent loads that a daemon starts with.
const initialWindow = 2

// minSpread is the spread below which loads aren't spread at all.
const minSpread = time.Second

// allowsLoad reports whether another load may start now, besides those running.
func (p *pacer) allowsLoad(running int, now time.Time) bool {
	return running < p.window && !now.Before(p.pausedUntil)
}

// loadSucceeded records a load that succeeded. maxWindow is the largest window.
func (p *pacer) loadSucceeded(maxWindow int) {
	p.window = min(p.window+1, maxWindow)
	p.pause /= 2
}

// loadFailed records a failed load. jitter, in [0, 1), shortens the pause by up to a quarter,
// so that daemons whose loads failed together don't retry together. A failure during a pause
// belongs to the round of failures that caused the pause.
func (p *pacer) loadFailed(jitter float64, opts *Options, now time.Time) {
	p.lastFailure = now
	if now.Before(p.pausedUntil) {
		return
	}
	p.window = max(p.window/2, 1)
	p.pause = min(max(2*p.pause, opts.PauseMin), opts.BackoffMax)
	p.pausedUntil = now.Add(p.pause - time.Duration(jitter*float64(p.pause)/4))
}

// startVersion sets the spread of a new version's loads, to at most maxSpread. published is
// when the version before it was published.
func (p *pacer) startVersion(published time.Time, maxSpread time.Duration) {
	failurePeriod := max(p.lastFailure.Sub(published), 0)
	p.spread = min(max(failurePeriod, p.spread/2), maxSpread)
	if p.spread < minSpread {
		p.spread = 0
	}
}

// loadDelay returns how long after its publication a version is loaded on an engine.
func (p *pacer) loadDelay(name ident.Upstream, v ident.Version) time.Duration {
	return time.Duration(hashFraction(name, v) * float64(p.spread))
}
