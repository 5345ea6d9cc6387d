package batchrun

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// Guards against a step that is late by a third because its longest sample runs to its end on the
// one engine of three with slower hardware. Once the hardware is known, the sample must start on
// another engine, and it must move off the slow one when another one has a free slot.
func TestLongSamplesMoveOffSlowHardware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newTestCluster(t, 1, 2, 3, "m0")
		defer w.stop()
		w.engines.eventInterval = 100 * time.Millisecond
		w.engines.slowdown["e0"] = 1.4
		time.Sleep(2 * time.Second)
		submit := func(name string, samples int) {
			head, items, requests := newBatch("m0", name, 1, samples, 1)
			g.Expect(w.vms[0].daemon().Submit(context.Background(), name, head, items, requests)).To(Succeed())
			time.Sleep(10 * time.Second)
		}
		submit("first", 24) // every engine runs some of them, and its speed becomes known
		w.engines.mu.Lock()
		before := len(w.engines.runs)
		w.engines.mu.Unlock()
		g.Expect(before).To(BeNumerically(">", 24), "some samples moved off the slow engine at the end")
		submit("second", 2)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		g.Expect(w.engines.runs).To(HaveLen(before + 2))
		for n := before + 1; n <= before+2; n++ {
			g.Expect(w.engines.runs[n].engine).NotTo(Equal("e0"))
		}
	})
}

// Guards against moving samples off a slow engine while the store is unavailable. A sample that is
// moved can't be started again before the store is back, so it makes no progress for seconds; on
// the slow engine it would continue.
func TestNoSampleMovesOutOfContact(t *testing.T) {
	for _, inContact := range []bool{true, false} {
		g := NewWithT(t)
		view := fleet.New(func() time.Duration { return time.Minute })
		config := routes.New(1, nil, []routes.Service{{Name: "engines", Engine: &routes.Engine{Slots: 8, Models: []string{"m0"}}}}, routes.Limits{}, nil)
		o := Options{Partitions: 1, Now: func() time.Duration { return time.Minute }, View: view, Suspects: health.NewSuspects(), Policy: DefaultPolicy(policy.Set{})}
		r := newRunner(New(o), newPartition(0, o), func() bool { return inContact })
		for i, gap := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond} {
			u := registry.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("a", i), Slots: 8}
			view.UpdateUpstreams(func(reg *registry.Registry, _ time.Duration) { reg.Put(u) })
			e := r.engineLocked(u.ID)
			e.running = 1
			for range minGaps {
				e.observeGap(gap, time.Minute)
			}
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		r.runs[sampleKey{"b", 0}] = &run{ctx: ctx, cancel: cancel, incarnation: "e0", startedAt: time.Minute - time.Second}
		r.reconcilePoolLocked(context.Background(), config, pool{"engines", "m0"}, &poolWork{}, time.Minute)
		g.Expect(ctx.Err() != nil).To(Equal(inContact))
	}
}
