package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// runCounter is a UsageRecorder that keeps the start times of the runs.
type runCounter struct {
	mu     sync.Mutex
	starts []time.Time
}

func (r *runCounter) RecordRun(_ string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, time.Now().Add(-ago))
}

// since returns the start times relative to a time, in their order.
func (r *runCounter) since(at time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, start := range r.starts {
		out = append(out, start.Sub(at))
	}
	slices.Sort(out)
	return out
}

// A customer is billed for each run of a call that an upstream began, including runs whose
// response was lost. Sends that an upstream refused, or that never left the gateway, must not
// be counted.
func TestRunsOfCallsAreCounted(t *testing.T) {
	lost, refused, dial := fails(exchange.Reset, true), status(503, true), fails(exchange.Dial, false)
	for _, c := range []struct {
		name       string
		customer   string
		behaviours []behaviour
		want       int
	}{
		{"answered", "a", []behaviour{ok(0)}, 1},
		{"failed", "a", []behaviour{status(500, false), status(500, false)}, 2},
		{"refused, then a response", "a", []behaviour{refused, ok(0)}, 1},
		{"connection failed, then a response", "a", []behaviour{dial, ok(0)}, 1},
		{"response lost, then a response", "a", []behaviour{lost, ok(0)}, 2},
		{"refused everywhere", "a", []behaviour{refused, refused}, 0},
		{"without a customer", "", []behaviour{ok(0)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, _ := setup(c.behaviours...)
				counter := &runCounter{}
				gate.usage = counter
				billed := call()
				billed.Customer = c.customer
				gate.Do(context.Background(), route(routes.Safe, 2), billed)
				synctest.Wait()
				NewWithT(t).Expect(counter.starts).To(HaveLen(c.want))
			})
		})
	}
}

// The run of a stream counts from its first event, which may fall into a later usage window
// than its request.
func TestStreamRunIsCountedAtFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name       string
		behaviours []streamBehaviour
		want       int
	}{
		{"whole", []streamBehaviour{{}}, 1},
		{"refused, then complete", []streamBehaviour{{status: 503, notRun: true}, {}}, 1},
		{"broken after its second event, resumed", []streamBehaviour{{breakAfter: 2}, {}}, 2},
		{"response is not a stream", []streamBehaviour{{status: 404}}, 1},
		{"broken before its first event, then complete", []streamBehaviour{{breakAfter: -1}, {}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := streamSetup(c.behaviours...)
				f.firstEventDelay = 300 * time.Millisecond
				counter := &runCounter{}
				gate.usage = counter
				startedAt := time.Now()
				billed := call()
				billed.Customer = "a"
				gate.Stream(context.Background(), routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}, billed, 0, f)
				g.Expect(counter.starts).To(HaveLen(c.want))
				if c.behaviours[0].status == 0 {
					g.Expect(counter.starts[0].Sub(startedAt)).To(Equal(f.firstEventDelay))
				}
			})
		})
	}
}

// fixedWaits is a waitEstimator with a wait by upstream; others are unknown.
type fixedWaits map[string]time.Duration

func (f fixedWaits) expectedWait(incarnation string, _ time.Duration) (time.Duration, bool) {
	wait, ok := f[incarnation]
	return wait, ok
}

// after responds like b after a delay that does not end with the call.
func after(delay time.Duration, b behaviour) behaviour {
	return func(ctx context.Context) (*Response, error) {
		time.Sleep(delay)
		return b(ctx)
	}
}

