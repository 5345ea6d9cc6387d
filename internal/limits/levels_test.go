package limits_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/limits"
)

// levelReference is a naive queue of production with levels, and teams of equal weight.
type levelReference struct {
	queue       []limits.Entry           // in order of arrival
	startTags   map[limits.Entry]float64 // by flowOf
	virtualTime map[int]float64          // by level
	passed      map[int]int              // starts of others while a level waited, since its own last one
}

// flowOf returns an entry with only the team and level of e.
func flowOf(e limits.Entry) limits.Entry { return limits.Entry{Team: e.Team, Level: e.Level} }

// waiting returns the waiting levels except one in the order of their turns, and whether
// each has at most 15 starts of others before its own if other starts come before them.
func (n *levelReference) waiting(except, after int) (levels []int, inTime bool) {
	for _, e := range n.queue {
		if e.Level != except && !slices.Contains(levels, e.Level) {
			levels = append(levels, e.Level)
		}
	}
	slices.SortFunc(levels, func(a, b int) int { return cmp.Or(n.passed[b]-n.passed[a], a-b) })
	late := func(level int) bool { return n.passed[level]+after+slices.Index(levels, level) > 15 }
	return levels, !slices.ContainsFunc(levels, late)
}

func (n *levelReference) add(e limits.Entry) {
	n.startTags[flowOf(e)] = max(n.startTags[flowOf(e)], n.virtualTime[e.Level])
	if before, _ := n.waiting(-1, 0); !slices.Contains(before, e.Level) {
		n.passed[e.Level] = min(n.passed[e.Level], max(0, 15-len(before)))
	}
	n.queue = append(n.queue, e)
	slices.SortFunc(n.queue, func(a, b limits.Entry) int { return cmp.Compare(a.Ticket, b.Ticket) })
}

// start records the start of an entry, which may be queued.
func (n *levelReference) start(e limits.Entry) {
	f := flowOf(e)
	n.virtualTime[e.Level] = max(n.virtualTime[e.Level], n.startTags[f])
	n.startTags[f] = n.virtualTime[e.Level] + max(1, e.Cost)
	levels, _ := n.waiting(e.Level, 0)
	for _, level := range levels {
		n.passed[level]++
	}
	n.passed[e.Level] = 0
	n.queue = slices.DeleteFunc(n.queue, func(o limits.Entry) bool { return o.Ticket == e.Ticket })
}

// first returns the entry to start next.
func (n *levelReference) first() limits.Entry {
	levels, _ := n.waiting(-1, 0)
	level, lowest := levels[0], slices.Min(levels)
	if _, inTime := n.waiting(lowest, 1); inTime {
		level = lowest
	}
	ofLevel := slices.DeleteFunc(slices.Clone(n.queue), func(e limits.Entry) bool { return e.Level != level })
	return slices.MinFunc(ofLevel, func(a, b limits.Entry) int {
		x, y, last := n.startTags[flowOf(a)], n.startTags[flowOf(b)], start.Add(time.Hour)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Team, b.Team), cmp.Or(a.LatestStart, last).Compare(cmp.Or(b.LatestStart, last)))
	})
}

