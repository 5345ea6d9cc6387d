package duties_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/dutyapi"
)

// runScaling runs a fleet whose batches have 360 samples. They need 15 spot servers in addition
// to the 30 regular ones. It calls change after 20 s, and then check.
func runScaling(t *testing.T, change func(*testCluster), check func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 6, dutyapi.Options{CheckFencing: true})
		cluster.setStepSamples(360)
		cluster.startAllDaemons()
		time.Sleep(20 * time.Second)
		cluster.g.Expect(cluster.spotServers()).To(Equal(map[string]int{"a": 5, "b": 5, "c": 5}))
		cluster.g.Expect(cluster.api.Orders(service)).To(Equal(3), "one order for each data centre")
		change(cluster)
		check(cluster)
		cluster.expectNoViolations()
		cluster.killAllDaemons()
		time.Sleep(time.Minute)
	})
}

// All candidates compute the orders again and again. Each order must be placed once only.
func TestOrdersArePlacedOnce(t *testing.T) {
	runScaling(t, func(*testCluster) { time.Sleep(30 * time.Second) }, func(c *testCluster) {
		c.g.Expect(c.api.Orders(service)).To(Equal(3))
	})
}

// The holder is killed. The next holder counts the existing servers and doesn't order them
// again.
func TestNextHolderKeepsExistingServers(t *testing.T) {
	runScaling(t, func(c *testCluster) {
		c.killDaemon(c.holder())
		time.Sleep(15 * time.Second)
	}, func(c *testCluster) {
		c.g.Expect(c.api.Orders(service)).To(Equal(3))
		c.setStepSamples(480)
		time.Sleep(10 * time.Second)
		c.g.Expect(c.spotServers()).To(Equal(map[string]int{"a": 10, "b": 10, "c": 10}))
	})
}

// All spot servers of a data centre are reclaimed, and no more are available there for a
// while. They must be replaced at once in the other data centres, and must stay there when
// spot servers are available in the first one again.
func TestSpotServersTakenAway(t *testing.T) {
	runScaling(t, func(c *testCluster) {
		c.api.ReclaimSpot(service, "b")
		time.Sleep(12 * time.Second)
	}, func(c *testCluster) {
		c.g.Expect(c.spotServers()).To(Equal(map[string]int{"a": 8, "b": 0, "c": 7}))
		before := c.api.Orders(service)
		c.api.RestoreSpot("b")
		time.Sleep(20 * time.Second)
		c.g.Expect(c.api.Orders(service)).To(Equal(before))
	})
}

// The batches grow while the holder reaches the store, but not the platform. A standby must
// order the servers, some seconds later.
func TestStandbyOrdersServers(t *testing.T) {
	runScaling(t, func(c *testCluster) {
		c.holder().platform.SetFaults(dutyapi.Faults{Unreachable: true})
		c.setStepSamples(480)
		time.Sleep(20 * time.Second)
	}, func(c *testCluster) {
		c.g.Expect(c.spotServers()).To(Equal(map[string]int{"a": 10, "b": 10, "c": 10}))
	})
}

// The store refuses calls of the holder only, which still sees that servers are missing. It
// can't append a claim, so it must order nothing; its successor must order the servers.
func TestHolderWithoutTheStoreOrdersNothing(t *testing.T) {
	runScaling(t, func(c *testCluster) {
		c.holder().store.SetFaults(storeRefuses)
		c.setStepSamples(480)
		time.Sleep(12 * time.Second)
	}, func(c *testCluster) {
		c.g.Expect(c.spotServers()).To(Equal(map[string]int{"a": 10, "b": 10, "c": 10}))
		c.g.Expect(c.api.Orders(service)).To(Equal(6))
	})
}