// Guards against counting sends that ended before the upstream began to run them, against losing
// those that began, and against counting a run in the window of its send where it began later.
func TestEndOfSendIsComparedWithExpectedWait(t *testing.T) {
	const ms = time.Millisecond
	lost := fails(exchange.Reset, true)
	for _, c := range []struct {
		name       string
		behaviours []behaviour
		waits      fixedWaits
		want       []time.Duration // starts of runs, since the call began
	}{
		{"answered", []behaviour{ok(50 * ms)}, fixedWaits{"u0": 30 * ms}, []time.Duration{30 * ms}},
		{"hedge cancelled in the queue", []behaviour{ok(100 * ms), ok(time.Hour)}, fixedWaits{"u0": 0, "u1": 500 * ms}, []time.Duration{0}},
		{"hedge cancelled while it ran", []behaviour{ok(100 * ms), ok(time.Hour)}, fixedWaits{"u0": 0, "u1": 10 * ms}, []time.Duration{0, 85 * ms}},
		{"first copy cancelled in the queue", []behaviour{ok(time.Hour), ok(20 * ms)}, fixedWaits{"u0": 500 * ms, "u1": 0}, []time.Duration{75 * ms}},
		{"deadline in the queue", []behaviour{ok(time.Hour)}, fixedWaits{"u0": 900 * ms}, nil},
		{"deadline while it ran", []behaviour{ok(time.Hour)}, fixedWaits{"u0": 700 * ms}, []time.Duration{700 * ms}},
		{"connection broke in the queue", []behaviour{after(20*ms, lost)}, fixedWaits{"u0": 300 * ms}, nil},
		{"connection broke while it ran", []behaviour{after(20*ms, lost)}, fixedWaits{"u0": 10 * ms}, []time.Duration{10 * ms}},
		{"status 500", []behaviour{after(20*ms, status(500, false))}, fixedWaits{"u0": 300 * ms}, []time.Duration{20 * ms}},
		{"status 504 at the time limit of a run", []behaviour{after(200*ms, status(504, false))}, fixedWaits{"u0": 300 * ms}, []time.Duration{200 * ms}},
		{"status 504 while it ran", []behaviour{after(200*ms, status(504, false))}, fixedWaits{"u0": 30 * ms}, []time.Duration{30 * ms}},
		{"no answer, wait unknown", []behaviour{ok(time.Hour)}, nil, []time.Duration{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, _ := setup(c.behaviours...)
				counter := &runCounter{}
				gate.usage, gate.waits = counter, c.waits
				startedAt := time.Now()
				billed := call()
				billed.Customer = "a"
				gate.Do(context.Background(), route(routes.Safe, 2), billed)
				synctest.Wait()
				NewWithT(t).Expect(counter.since(startedAt)).To(Equal(c.want))
			})
		})
	}
}

// fifoUpstream runs two calls at a time for 100 ms each, also when their caller leaves, and queues
// the others. It knows the wait of the next call.
type fifoUpstream struct {
	slots  chan struct{}
	mu     sync.Mutex
	freeAt []time.Time // by slot, if no queued call leaves
	runCounter
}

const fifoRun = 100 * time.Millisecond

func (f *fifoUpstream) expectedWait(string, time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.freeAt[0])), true
}

func (f *fifoUpstream) respond(ctx context.Context) (*Response, error) {
	wait, _ := f.expectedWait("", 0)
	f.mu.Lock()
	f.freeAt = append(f.freeAt[1:], time.Now().Add(wait+fifoRun))
	f.mu.Unlock()
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &exchange.Failure{Kind: exchange.Cancelled, Sent: true, Err: ctx.Err()}
	}
	f.RecordRun("", 0)
	time.AfterFunc(fifoRun, func() { <-f.slots })
	return ok(fifoRun)(ctx)
}

// Guards against counting calls whose callers left while they waited in the queue of an upstream.
// Twelve calls arrive at an upstream that can begin six within their time limit.
func TestCallsCancelledInQueueAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fifoUpstream{slots: make(chan struct{}, 2), freeAt: make([]time.Time, 2)}
		gate, _ := setup(f.respond)
		counter := &runCounter{}
		gate.usage, gate.waits = counter, f
		startedAt := time.Now()
		r := route(routes.Unsafe, 1)
		r.Timeout = 250 * time.Millisecond
		var pending sync.WaitGroup
		for range 12 {
			billed := call()
			billed.Customer = "a"
			pending.Go(func() { gate.Do(context.Background(), r, billed) })
			time.Sleep(time.Millisecond)
		}
		pending.Wait()
		synctest.Wait()
		g := NewWithT(t)
		g.Expect(f.starts).To(HaveLen(6))
		g.Expect(counter.since(startedAt)).To(Equal(f.since(startedAt)))
	})
}

// Guards against a run in a later window than its own because the VM was suspended during the
// call: the clock of package time does not advance meanwhile.
func TestRunStartIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		gate, _ := setup(func(context.Context) (*Response, error) {
			suspended = 10 * time.Second
			return &Response{Status: 200}, nil
		})
		counter, awake := &runCounter{}, gate.now
		gate.usage, gate.now = counter, func() time.Duration { return awake() + suspended }
		startedAt := time.Now()
		billed := call()
		billed.Customer = "a"
		gate.Do(context.Background(), route(routes.Unsafe, 1), billed)
		NewWithT(t).Expect(counter.since(startedAt)).To(Equal([]time.Duration{-10 * time.Second}))
	})
}