// Load 1 of docs/load-control.md: 73 customers of different priorities, of which an operator
// changes some while their calls wait. A wrong order serves a less urgent customer first.
var _ = DescribeTable("agrees with the naive reference in a random session", func(levels int) {
	r, q := rng(uint64(levels)), limits.NewQueue(limits.Options{})
	n := &levelReference{startTags: map[limits.Entry]float64{}, virtualTime: map[int]float64{}, passed: map[int]int{}}
	for i := range 5000 {
		now, free := start.Add(time.Duration(i)*10*time.Millisecond), r.IntN(4)*r.IntN(2)
		q.SetCapacity(q.Running(production)+free, 0)
		e := randomEntry(r, i, now)
		e.Class, e.StepDeadline, e.Straggler, e.Level = production, time.Time{}, false, r.IntN(levels)
		e.LatestStart = []time.Time{{}, start, now.Add(-time.Duration(r.IntN(2000)) * time.Millisecond)}[r.IntN(3)]
		if d := q.Enqueue(e, now); d.Admit {
			Expect(n.queue).To(BeEmpty())
			n.start(e)
			free--
		} else if d.Queued {
			n.add(e)
		}
		if shift := 1 + r.IntN(levels-1); i%40 == 0 {
			level := func(e limits.Entry) int { return (e.Level + shift) % levels }
			Expect(q.UpdateLevels("team0", level)).To(Equal(q.TeamQueued("team0", production)))
			for _, e := range slices.DeleteFunc(slices.Clone(n.queue), func(e limits.Entry) bool { return e.Team != "team0" }) {
				n.queue = slices.DeleteFunc(n.queue, func(o limits.Entry) bool { return o.Ticket == e.Ticket })
				e.Level = level(e)
				n.add(e)
			}
		}
		starts, _ := q.Next(now)
		n.queue = slices.DeleteFunc(n.queue, func(e limits.Entry) bool { return !e.Deadline.IsZero() && !now.Before(e.Deadline) })
		var want []limits.Ticket
		for ; free > 0 && len(n.queue) > 0; free-- {
			want = append(want, n.first().Ticket)
			n.start(n.first())
			_, inTime := n.waiting(-1, 0)
			Expect(inTime || levels > 16).To(BeTrue(), "each level gets one of 16 starts")
		}
		Expect(starts).To(Equal(want))
		Expect(q.QueuedByTeam(production)["team1"]).To(Equal(q.TeamQueued("team1", production)))
		oldest := append(slices.Clone(n.queue), e)[0]
		Expect(q.OldestWait(production, now)).To(Equal(time.Duration(i-int(oldest.Ticket)) * 10 * time.Millisecond))
	}
}, Entry("with 2 levels", 2), Entry("with 5 levels", 5), Entry("with 16 levels", 16), Entry("with 24 levels", 24))

// The peak of 70 times of load 1 at one daemon with two slots: urgent calls alone exceed the
// slots for 10 s, and a call can wait for 6 starts. Refusals by the estimated wait must
// neither starve the less urgent calls nor give them more than their turns. At each turn
// they may delay one urgent call and queue one in vain.
var _ = It("gives levels their turns in a peak in which no call can wait for a whole turn", func() {
	q, now, started, late, running := limits.NewQueue(limits.Options{}), start, [2]int{}, 0, []limits.Ticket(nil)
	enqueue := func(i, level int, wait time.Duration) limits.Decision {
		return q.Enqueue(limits.Entry{Ticket: limits.Ticket(i), Team: "a", Level: level, Deadline: now.Add(wait)}, now)
	}
	for i := range 2000 {
		now = start.Add(time.Duration(i/5) * 25 * time.Millisecond)
		for ; i%5 == 0 && len(running) > 0; running = running[1:] {
			q.Done(running[0], now)
		}
		starts, expired := q.Next(now)
		running, late = append(running, starts...), late+len(expired)
		for _, t := range starts {
			started[t%5/4]++
		}
		enqueue(i, i%5/4, 76*time.Millisecond)
		q.SetCapacity(min(2, i/5), 0) // from the second tick on, so that Next starts every entry
	}
	Expect(started[0]).To(BeNumerically("~", 800*15/16, 6))
	Expect(started[1]).To(BeNumerically("~", 800/16, 3))
	Expect(late).To(BeNumerically("<=", 2*started[1]+15), "15 arrive before the run time is known")
	now = now.Add(time.Hour)
	q.Next(now) // all queued entries expire
	for i := range 50 {
		enqueue(2000+i, 5, time.Hour)
	}
	Expect(enqueue(3000, 6, 199*time.Millisecond).Refused).To(Equal(limits.RefuseDeadline), "starts 16th, at 80 per second")
	Expect(enqueue(3001, 6, 201*time.Millisecond).Queued).To(BeTrue())
	Expect(enqueue(3002, 0, 13*time.Millisecond).Queued).To(BeTrue(), "is ahead of all")
	q.SetTeam("a", 1, 52)
	Expect(enqueue(3003, 0, time.Hour).Refused).To(Equal(limits.RefuseTeamFull), "the maximum is that of all levels")
})
