package batchrun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// fakeEngines are the model engines. They check what they are asked.
type fakeEngines struct {
	t     *testing.T
	start time.Time

	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*fakeEngine
	runs    map[int]fakeRun // by number
	fence   map[string]heldOrder
	broken  float64 // part of the events at which a stream breaks
	refuses float64 // part of the runs that are refused
	// buffered is the part of the cancelled streams whose rest had arrived before.
	buffered float64
	pace     time.Duration      // between two events
	slower   map[string]float64 // by engine, how many times longer its events take
	fails    map[string]int
	ended    map[int]time.Time // by run, when its last event was made
	// kills holds the samples that end an engine's process, and at which event.
	kills   map[string]int
	crashes []engineCrash
	back    func(id string) // after an engine started again
}

// engineCrash is the end of an engine's process.
type engineCrash struct {
	engine string
	at     time.Time
	beside int // samples that ran there with the one that ended it
}

// crashAway is how long a crashed engine is away.
const crashAway = 2 * time.Second

type fakeEngine struct {
	started  int64
	versions map[string]int64
	orders   int64
	busy     bool
	running  int
	dead     chan struct{} // closed when the process ends
}

type fakeRun struct {
	sample string
	after  int
	engine string
}

type heldOrder struct {
	holder string
	fence  int64
	at     time.Time
}

func newFakeEngines(t *testing.T, seed uint64, n int, models []string) *fakeEngines {
	f := &fakeEngines{t: t, start: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*fakeEngine{},
		runs: map[int]fakeRun{}, fence: map[string]heldOrder{}, fails: map[string]int{}, ended: map[int]time.Time{}, pace: eventTakes, slower: map[string]float64{}, kills: map[string]int{}, back: func(string) {}}
	for i := range n {
		e := &fakeEngine{started: 1, versions: map[string]int64{}, dead: make(chan struct{})}
		for _, m := range models {
			e.versions[m] = 1
		}
		f.engines["e"+strconv.Itoa(i)] = e
	}
	return f
}

// length is how many events a sample has.
func length(sample string) int {
	n := 0
	for _, c := range sample {
		n += int(c)
	}
	return 3 + n%40
}

func modelOf(sample string) string { return sample[:2] }

func (f *fakeEngines) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *fakeEngines) slowness(engine string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.slower[engine])
}

func (f *fakeEngines) begin(u registry.Upstream, r SampleRun) (run int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[u.ID]
	select {
	case <-e.dead:
		return 0, ErrDown
	default:
	}
	switch {
	case e.busy || f.random.Float64() < f.refuses:
		return 0, ErrRefused
	case f.fails[r.ID] > 0:
		f.fails[r.ID]--
		return 0, ErrFailed
	}
	run = len(f.runs) + 1
	f.runs[run] = fakeRun{r.ID, r.After, u.ID}
	return run, nil
}

// Run streams the rest of a sample. Each event names its run.
func (f *fakeEngines) Run(ctx context.Context, u registry.Upstream, r SampleRun, emit func(batch.Event)) error {
	if r.Path != "/run/"+r.ID || string(r.Body) != "body of "+r.ID || r.Header["H"] != r.ID {
		f.t.Errorf("sample %s came as %+v", r.ID, r.Request)
	}
	run, err := f.begin(u, r)
	if err != nil {
		return err
	}
	dead, done := f.enter(u.ID)
	defer done()
	for n := r.After + 1; n <= length(r.ID); n++ {
		select {
		case <-ctx.Done():
			if !f.chance(f.buffered) {
				return ctx.Err()
			}
			ctx = context.Background() // the rest had arrived already
		case <-dead:
			return errors.New("connection reset")
		case <-time.After(time.Duration(f.slowness(u.ID) * float64(f.pace))):
		}
		if f.killsAt(r.ID, n) {
			f.crash(u.ID)
			return errors.New("connection reset")
		}
		if f.chance(f.broken) {
			return errors.New("stream broke off")
		}
		f.mu.Lock()
		version := f.engines[u.ID].versions[modelOf(r.ID)]
		f.ended[run] = time.Now()
		f.mu.Unlock()
		emit(batch.Event{Data: fmt.Sprintf("%s:%d:%d", r.ID, n, run), Version: version})
	}
	return nil
}

