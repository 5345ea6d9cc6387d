package weights

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// pacer keeps one daemon's loads at what the weight store lets through. The store
// says nothing of its rate beforehand; what is seen of it are loads that fail. So
// loads begin at once, their number at a time grows by one with each that worked
// and halves with each round of failures (additive increase, multiplicative
// decrease), and a round of failures is followed by a pause that doubles. Many
// daemons share the store without talking: all of them slow down together.
//
// A group so large that loads of its last version failed up to some time after the
// publication begins the next one's loads spread over that time; without failures
// it halves until it is gone.
type pacer struct {
	window   int // loads at a time
	pause    time.Duration
	until    time.Time // no load begins before
	lastFail time.Time
	spread   time.Duration
}

// firstWindow is the number of loads at a time that a daemon begins with.
const firstWindow = 2

// minSpread is the spread below which loads aren't spread.
const minSpread = time.Second

func (c *pacer) allows(running int, now time.Time) bool {
	return running < c.window && !now.Before(c.until)
}

func (c *pacer) applied(most int) {
	c.window = min(c.window+1, most)
	c.pause /= 2
}

// failed takes a load's failure; share, in 0..1, spreads daemons that failed
// together. Loads that had begun before the last failure belong to its round.
func (c *pacer) failed(share float64, opts *Options, now time.Time) {
	c.lastFail = now
	if now.Before(c.until) {
		return
	}
	c.window = max(c.window/2, 1)
	c.pause = min(max(2*c.pause, opts.PauseMin), opts.BackoffMax)
	c.until = now.Add(c.pause - time.Duration(share*float64(c.pause)/4))
}

// nextVersion ends the version published at a time; the next one's loads are spread
// over bound at most.
func (c *pacer) nextVersion(published time.Time, bound time.Duration) {
	failing := max(c.lastFail.Sub(published), 0)
	c.spread = min(max(failing, c.spread/2), bound)
	if c.spread < minSpread {
		c.spread = 0
	}
}

// begin returns how long after its publication an engine's load of a version begins.
func (c *pacer) begin(name ident.Upstream, v ident.Version) time.Duration {
	return time.Duration(fraction(name, v) * float64(c.spread))
}
