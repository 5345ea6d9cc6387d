package usage

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Ways to bring the counts of all daemons together, in a model of daemons that are killed.
// What a way loses at a kill is what the daemon counted since it last told somebody.
type way interface {
	// counted notes a request at a daemon.
	counted(vm int, window int64, at float64)
	// ended is called at each window's end, with the daemons that live.
	ended(window int64, at float64)
	killed(vm int, at float64)
	// known is what is known of a window when it is reported.
	known(window int64) int
	calls() int
}

// ledger is what is known and what only a daemon knows yet.
type ledger struct {
	pending  map[int]map[int64]int
	told     map[int64]int
	messages int
}

func newLedger() ledger {
	return ledger{pending: map[int]map[int64]int{}, told: map[int64]int{}}
}

func (l *ledger) add(vm int, window int64) {
	if l.pending[vm] == nil {
		l.pending[vm] = map[int64]int{}
	}
	l.pending[vm][window]++
}

func (l *ledger) tell(vm int) {
	if len(l.pending[vm]) == 0 {
		return
	}
	l.messages++
	for window, n := range l.pending[vm] {
		l.told[window] += n
	}
	delete(l.pending, vm)
}

func (l *ledger) killed(vm int, _ float64) { delete(l.pending, vm) }
func (l *ledger) known(window int64) int   { return l.told[window] }
func (l *ledger) calls() int               { return l.messages }

// paced appends at the Pace in force.
type paced struct {
	ledger
	paces map[int]*Pace
	due   map[int]float64
}

func (p *paced) counted(vm int, window int64, at float64) {
	if due, waits := p.due[vm]; waits && at >= due {
		p.flush(vm, due)
	}
	p.add(vm, window)
	if p.paces[vm] == nil {
		p.paces[vm] = &Pace{}
	}
	if _, waits := p.due[vm]; !waits {
		p.due[vm] = math.Max(at, p.paces[vm].Next().Seconds())
	}
	if p.due[vm] <= at {
		p.flush(vm, at)
	}
}

func (p *paced) flush(vm int, at float64) {
	p.tell(vm)
	delete(p.due, vm)
	p.paces[vm].Appended(time.Duration(at*float64(time.Second)), true)
}

func (p *paced) killed(vm int, at float64) {
	if due, waits := p.due[vm]; waits && at >= due {
		p.flush(vm, due)
	}
	delete(p.due, vm)
	delete(p.paces, vm)
	p.ledger.killed(vm, at)
}

func (p *paced) ended(_ int64, at float64) {
	for vm, due := range p.due {
		p.flush(vm, math.Max(at, due)) // within the time that a report waits
	}
}

// atEnd appends once for each window and daemon. Counts fetched by the holder from each
// daemon at the window's end lose the same, and cost a call to each daemon, also to those
// that counted nothing.
type atEnd struct {
	ledger
	vms   int
	fetch bool
}

func (e *atEnd) counted(vm int, window int64, _ float64) { e.add(vm, window) }

func (e *atEnd) ended(int64, float64) {
	before := e.messages
	for vm := range e.vms {
		e.tell(vm)
	}
	if e.fetch {
		e.messages = before + e.vms
	}
}

// Fleets in which daemons are killed now and then, in part or all at once. A report is right
// if it is within a twentieth. Told at once, counts are lost only by busy daemons; told at
// the window's end or asked for then, a kill loses half a window's counts of its daemon. The
// table is shown by go test -v -run Ways.
func TestWaysOfBringingCountsTogether(t *testing.T) {
	const length, windowsPlayed = 5.0, 400
	for _, fleet := range []struct {
		name  string
		vms   int
		rate  float64 // requests a second, all daemons together
		share float64 // of the daemons killed
		every int     // windows between kills
	}{
		{"78 VMs, 14 a second, a sixth killed in each fourth window", 78, 14, 0.16, 4},
		{"78 VMs, 14 a second, all killed in each eighth window", 78, 14, 1, 8},
		{"690 VMs, 25,000 a second, one killed in each window", 690, 25000, 1.0 / 690, 1},
	} {
		right := map[string]int{}
		windowsHere := windowsPlayed
		if fleet.rate > 1000 {
			windowsHere = 12
		}
		for _, w := range []struct {
			name string
			way  way
		}{
			{"appended at once, four times a second at most", &paced{ledger: newLedger(), paces: map[int]*Pace{}, due: map[int]float64{}}},
			{"appended at the window's end", &atEnd{ledger: newLedger(), vms: fleet.vms}},
			{"asked for by the holder at the window's end", &atEnd{ledger: newLedger(), vms: fleet.vms, fetch: true}},
		} {
			random := rand.New(rand.NewPCG(9, 9))
			truth := map[int64]int{}
			for k := range int64(windowsHere) {
				start := float64(k) * length
				killAt := math.Inf(1)
				if int(k)%fleet.every == fleet.every-1 {
					killAt = start + length*random.Float64()
				}
				for at := start; ; {
					at += random.ExpFloat64() / fleet.rate
					if at >= killAt {
						for vm := range fleet.vms {
							if random.Float64() < fleet.share {
								w.way.killed(vm, killAt)
							}
						}
						killAt = math.Inf(1)
					}
					if at >= start+length {
						break
					}
					w.way.counted(random.IntN(fleet.vms), k, at)
					truth[k]++
				}
				w.way.ended(k, start+length)
			}
			for k := range int64(windowsHere) {
				if math.Abs(float64(w.way.known(k)-truth[k])) <= 0.05*float64(truth[k]) {
					right[w.name]++
				}
			}
			t.Logf("%-58s %-48s %3d of %d windows right, %7.0f calls a window", fleet.name, w.name, right[w.name], windowsHere, float64(w.way.calls())/float64(windowsHere))
		}
		g := NewWithT(t)
		g.Expect(right["appended at once, four times a second at most"]).To(BeNumerically(">=", right["appended at the window's end"]))
		g.Expect(right["appended at once, four times a second at most"]).To(BeNumerically(">=", windowsHere*97/100))
	}
}
