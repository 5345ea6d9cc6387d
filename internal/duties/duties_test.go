package duties_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/duties"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/dutyapi"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
)

func TestRankByPartition(t *testing.T) {
	for _, c := range []struct {
		owned []int
		rank  int
		ok    bool
	}{
		{nil, 24, false},
		{[]int{23}, 0, true},
		{[]int{0, 22}, 1, true},
		{[]int{18}, 5, true},
		{[]int{17, 3}, 6, false},
	} {
		rank, ok := duties.RankByPartition(func() []int { return c.owned }, 24, duties.MaxCandidates)()
		g := NewWithT(t)
		g.Expect(ok).To(Equal(c.ok), "%v", c.owned)
		g.Expect(rank).To(Equal(c.rank), "%v", c.owned)
	}
	only := duties.RankByPartition(func() []int { return []int{0} }, 1, duties.MaxCandidates)
	rank, ok := only()
	NewWithT(t).Expect([]any{rank, ok}).To(Equal([]any{0, true}), "a store with one partition")
}

// runWithFault runs a fleet for 60 s with calls at random intervals of this mean, injects a
// fault at 12 s, and returns how many of the windows that ended between 10 s and 45 s were
// reported correctly.
func runWithFault(t *testing.T, o dutyapi.Options, meanInterval time.Duration, fault func(*testCluster)) (correct, all int) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 6, o)
		cluster.startAllDaemons()
		var work sync.WaitGroup
		work.Go(func() { cluster.generateCalls(1, meanInterval, 45*time.Second) })
		time.Sleep(12 * time.Second)
		fault(cluster)
		work.Wait()
		time.Sleep(60*time.Second - cluster.now())
		cluster.expectNoViolations()
		correct, all = cluster.correctReports(10*time.Second, 45*time.Second)
		cluster.killAllDaemons()
		time.Sleep(time.Minute) // until all goroutines have ended
	})
	return correct, all
}

const callInterval = 60 * time.Millisecond

// Each window is reported once, complete and in time, although all daemons count.
func TestAllWindowsAreReported(t *testing.T) {
	correct, all := runWithFault(t, dutyapi.Options{CheckFencing: true}, callInterval, func(*testCluster) {})
	NewWithT(t).Expect(correct).To(Equal(all))
}

// There are no calls at all. The windows are reported as empty.
func TestWindowsWithoutCallsAreReported(t *testing.T) {
	correct, all := runWithFault(t, dutyapi.Options{CheckFencing: true}, time.Hour, func(*testCluster) {})
	NewWithT(t).Expect(correct).To(Equal(all))
}

