package shares

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// The tests of this file run the Services of several daemons with a network in memory, on the clock
// of testing/synctest.

// testFleet is a fleet of daemons; the first three are the coordinators, in this order.
type testFleet struct {
	*WithT
	start   time.Time
	daemons []*testDaemon
	work    sync.WaitGroup

	mu       sync.Mutex
	log      bytes.Buffer
	lookups  int
	messages int
	suspend  *testDaemon     // is suspended for 10 s during each of its calls
	cut      map[string]bool // pairs "from>to" of daemons between which nothing arrives
}

// testDaemon is a daemon. It implements Local and Sink.
type testDaemon struct {
	fleet   *testFleet
	name    string
	service *Service
	cancel  context.CancelFunc

	mu        sync.Mutex
	killed    bool
	thawed    chan struct{} // closed unless the daemon is frozen
	changed   chan struct{}
	contended bool
	demands   []Demand
	admitted  float64 // 0: not measured
	looks     int     // calls of Contended
	tables    []Table
	at        time.Duration // of the last table
	suspended time.Duration // time that only the daemon's clock has counted
}

func runFleet(t *testing.T, size int, do func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{WithT: NewWithT(t), start: time.Now(), cut: map[string]bool{}}
		for n := range size {
			d := &testDaemon{fleet: f, name: fmt.Sprint("d", n), thawed: make(chan struct{}), admitted: 0.4}
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
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed, d.cancel, d.changed, d.tables, d.at = false, cancel, make(chan struct{}, 1), nil, 0
	s := NewService(Options{VM: d.name, Address: d.name, Local: d, Sink: d, Directory: d.fleet, Peers: d.fleet, Now: d.now, Logger: zerolog.New(d.fleet)})
	d.service = s
	d.fleet.work.Go(func() { s.Run(ctx) })
}

func (d *testDaemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
	d.cancel()
}

func (d *testDaemon) now() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.fleet.start) + d.suspended
}

func (d *testDaemon) setContended(contended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contended = contended
	if contended {
		d.changed <- struct{}{}
	}
}

func (d *testDaemon) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *testDaemon) Contended(time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.looks++; d.contended {
		return []string{"s"}
	}
	return nil
}

func (d *testDaemon) Snapshot(string, time.Duration) (Report, bool) {
	d.mu.Lock()
	thawed := d.thawed
	d.mu.Unlock()
	<-thawed
	d.mu.Lock()
	defer d.mu.Unlock()
	return Report{Demands: d.demands, QueueTime: time.Millisecond, Admitted: d.admitted, Known: d.admitted > 0}, d.contended
}

func (d *testDaemon) SetFleet(_ string, t Table, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables, d.at = append(d.tables, t), at
}

// table returns the table that the daemon uses, a table without daemons if it uses its own demand.
func (d *testDaemon) table() Table {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.tables); n > 0 && d.tables[n-1].Fresh(d.at, now) {
		return d.tables[n-1]
	}
	return Table{}
}

func (f *testFleet) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(line)
}

func (f *testFleet) Coordinators(context.Context, string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lookups++
	return []string{"d0", "d1", "d2"}
}

