package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

// Guards against daemons that choose different coordinators for a service while none is lost,
// against a choice that is lost with the store, and against a caller that waits for a store that
// does not answer.
func TestCoordinatorsAreTheOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, _ := newPeerCluster(t, 3)
		defer w.stop()
		ctx := context.Background()
		time.Sleep(3 * time.Second)
		chosen := map[string]bool{}
		for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			list := w.vms[0].daemon().Coordinators(ctx, service)
			g.Expect(list).To(ConsistOf("vm0", "vm1", "vm2"), "each once")
			chosen[list[0]] = true
			for _, v := range w.vms[1:] {
				g.Expect(v.daemon().Coordinators(ctx, service)).To(Equal(list))
			}
		}
		g.Expect(chosen).To(HaveLen(3), "services are spread over the owners")
		before := w.vms[0].daemon().Coordinators(ctx, "a")
		for _, v := range w.vms {
			v.client.SetFaults(metastore.Faults{Unreachable: true})
		}
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			asked := time.Now()
			g.Expect(w.vms[0].daemon().Coordinators(ctx, "a")).To(Equal(before))
			g.Expect(time.Since(asked)).To(BeZero())
		}
		w.kill(w.vms[2])
		w.restart(w.vms[2]) // a new process, which knows no list and cannot read one
		w.vms[2].client.SetFaults(metastore.Faults{Unreachable: true})
		asked := time.Now()
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		g.Expect(w.vms[2].daemon().Coordinators(ctx, "a")).To(BeEmpty())
		g.Expect(time.Since(asked)).To(BeNumerically("<=", 100*time.Millisecond))
	})
}
