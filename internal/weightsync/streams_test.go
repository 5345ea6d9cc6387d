package weightsync

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// splitDataCentres moves e1 and e3 to a second data centre, whose engines daemon b owns.
func (c *testCluster) splitDataCentres(o *testOwners) {
	o.setOwnerIn("there", "b")
	c.withLock(func() { c.engines[1].DataCentre, c.engines[3].DataCentre = "there", "there" })
}

// streamsRead returns the streams that a daemon reads within the next 10 s.
func (c *testCluster) streamsRead(vm ident.VM) (names []string) {
	c.withLock(func() { c.reads[vm] = nil })
	time.Sleep(10 * time.Second)
	c.withLock(func() { names = slices.Sorted(maps.Keys(c.reads[vm])) })
	return names
}

// Guards against daemons of a large fleet that read the leases on all engines. With one lease
// stream per data centre, each daemon reads only the leases that concern it, and each engine
// gets its weights from its own owner.
func TestLargeFleetReadsOwnLeasesOnly(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, o *testOwners, _, _ daemon) {
		g := NewWithT(t)
		g.Expect(c.streamsRead("a")).To(Equal([]string{"leases-here"}))
		c.splitDataCentres(o)
		g.Expect(c.streamsRead("a")).To(Equal([]string{"leases-here", "leases-there"}), "small")
		o.setLargeFleet()
		time.Sleep(2 * streamLinger)
		g.Expect(c.streamsRead("a")).To(Equal([]string{"leases-here"}))
		g.Expect(c.streamsRead("b")).To(Equal([]string{"leases-there"}))
		c.publish(2)
		time.Sleep(time.Minute)
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
		g.Expect(c.orderedBy).To(Equal(map[ident.Upstream]ident.VM{"e0": "a", "e1": "b", "e2": "a", "e3": "b"}))
		g.Expect(c.ordersFenced).To(BeZero())
	})
}

// The daemons of a data centre die and come back. Its engines pass to other daemons, which
// follow the leases there anew, and back again. No engine may get a lower fencing token than
// before.
func TestDataCentreChangesOwners(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, o *testOwners, _, _ daemon) {
		g := NewWithT(t)
		o.setLargeFleet()
		c.splitDataCentres(o)
		time.Sleep(10 * time.Second)
		for i, vm := range []ident.VM{"b", "a", "b", "a"} {
			o.setOwnerIn("there", vm)
			c.publish(ident.Version(i + 2))
			time.Sleep(3 * time.Minute)
			g.Expect(c.servingVersions()).To(Equal(allServe(ident.Version(i + 2))))
			g.Expect(c.orderedBy["e1"]).To(Equal(vm))
			g.Expect(c.orderedBy["e3"]).To(Equal(vm))
			g.Expect(c.ordersFenced).To(BeZero())
		}
	})
}

// In a large fleet, Engines lists only some engines of a group. Guards against forgetting the
// leases on the others: if this daemon becomes their owner, it has to wait for the orders of
// the present holder.
func TestLeasesOnUnlistedEnginesAreKept(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, a, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		var all []EngineState
		c.withLock(func() { all = c.engines; c.engines = c.engines[:1] })
		time.Sleep(time.Minute)
		known := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			_, _, known := a.streams["here"].table.Holder("e3")
			return known
		}
		g.Expect(known()).To(BeFalse(), "engine left the configuration")
		c.withLock(func() { c.engines = all })
		time.Sleep(5 * time.Second)
		c.withLock(func() { c.engines, c.allConfigured = c.engines[:1], true })
		time.Sleep(time.Minute)
		g.Expect(known()).To(BeTrue())
	})
}
