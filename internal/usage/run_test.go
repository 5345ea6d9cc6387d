package usage

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The model of TestCountingMethods advances in steps of 1 ms, its unit of time.
const (
	modelSlots, modelQueue, modelRun = 6, 24, 25.0
	modelReportAge                   = 100
	modelHedge                       = 75
	modelWindow, modelWindows        = 5000, 40
)

// modelSend is a copy of a call at an upstream.
type modelSend struct {
	call             *modelCall
	sentAt           int
	wait             float64 // expected
	startedAt, endAt int     // startedAt -1: in the queue
}

type modelCall struct {
	hedgeAt, leaveAt int
	tried            map[int]bool
	sends            []*modelSend // no outcome yet
	done             bool
}

type modelUpstream struct {
	queue, running []*modelSend
	waits          []float64 // expected wait by the load at each step
}

// simulateUpstreams runs 3 upstreams at a multiple of their capacity. ended is called with the
// outcome of each send that was not refused.
func simulateUpstreams(load float64, random *rand.Rand, ended func(s *modelSend, now int, outcome Outcome)) {
	upstreams := []*modelUpstream{{}, {}, {}}
	var calls []*modelCall
	nextArrival := 0.0
	send := func(c *modelCall, now int) {
		for _, i := range random.Perm(len(upstreams)) {
			u := upstreams[i]
			if c.tried[i] {
				continue
			}
			c.tried[i] = true
			if len(u.queue) >= modelQueue {
				continue // refused
			}
			s := &modelSend{call: c, sentAt: now, startedAt: -1}
			if now >= modelReportAge {
				s.wait = u.waits[now-modelReportAge]
			}
			u.queue, c.sends = append(u.queue, s), append(c.sends, s)
			return
		}
	}
	// end ends a call: an upstream drops the copies that are still in its queue or running.
	end := func(c *modelCall, now int, answered *modelSend) {
		c.done = true
		for _, s := range c.sends {
			if s == answered {
				ended(s, now, Answered)
			} else {
				ended(s, now, Unanswered)
			}
		}
	}
	dropEnded := func(s *modelSend) bool { return s.call.done }
	for now := range modelWindow * modelWindows {
		for _, u := range upstreams {
			for _, s := range u.running {
				if !s.call.done && s.endAt <= now {
					end(s.call, now, s)
				}
			}
		}
		for _, c := range calls {
			switch {
			case c.done:
			case now >= c.leaveAt:
				end(c, now, nil)
			case now == c.hedgeAt:
				send(c, now)
			}
		}
		calls = slices.DeleteFunc(calls, func(c *modelCall) bool { return c.done || len(c.sends) == 0 })
		for ; nextArrival <= float64(now); nextArrival += random.ExpFloat64() * modelRun / (3 * modelSlots * load) {
			c := &modelCall{hedgeAt: now + modelHedge, leaveAt: now + 780, tried: map[int]bool{}}
			if random.IntN(5) == 0 {
				c.leaveAt = now + 10 + random.IntN(140)
			}
			send(c, now)
			calls = append(calls, c)
		}
		for _, u := range upstreams {
			u.queue, u.running = slices.DeleteFunc(u.queue, dropEnded), slices.DeleteFunc(u.running, dropEnded)
			for len(u.queue) > 0 && len(u.running) < modelSlots {
				s := u.queue[0]
				s.startedAt, s.endAt = now, now+int(modelRun*(0.4+1.2*random.Float64()))
				u.queue, u.running = u.queue[1:], append(u.running, s)
			}
			wait := 0.0
			if len(u.running) == modelSlots {
				wait = float64(len(u.queue)+1) * modelRun / modelSlots
			}
			u.waits = append(u.waits, wait)
		}
	}
}

// Measures four ways to count against the windows' tolerance of 0.05, and guards against a change
// to RunStart that counts worse than the others.
func TestCountingMethods(t *testing.T) {
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	random := rand.New(rand.NewPCG(3, 3))
	names := []string{"count all", "count none", "expected wait", "probability"}
	methods := []func(x Transmission) (time.Duration, bool){
		func(x Transmission) (time.Duration, bool) { return x.SentAt, true },
		func(x Transmission) (time.Duration, bool) { return x.SentAt, x.Outcome == Answered },
		Transmission.RunStart,
		func(x Transmission) (time.Duration, bool) {
			at, _ := x.RunStart()
			// A report that is 100 ms old is off by some run times: the chance that the run
			// began rises from 0 to 1 around the expected wait.
			chance := 0.5 + float64(x.EndedAt-at)/float64(2*ms(modelRun))
			return min(at, x.EndedAt), x.Outcome == Answered || random.Float64() < chance
		},
	}
	for _, load := range []float64{0.5, 1, 1.5} {
		rights := map[string]int{}
		truth := make([]float64, modelWindows+1)
		counted := make([][modelWindows + 1]float64, len(methods))
		unanswered, total := 0, 0
		simulateUpstreams(load, rand.New(rand.NewPCG(7, 7)), func(s *modelSend, now int, outcome Outcome) {
			if s.startedAt >= 0 {
				truth[s.startedAt/modelWindow]++
			}
			total++
			if outcome == Unanswered {
				unanswered++
			}
			x := Transmission{SentAt: ms(float64(s.sentAt)), ExpectedWait: ms(s.wait), WaitKnown: true, EndedAt: ms(float64(now)), Outcome: outcome}
			for i, method := range methods {
				if at, counts := method(x); counts {
					counted[i][at/ms(modelWindow)]++
				}
			}
		})
		t.Logf("load %.1f: %.0f runs a window, %.1f%% of sends unanswered", load, truth[1], 100*float64(unanswered)/float64(total))
		for i, name := range names {
			mean, worst, right := 0.0, 0.0, 0
			for k := range modelWindows {
				e := counted[i][k]/truth[k] - 1
				mean += e / modelWindows
				worst = max(worst, math.Abs(e))
				if math.Abs(e) <= 0.05 {
					right++
				}
			}
			rights[name] = right
			t.Logf("load %.1f %-14s mean %+6.2f%% worst %5.2f%% right %d of %d", load, name, 100*mean, 100*worst, right, modelWindows)
		}
		NewWithT(t).Expect(rights["expected wait"]).To(Equal(modelWindows), "load %.1f", load)
	}
}
