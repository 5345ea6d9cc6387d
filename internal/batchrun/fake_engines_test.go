package batchrun

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// fakeEngines is a set of model engines that check the requests they get.
type fakeEngines struct {
	t     *testing.T
	start time.Time

	mu         sync.Mutex
	random     *rand.Rand
	engines    map[string]*fakeEngine   // by ID
	runs       map[int]fakeRun          // by run number, from 1
	lastOrders map[string]receivedOrder // by engine
	breakRate  float64                  // fraction of the events at which a stream breaks
	refuseRate float64                  // fraction of the runs that are refused
	// bufferedRate is the fraction of the cancelled streams whose remaining events still
	// arrive.
	bufferedRate  float64
	eventInterval time.Duration      // time between two events
	slowdown      map[string]float64 // by engine, factor on eventInterval
	failures      map[string]int     // by sample, how many of its next runs fail
	lastEvents    map[int]time.Time  // by run, when its last event was made
	crashAt       map[string]int     // by sample that crashes its engine, the event at which it does
	crashes       []engineCrash
	spoiled       map[string]spoiledRun // by sample, how its next run ends
	refused       map[string]bool       // samples that engines refuse unless their next run is spoiled
	bodies        int                   // bytes that each request's body has more
	padding       int                   // bytes that each event has more
	onRestart     func(id string)       // called after a crashed engine has restarted
}

// spoiledRun is a run that goes on behind the sample's last event.
type spoiledRun struct {
	extra int           // events too many
	hang  time.Duration // after them
	err   error         // at the end
}

// takeSpoiled returns how a run of a sample goes on behind its end. A sample's run is spoiled once.
func (f *fakeEngines) takeSpoiled(sample string) (spoiledRun, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.spoiled[sample]
	delete(f.spoiled, sample)
	return s, ok
}

// engineCrash is a crash of an engine's process.
type engineCrash struct {
	engine       string
	at           time.Time
	otherSamples int // samples that ran there besides the one that crashed it
}

// crashDowntime is how long a crashed engine is down.
const crashDowntime = 2 * time.Second

// fakeEngine is one incarnation of an engine.
type fakeEngine struct {
	started  int64            // its process's start
	versions map[string]int64 // weights version by model
	orders   int64            // load orders accepted
	busy     bool             // a load is in progress
	running  int              // runs in progress
	exited   chan struct{}    // closed when the process ends
}

// fakeRun is a run that an engine accepted.
type fakeRun struct {
	sample string
	after  int // events that the caller had received before
	engine string
	// newConn says that the run was asked for on a new connection.
	newConn bool
}

// receivedOrder is a load order that an engine has seen.
type receivedOrder struct {
	holder string // VM
	fence  int64  // fencing token
	at     time.Time
}

func newFakeEngines(t *testing.T, seed uint64, n int, models []string) *fakeEngines {
	f := &fakeEngines{t: t, start: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*fakeEngine{},
		runs: map[int]fakeRun{}, lastOrders: map[string]receivedOrder{}, failures: map[string]int{}, lastEvents: map[int]time.Time{}, eventInterval: eventInterval, slowdown: map[string]float64{}, crashAt: map[string]int{}, spoiled: map[string]spoiledRun{}, refused: map[string]bool{}, onRestart: func(string) {}}
	for i := range n {
		e := &fakeEngine{started: 1, versions: map[string]int64{}, exited: make(chan struct{})}
		for _, m := range models {
			e.versions[m] = 1
		}
		f.engines["e"+strconv.Itoa(i)] = e
	}
	return f
}

// sampleLength returns how many events a sample has, by its ID.
func sampleLength(sample string) int {
	n := 0
	for _, c := range sample {
		n += int(c)
	}
	return 3 + n%40
}

// modelOf returns the model in a sample's ID.
func modelOf(sample string) string { return sample[:2] }

// chance returns true with probability p.
func (f *fakeEngines) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *fakeEngines) slowdownOf(engine string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.slowdown[engine])
}

