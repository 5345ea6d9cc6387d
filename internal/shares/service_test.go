package shares

import (
	"bytes"
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// testFleet is a fleet of daemons with a network in memory, on the clock of testing/synctest. It
// implements Directory and Peers: daemons 0, 1 and 2 are the coordinators, in this order.
type testFleet struct {
	*WithT
	start   time.Time
	daemons []*testDaemon
	work    sync.WaitGroup

	mu                       sync.Mutex // guards all fields of the daemons too
	log                      bytes.Buffer
	lookups, messages, looks int           // calls of Coordinators, Exchange and Contended
	cutOff                   []*testDaemon // cannot reach daemon 0
	suspends                 *testDaemon   // is suspended for 10 s during each of its calls
}

// testDaemon is a daemon. It implements Local and Sink.
type testDaemon struct {
	*testFleet
	name      string
	service   *Service
	cancel    context.CancelFunc
	killed    bool
	thawed    chan struct{} // closed unless the daemon is frozen
	changed   chan struct{}
	contended bool
	demands   []Demand
	admitted  float64 // 0: not measured
	random    float64 // of its first reports
	tables    []Table
	at        time.Duration // of the last table
	suspended time.Duration // time that only the daemon's clock has counted
}

func runFleet(t *testing.T, size int, do func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{WithT: NewWithT(t), start: time.Now()}
		for n := range size {
			d := &testDaemon{testFleet: f, name: strconv.Itoa(n), thawed: make(chan struct{}), admitted: 0.4, random: math.Mod(float64(n)*math.Phi, 1)}
			close(d.thawed)
			d.demands = []Demand{{Customer: "big", Rate: 40}, {Customer: "small", Level: 1, Rate: float64(10 + n%2)}}
			f.daemons = append(f.daemons, d)
			d.restart()
		}
		do(f)
		for _, d := range f.daemons {
			d.kill()
		}
		f.work.Wait()
	})
}

// restart starts a new process.
func (d *testDaemon) restart() {
	defer d.lock()()
	ctx, cancel := context.WithCancel(context.Background())
	d.killed, d.cancel, d.changed, d.tables = false, cancel, make(chan struct{}, 1), nil
	s := NewService(Options{VM: d.name, Address: d.name, Local: d, Sink: d, Directory: d.testFleet, Peers: d.testFleet, Now: d.now, Random: func() float64 { return d.random }, Logger: zerolog.New(d.testFleet)})
	d.service = s
	d.work.Go(func() { s.Run(ctx) })
}

func (d *testDaemon) kill() { d.locked(func() { d.killed = true; d.cancel() }) }

func (f *testFleet) lock() (unlock func()) {
	f.mu.Lock()
	return f.mu.Unlock
}

func (f *testFleet) locked(do func()) {
	defer f.lock()()
	do()
}

func (f *testFleet) setContended(contended bool) {
	defer f.lock()()
	for _, d := range f.daemons {
		d.contended = contended
		if contended {
			d.changed <- struct{}{}
		}
	}
}

func (d *testDaemon) now() time.Duration {
	defer d.lock()()
	return time.Since(d.start) + d.suspended
}

func (d *testDaemon) Changed() <-chan struct{} {
	defer d.lock()()
	return d.changed
}

func (d *testDaemon) Contended(time.Duration) []string {
	defer d.lock()()
	if d.looks++; d.contended {
		return []string{"s"}
	}
	return nil
}

func (d *testDaemon) Snapshot(string, time.Duration) (Report, bool) {
	var thawed chan struct{}
	d.locked(func() { thawed = d.thawed })
	<-thawed
	defer d.lock()()
	return Report{Demands: d.demands, Admitted: d.admitted, Known: d.admitted > 0}, d.contended
}

func (d *testDaemon) SetFleet(_ string, t Table, at time.Duration) {
	defer d.lock()()
	d.tables, d.at = append(d.tables, t), at
}

// table returns the table that the daemon uses, a table without daemons if it uses its own demand.
func (d *testDaemon) table() Table {
	now := d.now()
	defer d.lock()()
	if n := len(d.tables); n > 0 && d.tables[n-1].Fresh(d.at, now) {
		return d.tables[n-1]
	}
	return Table{}
}

func (f *testFleet) Write(line []byte) (int, error) {
	defer f.lock()()
	return f.log.Write(line)
}

func (f *testFleet) Coordinators(context.Context, string) []string {
	defer f.lock()()
	f.lookups++
	return []string{"0", "1", "2"}
}