// Exchange implements Peers.
func (f *testFleet) Exchange(ctx context.Context, address string, r Report) (Table, error) {
	f.mu.Lock()
	f.messages++
	cut := f.cut[r.VM+">"+address]
	f.mu.Unlock()
	var d *testDaemon
	for _, d = range f.daemons {
		if d.name == address {
			break
		}
	}
	d.mu.Lock()
	killed, service, thawed := d.killed, d.service, d.thawed
	d.mu.Unlock()
	switch {
	case killed:
		return Table{}, errors.New("connection refused")
	case cut:
		<-ctx.Done()
		return Table{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	type reply struct {
		t   Table
		err error
	}
	answers := make(chan reply, 1)
	go func() { // the report arrives at a frozen daemon when it thaws, whether or not its sender waits
		<-thawed
		t, err := service.Exchange(r)
		answers <- reply{t, err}
	}()
	select {
	case a := <-answers:
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.suspend != nil && f.suspend.name == r.VM {
			f.suspend.mu.Lock()
			defer f.suspend.mu.Unlock()
			f.suspend.suspended += 10 * time.Second
		}
		return a.t, a.err
	case <-ctx.Done():
		return Table{}, ctx.Err()
	}
}

// contend makes all daemons contended and waits until all know the fleet's demand.
func (f *testFleet) contend() {
	for _, d := range f.daemons {
		d.setContended(true)
	}
	time.Sleep(time.Second)
	f.expectDaemons(len(f.daemons), f.daemons...)
}

// expectDaemons expects that daemons use tables of so many daemons.
func (f *testFleet) expectDaemons(want int, daemons ...*testDaemon) {
	for _, d := range daemons {
		f.Expect(d.table().Daemons).To(Equal(want), d.name)
	}
}

// expectAlwaysFresh expects that daemons use the fleet's demand throughout.
func (f *testFleet) expectAlwaysFresh(duration time.Duration, daemons ...*testDaemon) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, d := range daemons {
			f.Expect(d.table().Daemons).NotTo(BeZero(), d.name)
		}
	}
}

func (f *testFleet) logged(message string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Count(f.log.String(), message)
}

// Guards against a fleet without shares, or with a log line per report, while the coordinator's
// address still is the preferred one.
func TestCoordinatorKilled(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		f.contend()
		f.daemons[0].kill()
		f.expectAlwaysFresh(10*time.Second, f.daemons[1:]...)
		f.expectDaemons(8, f.daemons[1:]...)
		f.Expect(f.logged("coordinator lost")).To(Equal(8))
		f.Expect(f.logged("coordinator regained")).To(Equal(8))
		for _, d := range f.daemons[1:3] {
			d.kill()
		}
		time.Sleep(2 * time.Second)
		f.expectDaemons(0, f.daemons[3:]...) // no coordinator: own demand
	})
}

// Guards against a coordinator that answers with demand from before it was suspended, and against
// reports sent to it then that count as new ones for longer than three intervals.
func TestFrozenCoordinatorThaws(t *testing.T) {
	runFleet(t, 9, func(f *testFleet) {
		f.contend()
		frozen := f.daemons[0]
		synctest.Wait()
		frozen.mu.Lock()
		frozen.thawed = make(chan struct{})
		frozen.mu.Unlock()
		f.expectAlwaysFresh(4*time.Second, f.daemons[1:]...)
		f.expectDaemons(8, f.daemons[1:]...)
		for _, d := range f.daemons {
			d.mu.Lock()
			d.demands = []Demand{{Customer: "new", Rate: 1}}
			d.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		old, err := frozen.service.Exchange(Report{VM: "probe", Service: "s", Sequence: 1})
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(old.Demands).To(BeEmpty(), "reports from before have expired")
		f.Expect(frozen.table().Daemons).To(BeZero(), "and so has its own table")
		close(frozen.thawed)
		time.Sleep(3*MinInterval + 10*time.Millisecond)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, d := range f.daemons {
				f.Expect(d.table().Demands).To(HaveEach(HaveField("Customer", "new")), d.name)
			}
		}
		f.expectDaemons(9, f.daemons...)
	})
}

// Guards against daemons without shares, or with very different ones, while a fault of the network
// makes them use two coordinators.
func TestSomeAreCutOffFromCoordinator(t *testing.T) {
	runFleet(t, 10, func(f *testFleet) {
		f.contend()
		f.mu.Lock()
		for _, d := range f.daemons[5:] {
			f.cut[d.name+">d0"] = true
		}
		f.mu.Unlock()
		f.expectAlwaysFresh(5*time.Second, f.daemons...)
		f.expectDaemons(5, f.daemons...) // each coordinator knows its half
		var shares []float64
		for _, d := range f.daemons {
			demands := d.table().Demands
			f.Expect(demands).To(HaveLen(2))
			shares = append(shares, demands[0].Rate/(demands[0].Rate+demands[1].Rate))
		}
		f.Expect(shares).To(HaveEach(BeNumerically("~", shares[0], 0.02)))
		f.mu.Lock()
		clear(f.cut)
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		f.expectDaemons(10, f.daemons...)
	})
}