// beginRun accepts or refuses a run and returns its number.
func (f *fakeEngines) beginRun(u registry.Upstream, r SampleRun) (run int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[u.ID]
	select {
	case <-e.exited:
		return 0, ErrDown
	default:
	}
	switch {
	case e.busy || f.random.Float64() < f.refuseRate || f.refused[r.ID] && f.spoiled[r.ID] == spoiledRun{}:
		return 0, ErrRefused
	case f.failures[r.ID] > 0:
		f.failures[r.ID]--
		return 0, ErrFailed
	}
	run = len(f.runs) + 1
	f.runs[run] = fakeRun{r.ID, r.ReceivedEvents, u.ID, r.NewConn}
	return run, nil
}

// Run streams the events of a sample that the caller hasn't received. Each event names the
// sample, its own number and the run.
func (f *fakeEngines) Run(ctx context.Context, u registry.Upstream, r SampleRun, emit func(batch.Event)) error {
	if r.Path != "/run/"+r.ID || string(r.Body[:len(r.Body)-f.bodies]) != "body of "+r.ID || r.Header["H"] != r.ID {
		f.t.Errorf("sample %s has the request %+v", r.ID, r.Request)
	}
	run, err := f.beginRun(u, r)
	if err != nil {
		return err
	}
	exited, done := f.trackRun(u.ID)
	defer done()
	spoiled, isSpoiled := f.takeSpoiled(r.ID)
	for n := r.ReceivedEvents + 1; n <= sampleLength(r.ID); n++ {
		select {
		case <-ctx.Done():
			if !f.chance(f.bufferedRate) {
				return ctx.Err()
			}
			ctx = context.Background() // the remaining events had arrived already
		case <-exited:
			return errors.New("connection reset")
		case <-time.After(time.Duration(f.slowdownOf(u.ID) * float64(f.eventInterval))):
		}
		if f.crashesAt(r.ID, n) {
			f.crash(u.ID)
			return errors.New("connection reset")
		}
		if f.chance(f.breakRate) {
			return errors.New("stream broke off")
		}
		f.mu.Lock()
		version := f.engines[u.ID].versions[modelOf(r.ID)]
		f.lastEvents[run] = time.Now()
		f.mu.Unlock()
		emit(batch.Event{Data: fmt.Sprintf("%s:%d:%d%s", r.ID, n, run, strings.Repeat(" ", f.padding)), Version: version})
	}
	if !isSpoiled {
		return nil
	}
	for n := range spoiled.extra {
		emit(batch.Event{Data: fmt.Sprint("foreign", n), Version: 1})
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(spoiled.hang):
		return spoiled.err
	}
}

// trackRun counts a run as in progress until done is called. exited is closed when the
// engine's process ends.
func (f *fakeEngines) trackRun(engine string) (exited chan struct{}, done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[engine]
	e.running++
	return e.exited, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.running--
	}
}

// crashesAt reports whether a sample crashes its engine at an event.
func (f *fakeEngines) crashesAt(sample string, event int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.crashAt[sample]
	return ok && event >= at
}

func (f *fakeEngines) isDown(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.engines[id].exited:
		return true
	default:
		return false
	}
}

// busyEngines returns the IDs of the engines that run samples, in ascending order.
func (f *fakeEngines) busyEngines() []string {
	var out []string
	for _, id := range f.ids() {
		f.mu.Lock()
		busy := f.engines[id].running > 0
		f.mu.Unlock()
		if busy && !f.isDown(id) {
			out = append(out, id)
		}
	}
	return out
}

// ids returns the IDs of all engines in ascending order.
func (f *fakeEngines) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.engines))
}

// crash ends an engine's process. It restarts after crashDowntime under the same ID, with the
// weights it had.
func (f *fakeEngines) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	f.crashes = append(f.crashes, engineCrash{id, time.Now(), e.running - 1})
	close(e.exited)
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		f.engines[id] = &fakeEngine{started: e.started + 1, versions: e.versions, exited: make(chan struct{})}
		f.mu.Unlock()
		f.onRestart(id)
	})
}