func (f *testFleet) Exchange(ctx context.Context, address string, r Report) (Table, error) {
	named := func(name string) *testDaemon {
		return f.daemons[slices.IndexFunc(f.daemons, func(d *testDaemon) bool { return d.name == name })]
	}
	from, to := named(r.VM), named(address)
	f.mu.Lock()
	f.messages++
	service, killed, thawed, cut := to.service, to.killed, to.thawed, address == "0" && slices.Contains(f.cutOff, from)
	f.mu.Unlock()
	if killed {
		return Table{}, errors.New("connection refused")
	}
	time.Sleep(2 * time.Millisecond)
	answers := make(chan Table, 1)
	go func() { // the report arrives at a frozen daemon when it thaws, whether or not its sender waits
		<-thawed
		if cut {
			return
		}
		if t, err := service.Exchange(r); err == nil {
			answers <- t
		}
	}()
	select {
	case t := <-answers:
		defer f.lock()()
		if f.suspends == from {
			from.suspended += 10 * time.Second
		}
		return t, nil
	case <-ctx.Done():
		return Table{}, ctx.Err()
	}
}

// contend makes all daemons contended and waits until all know the fleet's demand.
func (f *testFleet) contend() {
	f.setContended(true)
	time.Sleep(time.Second)
	f.expectDaemons(len(f.daemons), f.daemons)
}

// expectDaemons expects that daemons use tables of so many daemons.
func (f *testFleet) expectDaemons(want int, daemons []*testDaemon) {
	for _, d := range daemons {
		f.Expect(d.table().Daemons).To(Equal(want), d.name)
	}
}

// expectAlways expects that daemons use the fleet's demand throughout, and that tables match.
func (f *testFleet) expectAlways(duration time.Duration, daemons []*testDaemon, match OmegaMatcher) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, d := range daemons {
			f.Expect(d.table()).To(match, d.name)
		}
	}
}

var fresh = HaveField("Daemons", BeNumerically(">", 0))

// Guards against a fleet without shares, or with a log line per report, while the address of a lost
// coordinator still is the preferred one.
func TestCoordinatorKilled(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		f.contend()
		f.daemons[0].kill()
		f.expectAlways(10*time.Second, f.daemons[1:], fresh)
		f.expectDaemons(8, f.daemons[1:])
		f.locked(func() {
			f.Expect(strings.Count(f.log.String(), "coordinator lost")).To(Equal(8))
			f.Expect(strings.Count(f.log.String(), "coordinator regained")).To(Equal(8))
		})
		f.daemons[1].kill()
		f.daemons[2].kill()
		time.Sleep(2 * time.Second)
		f.expectDaemons(0, f.daemons[3:]) // no coordinator: own demand
	})
}

// Guards against a coordinator that answers with demand from before it was suspended, and against
// reports sent to it then that count as new ones for longer than three intervals.
func TestFrozenCoordinatorThaws(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		f.contend()
		frozen, thaw := f.daemons[0], make(chan struct{})
		f.locked(func() { frozen.thawed = thaw })
		f.expectAlways(4*time.Second, f.daemons[1:], fresh)
		f.expectDaemons(8, f.daemons[1:])
		f.locked(func() {
			for _, d := range f.daemons {
				d.demands = []Demand{{Customer: "new", Rate: 1}}
			}
		})
		time.Sleep(3 * time.Second)
		old, err := frozen.service.Exchange(Report{VM: "probe", Service: "s", Sequence: 1})
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(old.Demands).To(BeEmpty(), "reports from before have expired")
		f.Expect(frozen.table().Daemons).To(BeZero(), "and so has its own table")
		close(thaw)
		time.Sleep(3*MinInterval + 10*time.Millisecond)
		f.expectAlways(4*time.Second, f.daemons, HaveField("Demands", HaveEach(HaveField("Customer", "new"))))
		f.expectDaemons(9, f.daemons)
	})
}

// Guards against daemons without shares, or with very different ones, while a fault of the network
// makes them use two coordinators.
func TestSomeAreCutOffFromCoordinator(t *testing.T) {
	runFleet(t, 10, func(f *testFleet) {
		f.contend()
		f.locked(func() { f.cutOff = f.daemons[5:] })
		f.expectAlways(5*time.Second, f.daemons, fresh)
		f.expectDaemons(5, f.daemons) // each coordinator knows its half
		f.expectAlways(time.Second, f.daemons, WithTransform(func(t Table) float64 {
			return t.Demands[0].Rate / (t.Demands[0].Rate + t.Demands[1].Rate)
		}, BeNumerically("~", 40/50.5, 0.01)))
		f.locked(func() { f.cutOff = nil })
		time.Sleep(4 * time.Second)
		f.expectDaemons(10, f.daemons)
	})
}

