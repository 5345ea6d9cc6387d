package dispatch

import "github.com/dogwoodflow/dogwoodflow/internal/routing"

// reserveNeed estimates how much sensitive work the whole fleet of daemons has in
// flight in a group: production by this daemon's, since callers come to all alike
// through the platform's balancer, and what decides the end of its own steps.
type reserveNeed struct {
	daemons    int // that use the group, this one too
	production int // in flight
	deciding   int // rollouts in flight that decide their step's end
	mean       float64
}

const (
	// needRate is the weight of a tick in the mean: some 1.5 s.
	needRate = 1.0 / 30
	// leastNeed is the mean below which nothing is reserved.
	leastNeed = 0.3
)

func (n *reserveNeed) began(sl *slot, r routing.Request, t *routing.Table) {
	sl.class, sl.sensitive = r.Class, t.Sensitive(r)
	n.add(sl, 1)
}

func (n *reserveNeed) ended(sl *slot) { n.add(sl, -1) }

func (n *reserveNeed) add(sl *slot, delta int) {
	switch {
	case !sl.sensitive:
	case sl.class == routing.ClassProduction:
		n.production += delta
	default:
		n.deciding += delta
	}
}

// tick returns the mean need; it is called once a tick. What decides a step's end
// counts at once: it comes first in a step, and the rest right behind it.
func (n *reserveNeed) tick() float64 {
	now := float64(n.production * max(1, n.daemons))
	n.mean += needRate * (now - n.mean)
	need := n.mean + float64(n.deciding)
	if need < leastNeed {
		return 0
	}
	return need
}
