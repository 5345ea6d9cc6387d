package limits_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

// cluster is a set of daemons that share one upstream and receive updates from each other
// with a delay.
type cluster struct {
	limit, delay int     // requests, rounds
	running      []int   // requests in flight by daemon
	history      [][]int // running at the end of each round
	rule         func(limit, own, peers, daemons int) int
}

// lastUpdate returns what the peers of a daemon had in flight according to the newest
// update that it received, and what the daemon itself had in flight then.
func (s *cluster) lastUpdate(daemon int) (own, peers int) {
	at := len(s.history) - 1 - s.delay
	if at < 0 {
		return 0, 0
	}
	return s.history[at][daemon], sum(s.history[at]) - s.history[at][daemon]
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

// round ends up to the given number of requests of each daemon. Then each of the first
// busy daemons starts as many as it may. It returns the number of requests in flight over
// all daemons.
func (s *cluster) round(ends, busy int) int {
	for d := range s.running {
		s.running[d] -= min(ends, s.running[d])
		if d < busy {
			own, peers := s.lastUpdate(d)
			s.running[d] = max(s.running[d], s.rule(s.limit, own, peers, len(s.running)))
		}
	}
	s.history = append(s.history, slices.Clone(s.running))
	return sum(s.running)
}

// peakInFlight returns the peak of the requests in flight over 60 rounds in which all
// daemons start as many as they may, at a limit of 32.
func peakInFlight(daemons, delay int, rule func(limit, own, peers, daemons int) int) (peak int) {
	s := &cluster{limit: 32, delay: delay, running: make([]int, daemons), rule: rule}
	for range 60 {
		peak = max(peak, s.round(1, daemons))
	}
	return peak
}

// greedy uses all capacity that appears to be free.
func greedy(limit, own, peers, _ int) int { return max(own, limit-peers) }

var _ = Describe("sharing without a coordinator", func() {
	// A step starts and every daemon considers the engine idle, because the updates from
	// the others are a round old. If each uses all capacity that appears to be free, the
	// engine is overloaded and slow for all.
	It("exceeds the limit by a bounded number at any delay", func() {
		for _, daemons := range []int{2, 3, 4, 13} {
			for delay := range 5 {
				bound := 32 + daemons
				share := peakInFlight(daemons, delay, limits.Share)
				greedyPeak := peakInFlight(daemons, delay, greedy)
				AddReportEntry(fmt.Sprintf("%d daemons, delay of %d rounds, limit 32: peak %d, greedy %d", daemons, delay, share, greedyPeak))
				Expect(share).To(BeNumerically("<=", bound))
				Expect(greedyPeak).To(BeNumerically(">", bound), "the greedy rule must fail this check")
			}
		}
	})

	It("gives a single daemon the whole limit, and equal shares to those that start later", func() {
		s := &cluster{limit: 32, delay: 1, running: make([]int, 4), rule: limits.Share}
		total := 0
		for range 30 {
			total = s.round(0, 1)
		}
		Expect(total).To(Equal(32))
		Expect(s.round(0, 4)).To(Equal(32 + 3*8))
		for range 40 {
			total = s.round(1, 4)
		}
		Expect(total).To(BeNumerically("~", 32, 4))
		Expect(s.running[3]).To(BeNumerically(">=", 7))
	})

	// A step starts at one daemon. If each round gives that daemon only an equal part of
	// the free capacity, its samples wait while the engines are idle for a second or two.
	It("gives free capacity to the busy daemon", func() {
		equalParts := func(limit, own, peers, daemons int) int {
			free := max(0, limit-own-peers)
			return max((limit+daemons-1)/daemons, own+(free+daemons-1)/daemons)
		}
		rounds := func(rule func(limit, own, peers, daemons int) int) int {
			s := &cluster{limit: 32, running: make([]int, 8), rule: rule}
			n := 1
			for ; s.round(0, 1) < 30; n++ {
				Expect(n).To(BeNumerically("<", 100))
			}
			return n
		}
		Expect(rounds(limits.Share)).To(BeNumerically("<=", 4))
		Expect(rounds(equalParts)).To(BeNumerically(">", 8), "equal parts must fail this check")
	})

	// Thirteen daemons each rounded up their share of a limit of 14 at nine engines, so
	// that nearly twice the limit was in flight during an overload.
	It("adds up to the limit before rounding", func() {
		exact, rounded := 0.0, 0
		for range 13 {
			exact += limits.ShareExact(14, 0, 0, 13)
			rounded += limits.Share(14, 0, 0, 13)
		}
		Expect(exact).To(BeNumerically("~", 14, 1e-6))
		Expect(rounded).To(Equal(26))
	})

	It("uses the requests in flight when the update was made", func() {
		var s limits.ShareTracker
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		s.UpdatePeersAt(32, 0, 4, at(0))
		Expect(s.Allowed()).To(Equal(8))
		for n := range 8 {
			s.RecordOwn(n+1, at(100+n))
		}
		Expect(s.Allowed()).To(Equal(8), "no update, no increase")
		s.UpdatePeersAt(32, 0, 4, at(103))
		Expect(s.Allowed()).To(Equal(4 + 24))
		for n := range 100 {
			s.RecordOwn(8+n%2, at(200+n))
		}
		s.UpdatePeersAt(32, 0, 4, at(103))
		Expect(s.Allowed()).To(Equal(8+22), "the lowest recorded number is used for times before the history")
		s.UpdatePeersAt(32, 40, 4, at(400))
		Expect(s.Allowed()).To(Equal(8))
		s.UpdatePeers(32, 8, 0, 4)
		Expect(s.Allowed()).To(Equal(8 + 22))
		Expect(limits.Share(0, 5, 5, 3)).To(Equal(0))
		Expect(limits.Share(2, 0, 0, 13)).To(Equal(1))
	})
})