// Guards against restarted daemons that admit everything until they have measured for themselves,
// and against demand of lost daemons that stays.
func TestThirdOfDaemonsKilledAndBack(t *testing.T) {
	for _, lost := range [][]int{{3, 5, 7}, {0, 4, 8}} { // without and with the coordinator
		runFleet(t, 9, func(f *testFleet) {
			f.contend()
			var left []*testDaemon
			for n, d := range f.daemons {
				if slices.Contains(lost, n) {
					d.kill()
				} else {
					left = append(left, d)
				}
			}
			time.Sleep(3 * time.Second)
			f.expectDaemons(6, left...)
			for _, n := range lost {
				d := f.daemons[n]
				d.mu.Lock()
				d.admitted = 0 // restarted, it has measured nothing yet
				d.mu.Unlock()
				d.restart()
				d.setContended(true)
			}
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			if lost[0] != 0 {
				for _, n := range lost {
					first := f.daemons[n].tables[0]
					f.Expect(first.Known).To(BeTrue())
					f.Expect(first.Admitted).To(BeNumerically("~", 0.4, 1e-9))
				}
			}
			f.expectAlwaysFresh(3*time.Second, f.daemons...)
			f.expectDaemons(9, f.daemons...)
			f.Expect(f.daemons[lost[0]].table().Admitted).To(BeNumerically("~", 0.4, 1e-9))
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
		for _, d := range f.daemons {
			f.Expect(d.table().Demands).To(Equal([]Demand{{Customer: "big", Rate: 90}, {Customer: "small", Rate: 9}}), d.name)
		}
	})
}

// counts returns the numbers of look-ups of coordinators, messages, and looks for contended services.
func (f *testFleet) counts() (lookups, messages, looks int) {
	synctest.Wait()
	for _, d := range f.daemons {
		d.mu.Lock()
		looks += d.looks
		d.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lookups, f.messages, looks
}

// Guards against traffic and timers of a fleet without contention, and against a wake-up that is
// missed.
func TestNothingIsSentWithoutContention(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		for range 2 {
			lookups, messages, looks := f.counts()
			time.Sleep(time.Hour)
			lookupsIdle, messagesIdle, looksIdle := f.counts()
			f.Expect([]int{lookupsIdle, messagesIdle, looksIdle}).To(Equal([]int{lookups, messages, looks}))
			for _, d := range f.daemons {
				d.setContended(true)
			}
			time.Sleep(5 * time.Millisecond)
			_, messagesNow, _ := f.counts()
			f.Expect(messagesNow-messages).To(Equal(3), "the coordinator asks itself")
			time.Sleep(time.Second)
			f.expectDaemons(4, f.daemons...)
			for _, d := range f.daemons {
				d.setContended(false)
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against a table that is used although the VM was suspended between the report and the
// answer. The timeout of the call does not notice a suspension.
func TestSuspendedDuringCall(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.contend()
		d := f.daemons[3]
		f.mu.Lock()
		f.suspend = d
		f.mu.Unlock()
		for n, before := 0, 0; n < 200; n++ {
			time.Sleep(10 * time.Millisecond)
			d.mu.Lock()
			used := len(d.tables)
			d.mu.Unlock()
			if n == 0 {
				before = used
			}
			f.Expect(used).To(Equal(before))
		}
		synctest.Wait()
		f.Expect(d.suspended).To(BeNumerically(">=", 20*time.Second))
	})
}