// Report returns an engine's state.
func (f *fakeEngines) Report(_ context.Context, u registry.Upstream) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[u.ID]
	select {
	case <-e.exited:
		return Report{}, ErrDown
	default:
	}
	versions := map[string]int64{}
	for m, v := range e.versions {
		versions[m] = v
	}
	return Report{Started: e.started, AcceptedOrders: e.orders, Busy: e.busy, Versions: versions}, nil
}

// Load takes an order as an engine that checks fencing tokens does. The test fails if two VMs
// order an engine within the lease or with the same fencing token, or if a lower fencing
// token follows a higher one.
func (f *fakeEngines) Load(_ context.Context, u registry.Upstream, o LoadOrder) (LoadOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, last, now := f.engines[u.ID], f.lastOrders[u.ID], time.Now()
	if last.holder != "" && last.holder != o.Holder {
		if now.Sub(last.at) < testLease {
			f.t.Errorf("engine %s: %s orders %s after %s", u.ID, o.Holder, now.Sub(last.at), last.holder)
		}
		if last.fence == o.FencingToken {
			f.t.Errorf("engine %s: %s and %s share fencing token %d", u.ID, o.Holder, last.holder, o.FencingToken)
		}
	}
	if o.FencingToken < last.fence {
		f.t.Errorf("engine %s: fencing token %d after %d", u.ID, o.FencingToken, last.fence)
		return LoadFenced, nil
	}
	f.lastOrders[u.ID] = receivedOrder{o.Holder, o.FencingToken, now}
	if e.busy || e.orders != o.ExpectedOrders {
		return LoadConflict, nil
	}
	if e.versions[o.Model] >= o.Version {
		return LoadAlreadyServed, nil
	}
	e.orders++
	e.busy = true
	time.AfterFunc(loadDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.busy = false
		e.versions[o.Model] = o.Version
	})
	return LoadAccepted, nil
}

// restart restarts an engine under its ID with an old weights version. Its order count is
// reset and a load in progress is lost. Its registry entry still has the former start time.
func (f *fakeEngines) restart(id, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := f.engines[id].started + 1
	f.engines[id] = &fakeEngine{started: started, versions: map[string]int64{model: version}, exited: make(chan struct{})}
}

// lastEventAt returns when the last event of a text was made.
func (f *fakeEngines) lastEventAt(text string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, err := strconv.Atoi(text[strings.LastIndex(text, ":")+1:])
	if err != nil {
		f.t.Errorf("text %q: %v", text, err)
	}
	return f.lastEvents[run]
}

// checkText fails the test unless a text is complete and consists of runs each of which was
// asked to resume where the one before it stops.
func (f *fakeEngines) checkText(sample, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := strings.Split(text, "\n")
	if len(events) != sampleLength(sample) {
		f.t.Errorf("sample %s has %d events, its text has %d", sample, sampleLength(sample), len(events))
		return
	}
	lastRun := 0
	for i, e := range events {
		parts := strings.Split(strings.TrimRight(e, " "), ":")
		if len(parts) != 3 || parts[0] != sample || parts[1] != strconv.Itoa(i+1) {
			f.t.Errorf("sample %s: event %d is %q", sample, i+1, e)
			return
		}
		run, err := strconv.Atoi(parts[2])
		if err != nil || run != lastRun && f.runs[run].after != i {
			f.t.Errorf("sample %s: event %d is from run %d, which resumed after event %d", sample, i+1, run, f.runs[run].after)
			return
		}
		lastRun = run
	}
}

func (f *fakeEngines) startTimeOf(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id].started
}

func (f *fakeEngines) versionsOf(id string) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{}
	for m, v := range f.engines[id].versions {
		out[m] = v
	}
	return out
}