// Guards against restarted daemons that admit everything until they have measured for themselves,
// and against demand of lost daemons that stays.
func TestThirdOfDaemonsKilledAndBack(t *testing.T) {
	for _, first := range []int{0, 3} { // with and without the coordinator
		runFleet(t, 9, func(f *testFleet) {
			f.contend()
			lost := f.daemons[first : first+3]
			for _, d := range lost {
				d.kill()
			}
			time.Sleep(3 * time.Second)
			if first == 3 {
				f.expectDaemons(6, f.daemons[6:])
			}
			for _, d := range lost {
				f.locked(func() { d.admitted = 0 })
				d.restart()
			}
			time.Sleep(unknownSpread + 20*time.Millisecond)
			if first == 3 {
				f.expectAlways(time.Millisecond, lost, HaveField("Admitted", BeNumerically("~", 0.4, 1e-9)))
			}
			time.Sleep(3 * time.Second)
			f.expectAlways(3*time.Second, f.daemons, And(HaveField("Daemons", 9), HaveField("Admitted", BeNumerically("~", 0.4, 1e-9))))
		})
	}
}

// Guards against shares that are divided by daemon: customers whose callers reach a busy daemon
// would get less than those of the others.
func TestOneDaemonHasMostCallers(t *testing.T) {
	runFleet(t, 10, func(f *testFleet) {
		for _, d := range f.daemons {
			d.demands = []Demand{{Customer: "big", Rate: 1}, {Customer: "small", Rate: 0.1}}
		}
		f.daemons[7].demands = []Demand{{Customer: "big", Rate: 81}, {Customer: "small", Rate: 8.1}}
		f.contend()
		f.expectAlways(time.Second, f.daemons, HaveField("Demands", []Demand{{Customer: "big", Rate: 90}, {Customer: "small", Rate: 9}}))
	})
}

// Guards against traffic, timers and memory of a fleet without contention, and against a wake-up
// that is missed.
func TestNothingIsSentWithoutContention(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		counts := func() (c [3]int) {
			synctest.Wait()
			f.locked(func() { c = [3]int{f.lookups, f.messages, f.looks} })
			return c
		}
		for range 2 {
			before := counts()
			time.Sleep(time.Hour)
			f.Expect(counts()).To(Equal(before))
			f.setContended(true)
			time.Sleep(unknownSpread + 5*time.Millisecond) // before the second reports
			f.Expect(counts()[1]-before[1]).To(Equal(3), "the coordinator asks itself")
			time.Sleep(time.Second)
			f.expectDaemons(4, f.daemons)
			f.setContended(false)
			time.Sleep(time.Minute)
			synctest.Wait()
			f.Expect(f.daemons[0].service.coordinator.Empty()).To(BeTrue(), "expired reports are removed")
		}
	})
}

// Guards against a table that is used although the VM was suspended between the report and the
// answer. The timeout of the call does not notice a suspension.
func TestSuspendedDuringCall(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.contend()
		d := f.daemons[3]
		var used int
		f.locked(func() { f.suspends, used = d, len(d.tables) })
		time.Sleep(2 * time.Second)
		f.locked(func() {
			f.Expect(d.suspended).To(BeNumerically(">=", 50*time.Second))
			f.Expect(d.tables).To(HaveLen(used))
		})
	})
}

// Guards against a coordinator that receives a report of each daemon within milliseconds when a
// large fleet becomes contended at one moment.
func TestFirstReportsAreSpread(t *testing.T) {
	runFleet(t, 985, func(f *testFleet) {
		f.setContended(true)
		time.Sleep(10 * time.Millisecond)
		f.locked(func() { f.Expect(f.messages).To(BeNumerically("<", 150), "without knowledge of the fleet") })
		time.Sleep(6 * time.Second)
		f.setContended(false)
		time.Sleep(time.Minute)
		f.setContended(true)
		for range 80 {
			f.locked(func() { f.messages = 0 })
			time.Sleep(100 * time.Millisecond)
			f.locked(func() { f.Expect(f.messages).To(BeNumerically("<", 60), "twice the bound: first and second reports") })
		}
	})
}
