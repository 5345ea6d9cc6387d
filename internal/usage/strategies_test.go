package usage

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// strategy is a way to collect the counts of all daemons, in a simulation in which daemons
// are killed. A daemon that is killed loses what it counted since it last published its
// counts. Times are in seconds.
type strategy interface {
	// count counts a request at a daemon.
	count(vm int, window int64, at float64)
	// endWindow is called at the end of each window.
	endWindow(window int64, at float64)
	// kill kills a daemon and starts it again.
	kill(vm int, at float64)
	// reported returns the requests of a window that its report includes.
	reported(window int64) int
	// messages returns the number of calls so far.
	messages() int
}

// simCounts holds the counts that are published and those that only a daemon has.
type simCounts struct {
	pending   map[int]map[int64]int // by daemon and window
	published map[int64]int         // by window
	sent      int                   // calls
}

func newSimCounts() simCounts {
	return simCounts{pending: map[int]map[int64]int{}, published: map[int64]int{}}
}

func (c *simCounts) add(vm int, window int64) {
	if c.pending[vm] == nil {
		c.pending[vm] = map[int64]int{}
	}
	c.pending[vm][window]++
}

// publish publishes the pending counts of a daemon.
func (c *simCounts) publish(vm int) {
	if len(c.pending[vm]) == 0 {
		return
	}
	c.sent++
	for window, n := range c.pending[vm] {
		c.published[window] += n
	}
	delete(c.pending, vm)
}

func (c *simCounts) kill(vm int, _ float64)    { delete(c.pending, vm) }
func (c *simCounts) reported(window int64) int { return c.published[window] }
func (c *simCounts) messages() int             { return c.sent }

// pacedAppends appends at the rate of an AppendPacer, as the daemons do.
type pacedAppends struct {
	simCounts
	pacers map[int]*AppendPacer
	due    map[int]float64 // when a daemon with pending counts appends them
}

func (p *pacedAppends) count(vm int, window int64, at float64) {
	if due, waits := p.due[vm]; waits && at >= due {
		p.flush(vm, due)
	}
	p.add(vm, window)
	if p.pacers[vm] == nil {
		p.pacers[vm] = &AppendPacer{}
	}
	if _, waits := p.due[vm]; !waits {
		p.due[vm] = math.Max(at, p.pacers[vm].NextStart().Seconds())
	}
	if p.due[vm] <= at {
		p.flush(vm, at)
	}
}

func (p *pacedAppends) flush(vm int, at float64) {
	p.publish(vm)
	delete(p.due, vm)
	p.pacers[vm].RecordAppend(time.Duration(at*float64(time.Second)), true)
}

func (p *pacedAppends) kill(vm int, at float64) {
	if due, waits := p.due[vm]; waits && at >= due {
		p.flush(vm, due)
	}
	delete(p.due, vm)
	delete(p.pacers, vm)
	p.simCounts.kill(vm, at)
}

func (p *pacedAppends) endWindow(_ int64, at float64) {
	for vm, due := range p.due {
		p.flush(vm, math.Max(at, due)) // before the report, which waits longer
	}
}

// appendAtEnd appends once for each window and daemon. If fetch is set, the holder fetches
// the counts from each daemon at the window's end instead: the same counts are lost, and each
// daemon gets a call, also one that counted nothing.
type appendAtEnd struct {
	simCounts
	vms   int
	fetch bool
}

func (e *appendAtEnd) count(vm int, window int64, _ float64) { e.add(vm, window) }

func (e *appendAtEnd) endWindow(int64, float64) {
	before := e.sent
	for vm := range e.vms {
		e.publish(vm)
	}
	if e.fetch {
		e.sent = before + e.vms
	}
}

// Compares strategies in fleets in which some or all daemons are killed now and then. A
// report is right if its count is within a twentieth of the true one. With appends at once,
// only busy daemons lose counts; with appends or fetches at the window's end, a daemon that
// is killed loses half a window's counts on average. go test -v -run CompareStrategies prints
// the table.
func TestCompareStrategies(t *testing.T) {
	const length, simulatedWindows = 5.0, 400
	for _, fleet := range []struct {
		name         string
		vms          int
		rate         float64 // requests a second, all daemons together
		killFraction float64 // of the daemons
		killEvery    int     // windows
	}{
		{"78 VMs, 14 a second, a sixth killed in each fourth window", 78, 14, 0.16, 4},
		{"78 VMs, 14 a second, all killed in each eighth window", 78, 14, 1, 8},
		{"690 VMs, 25,000 a second, one killed in each window", 690, 25000, 1.0 / 690, 1},
	} {
		right := map[string]int{}
		windowCount := simulatedWindows
		if fleet.rate > 1000 {
			windowCount = 12
		}
		for _, s := range []struct {
			name     string
			strategy strategy
		}{
			{"appended at once, four times a second at most", &pacedAppends{simCounts: newSimCounts(), pacers: map[int]*AppendPacer{}, due: map[int]float64{}}},
			{"appended at the window's end", &appendAtEnd{simCounts: newSimCounts(), vms: fleet.vms}},
			{"fetched by the holder at the window's end", &appendAtEnd{simCounts: newSimCounts(), vms: fleet.vms, fetch: true}},
		} {
			random := rand.New(rand.NewPCG(9, 9))
			truth := map[int64]int{}
			for k := range int64(windowCount) {
				start := float64(k) * length
				killAt := math.Inf(1)
				if int(k)%fleet.killEvery == fleet.killEvery-1 {
					killAt = start + length*random.Float64()
				}
				for at := start; ; {
					at += random.ExpFloat64() / fleet.rate
					if at >= killAt {
						for vm := range fleet.vms {
							if random.Float64() < fleet.killFraction {
								s.strategy.kill(vm, killAt)
							}
						}
						killAt = math.Inf(1)
					}
					if at >= start+length {
						break
					}
					s.strategy.count(random.IntN(fleet.vms), k, at)
					truth[k]++
				}
				s.strategy.endWindow(k, start+length)
			}
			for k := range int64(windowCount) {
				if math.Abs(float64(s.strategy.reported(k)-truth[k])) <= 0.05*float64(truth[k]) {
					right[s.name]++
				}
			}
			t.Logf("%-58s %-48s %3d of %d windows right, %7.0f calls a window", fleet.name, s.name, right[s.name], windowCount, float64(s.strategy.messages())/float64(windowCount))
		}
		g := NewWithT(t)
		g.Expect(right["appended at once, four times a second at most"]).To(BeNumerically(">=", right["appended at the window's end"]))
		g.Expect(right["appended at once, four times a second at most"]).To(BeNumerically(">=", windowCount*97/100))
	}
}
