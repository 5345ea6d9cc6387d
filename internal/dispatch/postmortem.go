package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

const (
	// autopsies is how often a broken connection is looked into: the kernel of a
	// dying process may close its streams before its listening socket, so that
	// the first probe gets a connection which then breaks.
	autopsies    = 4
	autopsyPause = 25 * time.Millisecond
)

// postMortem finds out whether the upstream's process ended during an attempt
// that broke. Refused connections and another boot ID prove it; the same boot ID
// disproves it; anything else is not known and counts as alive.
func (s *shard) postMortem(sl *slot) (poison.Death, bool) {
	death := poison.Death{Upstream: sl.m.target.Name, BootID: sl.bootID}
	broke := s.d.o.Now()
	// The caller may be gone; what killed the upstream must be known all the same.
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.d.o.ProbeTimeout)
	defer cancel()
	for i := range autopsies {
		if i > 0 {
			waitFor(ctx, nil, autopsyPause)
			broke = s.d.o.Now()
		}
		found := s.probe(ctx, sl.m, broke)
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
