package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

const (
	// deathProbes is the number of probes after a broken connection. The kernel of a
	// dying process may close its streams before its listening socket, so the first probe
	// may still get a connection, which then breaks.
	deathProbes     = 4
	deathProbePause = 25 * time.Millisecond
)

// confirmDeath probes the upstream to find out whether its process died during a failed
// attempt. A refused connection or a different boot ID proves the death, and the same boot
// ID disproves it. Any other result is inconclusive, and the process counts as alive.
func (s *shard) confirmDeath(sl *slot) (poison.Death, bool) {
	death := poison.Death{Upstream: sl.member.target.Name, BootID: sl.bootID}
	brokenAt := s.dispatcher.options.Now()
	// The context isn't the caller's: the death has to be detected even if the caller is gone.
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.dispatcher.options.ProbeTimeout)
	defer cancel()
	for i := range deathProbes {
		if i > 0 {
			waitUpTo(ctx, nil, deathProbePause)
			brokenAt = s.dispatcher.options.Now()
		}
		found := s.probe(ctx, sl.member, brokenAt)
		switch {
		case found.refused:
			return death, true
		case found.err == nil:
			return death, sl.bootID != "" && found.bootID != sl.bootID
		case !found.broken:
			return death, false
		}
	}
	return death, false
}