// Failures of the daemon that reports, of the store and of the platform. During each of them,
// no window may have two different reports, no two daemons may use the same fencing token or
// act in alternation within the lease, and each window must be complete and in time, but for
// a number of windows that the failure may affect.
func TestReportsDuringFailures(t *testing.T) {
	for _, c := range []struct {
		name         string
		maxIncorrect int // windows that may be missing or wrong
		inject       func(*testCluster)
	}{
		// The next owner of the partition reports what is in the log. The counts of the last
		// moment may be lost with the killed daemon.
		{"holder killed", 1, func(c *testCluster) { c.killDaemon(c.holder()) }},
		{"holder killed and restarted", 1, func(c *testCluster) {
			v := c.holder()
			c.killDaemon(v)
			time.Sleep(500 * time.Millisecond)
			c.startDaemon(v)
		}},
		{"holder killed three times in a row", 3, func(c *testCluster) {
			for range 3 {
				v := c.holder()
				c.killDaemon(v)
				time.Sleep(4 * time.Second)
				c.startDaemon(v)
			}
		}},
		// The store refuses calls of the holder only. Another daemon owns the holder's
		// partition after the membership timeout. The holder can't append a claim, so it sends
		// nothing. What it counts in the meantime is too late for one window.
		{"holder refused by the store", 2, func(c *testCluster) { injectStoreFaults([]*testVM{c.holder()}, storeRefuses, 8*time.Second) }},
		{"holder cut off from the store", 2, func(c *testCluster) {
			injectStoreFaults([]*testVM{c.holder()}, metastore.Faults{Unreachable: true}, 8*time.Second)
		}},
		// The holder reaches the store but not the platform, so it keeps its partition. The
		// standbys report.
		{"holder cut off from the platform", 0, func(c *testCluster) {
			injectPlatformFaults([]*testVM{c.holder()}, dutyapi.Faults{Unreachable: true}, 20*time.Second)
		}},
		// The holder is suspended between the check of its claim and the call, for longer than
		// the claim blocks other daemons, and then continues.
		{"holder suspended before a call", 0, func(c *testCluster) {
			var once sync.Once
			c.holder().platform.SetFaults(dutyapi.Faults{BeforeSend: func() { once.Do(func() { time.Sleep(6 * time.Second) }) }})
		}},
		// Calls get no answer and are carried out seconds later, when other daemons act.
		{"calls carried out late", 0, func(c *testCluster) {
			random := newRandom(1)
			injectPlatformFaults(c.vms, dutyapi.Faults{DelayCall: func() time.Duration {
				if random(2) == 0 {
					return 0
				}
				return time.Duration(2+random(5)) * time.Second
			}}, 30*time.Second)
		}},
		{"platform refuses calls", 0, func(c *testCluster) { injectPlatformFaults(c.vms, dutyapi.Faults{Refuse: true}, 4*time.Second) }},
		{"platform slow", 0, func(c *testCluster) {
			injectPlatformFaults(c.vms, dutyapi.Faults{Latency: 600 * time.Millisecond}, 30*time.Second)
		}},
		// No daemon reaches the platform. The windows that were due meanwhile are reported
		// late, and none is reported twice with different counts.
		{"platform unreachable", 2, func(c *testCluster) { injectPlatformFaults(c.vms, dutyapi.Faults{Unreachable: true}, 15*time.Second) }},
		// The store refuses all daemons. They keep their counts until it accepts them.
		{"store refuses calls", 0, func(c *testCluster) { injectStoreFaults(c.vms, storeRefuses, 5*time.Second) }},
		{"store's answers lost", 0, func(c *testCluster) {
			random := newRandom(5)
			injectStoreFaults(c.vms, metastore.Faults{Latency: storeLatency, LoseResponse: func() bool { return random(3) == 0 }}, 8*time.Second)
		}},
		// The log is truncated: the next holder finds no counts of the current window and
		// can't restore them.
		{"log truncated and holder killed", 2, func(c *testCluster) {
			c.store.Trim("duties", 0, c.store.End("duties", 0))
			c.killDaemon(c.holder())
		}},
		// All partitions get other owners at once, without notice.
		{"partitions reassigned", 0, func(c *testCluster) {
			for range 5 {
				c.store.ForceRebalance("batch-owners")
				time.Sleep(2 * time.Second)
			}
		}},
		// All daemons are killed and started again. The counts of the current window are in
		// the log, except those of the last moment.
		{"all daemons killed", 2, func(c *testCluster) {
			c.killAllDaemons()
			time.Sleep(time.Second)
			c.startAllDaemons()
		}},
	} {
		for _, fenced := range []bool{true, false} {
			name := c.name + ", the platform checks fencing tokens"
			if !fenced {
				name = c.name + ", the platform doesn't check fencing tokens"
			}
			if !fenced && c.name == "holder suspended before a call" {
				continue // only the platform can reject a call that a suspended process sends later
			}
			if !fenced && c.name == "calls carried out late" {
				continue // the platform delays the calls itself, and only tokens show it their order
			}
			t.Run(name, func(t *testing.T) {
				correct, all := runWithFault(t, dutyapi.Options{CheckFencing: fenced}, callInterval, c.inject)
				NewWithT(t).Expect(correct).To(BeNumerically(">=", all-c.maxIncorrect))
			})
		}
	}
}

// A daemon is shut down while calls run. It appends its counts before it ends, so that every
// window is complete.
func TestDrainAppendsAllCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 4, dutyapi.Options{CheckFencing: true})
		cluster.startAllDaemons()
		var work sync.WaitGroup
		work.Go(func() { cluster.generateCalls(2, 5*time.Millisecond, 40*time.Second) })
		time.Sleep(12 * time.Second)
		for _, v := range cluster.vms {
			v.mu.Lock()
			counts := v.counts
			v.counts = nil // no more calls
			v.mu.Unlock()
			counts.Drain(t.Context())
			cluster.killDaemon(v)
			time.Sleep(300 * time.Millisecond)
			cluster.startDaemon(v)
			time.Sleep(3 * time.Second)
		}
		work.Wait()
		time.Sleep(15 * time.Second)
		cluster.expectNoViolations()
		correct, all := cluster.correctReports(10*time.Second, 40*time.Second)
		cluster.g.Expect(correct).To(Equal(all))
		cluster.killAllDaemons()
		time.Sleep(time.Minute)
	})
}