// enter counts a run in; the channel closes when the engine's process ends.
func (f *fakeEngines) enter(engine string) (dead chan struct{}, done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[engine]
	e.running++
	return e.dead, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.running--
	}
}

func (f *fakeEngines) killsAt(sample string, event int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, kills := f.kills[sample]
	return kills && event >= at
}

func (f *fakeEngines) isDown(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.engines[id].dead:
		return true
	default:
		return false
	}
}

// crash ends an engine's process; it starts again under its ID with the weights it had.
func (f *fakeEngines) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	f.crashes = append(f.crashes, engineCrash{id, time.Now(), e.running - 1})
	close(e.dead)
	time.AfterFunc(crashAway, func() {
		f.mu.Lock()
		f.engines[id] = &fakeEngine{started: e.started + 1, versions: e.versions, dead: make(chan struct{})}
		f.mu.Unlock()
		f.back(id)
	})
}

// Report tells an engine's state.
func (f *fakeEngines) Report(_ context.Context, u registry.Upstream) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[u.ID]
	select {
	case <-e.dead:
		return Report{}, ErrDown
	default:
	}
	versions := map[string]int64{}
	for m, v := range e.versions {
		versions[m] = v
	}
	return Report{Started: e.started, Orders: e.orders, Busy: e.busy, Versions: versions}, nil
}

// Load takes an order, as an engine that checks fencing numbers, and fails the
// test on what no holder may do.
func (f *fakeEngines) Load(_ context.Context, u registry.Upstream, o LoadOrder) (LoadOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, last, now := f.engines[u.ID], f.fence[u.ID], time.Now()
	if last.holder != "" && last.holder != o.Holder {
		if now.Sub(last.at) < testLease {
			f.t.Errorf("engine %s: %s orders %s after %s", u.ID, o.Holder, now.Sub(last.at), last.holder)
		}
		if last.fence == o.Fence {
			f.t.Errorf("engine %s: %s and %s share fencing number %d", u.ID, o.Holder, last.holder, o.Fence)
		}
	}
	if o.Fence < last.fence {
		f.t.Errorf("engine %s: fencing number %d after %d", u.ID, o.Fence, last.fence)
		return LoadFenced, nil
	}
	f.fence[u.ID] = heldOrder{o.Holder, o.Fence, now}
	if e.busy || e.orders != o.Orders {
		return LoadConflict, nil
	}
	if e.versions[o.Model] >= o.Version {
		return LoadHeld, nil
	}
	e.orders++
	e.busy = true
	time.AfterFunc(loadTakes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.busy = false
		e.versions[o.Model] = o.Version
	})
	return LoadAccepted, nil
}

// restart starts an engine again under its ID: it forgets its orders, also the one under
// way, and has an old version. Its entry in the registry still tells the former start.
func (f *fakeEngines) restart(id, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := f.engines[id].started + 1
	f.engines[id] = &fakeEngine{started: started, versions: map[string]int64{model: version}, dead: make(chan struct{})}
}

// lastEventAt is when the last event of a text was made.
func (f *fakeEngines) lastEventAt(text string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, err := strconv.Atoi(text[strings.LastIndex(text, ":")+1:])
	if err != nil {
		f.t.Errorf("text %q: %v", text, err)
	}
	return f.ended[run]
}

// checkText fails the test unless a text is whole and made of runs each of which
// was asked to go on where the one before it stops.
func (f *fakeEngines) checkText(sample, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := strings.Split(text, "\n")
	if len(events) != length(sample) {
		f.t.Errorf("sample %s has %d events, its text has %d", sample, length(sample), len(events))
		return
	}
	before := 0
	for i, e := range events {
		parts := strings.Split(e, ":")
		if len(parts) != 3 || parts[0] != sample || parts[1] != strconv.Itoa(i+1) {
			f.t.Errorf("sample %s: event %d is %q", sample, i+1, e)
			return
		}
		run, err := strconv.Atoi(parts[2])
		if err != nil || run != before && f.runs[run].after != i {
			f.t.Errorf("sample %s: event %d is of run %d, which began after event %d", sample, i+1, run, f.runs[run].after)
			return
		}
		before = run
	}
}

func (f *fakeEngines) startOf(id string) int64 {
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
