package weightsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func (c *testCluster) publish(v ident.Version) {
	c.withLock(func() { c.published = append(c.published, v) })
}

func allServe(v ident.Version) []ident.Version { return []ident.Version{v, v, v, v} }

func TestPublishedVersionIsLoadedAndServedEverywhere(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, a, b daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		c.publish(2)
		time.Sleep(20 * time.Second)
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
		g.Expect(b.NewestPublished(model)).To(Equal(ident.Version(2)))
		g.Expect(c.orderedBy).To(HaveEach(ident.VM("a")))
		g.Expect(c.orders).To(HaveLen(8), "one load and one switch per engine")
	})
}

// The switches of one engine fail again and again. The engine keeps serving its old version
// and the others switch. Once its switches work again, it follows.
func TestFailedSwitchLeavesTheOldVersion(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, _, _ daemon) {
		g := NewWithT(t)
		c.withLock(func() { c.failingSwitches["e0"] = true })
		c.publish(2)
		time.Sleep(time.Minute)
		g.Expect(c.servingVersions()).To(Equal([]ident.Version{1, 2, 2, 2}))
		c.withLock(func() { c.failingSwitches["e0"] = false })
		time.Sleep(2 * time.Minute)
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
	})
}

// The log is down for longer than a lease. Engines that check fencing tokens still get the new
// weights. The others keep serving the old ones until the log is back.
func TestOnlyFencingEnginesAreOrderedWhileLogIsDown(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, _, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		c.withLock(func() { c.logDown = true })
		time.Sleep(time.Minute)
		c.publish(2)
		time.Sleep(2 * time.Minute) // longer than a publication interval, since half of the group can't load
		g.Expect(c.servingVersions()).To(Equal([]ident.Version{2, 2, 1, 1}))
		c.withLock(func() { c.logDown = false })
		time.Sleep(time.Minute)
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
	})
}

// The owner changes while a version is published. The new holder sends orders at once to
// engines that check fencing tokens, and waits before it sends any to the others.
func TestNewOwnerTakesOver(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, o *testOwners, _, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		o.setOwner("b")
		time.Sleep(time.Second)
		c.publish(2)
		time.Sleep(5 * time.Second)
		c.withLock(func() {
			g.Expect(c.orderedBy).To(Equal(map[ident.Upstream]ident.VM{"e0": "b", "e1": "b"}))
		})
		time.Sleep(30 * time.Second)
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
		g.Expect(c.orderedBy).To(HaveEach(ident.VM("b")))
		g.Expect(c.ordersFenced).To(BeZero())
	})
}

// A graceful stop releases the leases, so that the next owner needn't wait for a whole lease
// before it orders engines that ignore fencing tokens.
func TestGracefulStopHandsOverQuickly(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, o *testOwners, a, b daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		a.stop()
		o.setOwner("b")
		c.publish(2)
		time.Sleep(10 * time.Second) // less than the lease duration of 15 s
		g.Expect(c.servingVersions()).To(Equal(allServe(2)))
	})
}

// A trainer publishes a version just after a poll, and submits a step that can't begin without
// it. The weight store must be polled at once, but not repeatedly for a version that it doesn't
// have, whatever the trainer claims.
func TestExpectedVersionIsPolledOnce(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, a, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		for v := ident.Version(2); v < 8; v++ {
			c.publish(v)
			a.Expect(model, v)
			time.Sleep(10 * time.Millisecond) // a hundredth of the poll interval
			g.Expect(a.NewestPublished(model)).To(Equal(v))
		}
		for range 100 {
			a.Expect(model, 1000)
		}
		g.Expect(len(a.expected.pollNow)).To(BeNumerically("<=", 1))
		time.Sleep(100 * time.Millisecond)
		g.Expect(a.NewestPublished(model)).To(Equal(ident.Version(7)))
	})
}

// The weight store is down, but a peer in another data centre knows a newer version. It counts
// as published, and a lower version never replaces it.
func TestNewestOnlyGrowsAndComesFromPeersToo(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, c *testCluster, _ *testOwners, a, _ daemon) {
		g := NewWithT(t)
		c.withLock(func() { c.storeDown = true })
		a.OfferNewest(model, 7)
		a.OfferNewest(model, 6)
		g.Expect(a.NewestPublished(model)).To(Equal(ident.Version(7)))
		c.withLock(func() { c.storeDown = false })
		time.Sleep(5 * time.Second)
		g.Expect(a.Newest()).To(Equal(map[ident.Model]ident.Version{model: 7}))
	})
}

// Two teams sample one model, and one of them allows no staleness. The stricter settings count.
func TestMergeTargetsTakesStricterSettings(t *testing.T) {
	g := NewWithT(t)
	none, two := int64(0), int64(2)
	loose := Target{StalenessWeight: 0.2, StalenessBound: &two}
	for _, pair := range [][2]Target{{loose, {StalenessWeight: 0.9, StalenessBound: &none}}, {{StalenessBound: &none}, {StalenessWeight: 0.9}}} {
		for _, joined := range []Target{mergeTargets(pair[0], pair[1]), mergeTargets(pair[1], pair[0])} {
			g.Expect(joined).To(Equal(Target{StalenessWeight: 0.9, StalenessBound: &none}))
			g.Expect(joined.minVersion(5)).To(Equal(ident.Version(5)))
		}
	}
	g.Expect(loose.minVersion(1)).To(BeZero())
	g.Expect(Target{}.minVersion(5)).To(BeZero(), "unknown")
}
