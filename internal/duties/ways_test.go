package duties_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/duties"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/dutyapi"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// The other way to choose who does a duty, beside ownership of a partition: whoever claimed
// it last keeps it and renews the claim; when the claim isn't renewed, the others claim it
// after pauses by chance.
const (
	renewEvery  = 1500 * time.Millisecond
	claimLapses = 4500 * time.Millisecond // above what a claim bars others for
	maxJitter   = time.Second
)

// claimTurn does the duty whoever holds its claim.
type claimTurn struct {
	batches *batchrun.Service
	vm      string

	mu      sync.Mutex
	renewed time.Time // own claim
}

func (c *claimTurn) rank() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 0, time.Since(c.renewed) < claimLapses
}

func (c *claimTurn) run(ctx context.Context) {
	var fence int64
	changed := time.Now()
	jitter := time.Duration(rand.Float64() * float64(maxJitter))
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		holder, now, _ := c.batches.HolderOf(duties.UsageDuty)
		if now != 0 && now != fence {
			fence, changed = now, time.Now()
		}
		mine := holder == c.vm
		if mine && time.Since(changed) < renewEvery || !mine && time.Since(changed) < claimLapses+jitter {
			continue
		}
		jitter = time.Duration(rand.Float64() * float64(maxJitter))
		if _, err := c.batches.Claim(ctx, duties.UsageDuty); err == nil {
			c.mu.Lock()
			c.renewed = time.Now()
			c.mu.Unlock()
			changed = time.Now()
		}
	}
}

func claimTurns(ctx context.Context, v *vm, b *batchrun.Service) duties.Turn {
	c := &claimTurn{batches: b, vm: v.name}
	go c.run(ctx)
	return c.rank
}

// Both ways of choosing who reports, under what may happen to the one that does. The table
// (go test -v -run Ways) has the windows that are right, when the latest report came after
// its window's end, and the calls to the store of six daemons in 60 s, those for batches and
// membership included. Neither may break a promise.
func TestWaysOfChoosingTheHolder(t *testing.T) {
	troubles := []struct {
		name string
		do   func(w *world, v *vm)
	}{
		{"none", func(*world, *vm) {}},
		{"killed", func(w *world, v *vm) { w.kill(v) }},
		{"out of the store's reach for 8 s", func(_ *world, v *vm) { storeFaults([]*vm{v}, metastore.Faults{Cut: true}, 8*time.Second) }},
		{"out of the platform's reach for 20 s", func(_ *world, v *vm) { platformFaults([]*vm{v}, dutyapi.Faults{Cut: true}, 20*time.Second) }},
		{"standing still for 8 s", func(_ *world, v *vm) {
			v.store.SetFaults(metastore.Faults{Cut: true})
			platformFaults([]*vm{v}, dutyapi.Faults{Cut: true}, 8*time.Second)
			v.store.SetFaults(metastore.Faults{Latency: storeAnswer})
		}},
		{"the store away for 5 s", func(w *world, _ *vm) { storeFaults(w.vms, refusing, 5*time.Second) }},
		{"all killed", func(w *world, _ *vm) {
			w.killAll()
			time.Sleep(time.Second)
			w.bootAll()
		}},
	}
	for _, way := range []string{"partition", "claim"} {
		for _, trouble := range troubles {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6, dutyapi.Options{RequireFence: true})
				if way == "claim" {
					w.turns = claimTurns
				}
				w.bootAll()
				var work sync.WaitGroup
				work.Go(func() { w.calls(1, usual, 45*time.Second) })
				time.Sleep(12 * time.Second)
				trouble.do(w, w.reporter())
				work.Wait()
				time.Sleep(60*time.Second - w.now())
				w.promises()
				right, all := w.right(10*time.Second, 45*time.Second)
				calls := 0
				for _, v := range w.vms {
					c := v.store.Calls()
					calls += c.Reads + c.Writes + c.Joins
				}
				t.Logf("%-10s %-40s right %d of %d, latest %6v after its window, %d calls", way, trouble.name, right, all, w.latest().Round(100*time.Millisecond), calls)
				w.killAll()
				time.Sleep(time.Minute)
			})
		}
	}
}

// reporter is the VM that sent the last report.
func (w *world) reporter() *vm {
	var last dutyapi.Report
	for _, r := range w.api.Reports() {
		if r.At.After(last.At) {
			last = r
		}
	}
	for _, v := range w.vms {
		if v.name == last.Holder {
			return v
		}
	}
	return w.vms[0]
}

// latest is the longest time from a window's end to its report, among those after 10 s.
func (w *world) latest() time.Duration {
	longest := time.Duration(0)
	for k, r := range w.api.Reports() {
		if end := timing.Windows.End(k); end.Sub(w.start) > 10*time.Second {
			longest = max(longest, r.At.Sub(end))
		}
	}
	return longest
}
