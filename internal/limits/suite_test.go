package limits_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

const (
	production = routing.ClassProduction
	rollout    = routing.ClassRollout
)

// start is the time at which every test begins.
var start = time.Unix(1_700_000_000, 0)

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

// randomEntry returns a random entry that arrives at the given time.
func randomEntry(r *rand.Rand, ticket int, now time.Time) limits.Entry {
	e := limits.Entry{
		Ticket:    limits.Ticket(ticket),
		Team:      ident.Team(fmt.Sprintf("team%d", r.IntN(3))),
		Class:     routing.Class(r.IntN(2)),
		Cost:      float64(r.IntN(500)),
		Straggler: r.IntN(10) == 0,
	}
	if r.IntN(3) > 0 {
		e.Deadline = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
	}
	if e.Class == rollout && r.IntN(4) > 0 {
		e.StepDeadline = start.Add(time.Duration(r.IntN(60)) * time.Second)
	}
	return e
}

// admitter is the interface of a Queue, also implemented by the alternatives that it is
// compared with.
type admitter interface {
	SetTeam(ident.Team, float64, int)
	SetCapacity(int, int)
	Enqueue(limits.Entry, time.Time) limits.Decision
	Done(limits.Ticket, time.Time)
	Cancel(limits.Ticket, time.Time)
	Next(time.Time) ([]limits.Ticket, []limits.Expired)
}

// runSession performs random operations on a queue and returns a log of all results.
func runSession(seed uint64, steps int, q admitter) string {
	var out strings.Builder
	r, now := rng(seed), start
	var running []limits.Ticket
	q.SetTeam("team0", 1, 20)
	q.SetTeam("team1", 3, 50)
	q.SetCapacity(20, 2)
	for i := range steps {
		now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
		switch n := r.IntN(12); {
		case n == 0:
			q.SetCapacity(10+r.IntN(20), r.IntN(8))
		case n == 1:
			q.Cancel(limits.Ticket(r.IntN(i+1)), now)
		case n <= 4 && len(running) > 0:
			at := r.IntN(len(running))
			q.Done(running[at], now)
			running = append(running[:at], running[at+1:]...)
		default:
			e := randomEntry(r, i, now)
			d := q.Enqueue(e, now)
			fmt.Fprintf(&out, "%d %s %s admit=%t queued=%t refused=%s after=%s\n", i, e.Team, e.Class, d.Admit, d.Queued, d.Refused, d.RetryAfter)
			if d.Admit {
				running = append(running, e.Ticket)
			}
		}
		starts, expired := q.Next(now)
		fmt.Fprintf(&out, "%d starts=%v expired=%v\n", i, starts, expired)
		running = append(running, starts...)
	}
	return out.String()
}

var _ = It("returns identical output when a session is repeated", func() {
	run := func() string {
		return runSession(1, 400, limits.NewQueue(limits.Options{ProductionReserve: 0.3, MaxQueue: 60}))
	}
	got := run()
	Expect(run()).To(Equal(got))
	golden.Expect("session.golden", got)
})
