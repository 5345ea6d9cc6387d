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

// An alternative to electing the holder of a duty by partition: the VM that claimed the duty
// last keeps it and renews its claim; when the claim isn't renewed any more, the other VMs
// claim the duty after random delays.
const (
	renewInterval = 1500 * time.Millisecond
	claimTimeout  = 4500 * time.Millisecond // above the time for which a claim blocks other VMs
	maxJitter     = time.Second
)

// claimElection elects the VM that claimed the duty last.
type claimElection struct {
	batches *batchrun.Service
	vm      string

	mu      sync.Mutex
	renewed time.Time // when this VM claimed the duty last
}

// rank returns rank 0 while this VM holds the claim, and false otherwise.
func (c *claimElection) rank() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 0, time.Since(c.renewed) < claimTimeout
}

// run claims the duty, and renews the claim, until the context ends.
func (c *claimElection) run(ctx context.Context) {
	var fence int64
	changed := time.Now()
	jitter := time.Duration(rand.Float64() * float64(maxJitter))
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		holder, newest, _ := c.batches.HolderOf(duties.UsageDuty)
		if newest != 0 && newest != fence {
			fence, changed = newest, time.Now()
		}
		mine := holder == c.vm
		if mine && time.Since(changed) < renewInterval || !mine && time.Since(changed) < claimTimeout+jitter {
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

// rankByClaim ranks daemons by a claimElection.
func rankByClaim(ctx context.Context, v *testVM, b *batchrun.Service) duties.RankFunc {
	c := &claimElection{batches: b, vm: v.name}
	go c.run(ctx)
	return c.rank
}

// Compares the two elections during failures of the daemon that reports. Neither may lead to
// calls that the platform must not get. go test -v -run CompareElections prints a table of the
// correct windows, the longest time from a window's end to its report, and the calls of six
// daemons to the store in 60 s, including those for batches and membership.
func TestCompareElections(t *testing.T) {
	faults := []struct {
		name   string
		inject func(c *testCluster, v *testVM)
	}{
		{"none", func(*testCluster, *testVM) {}},
		{"killed", func(c *testCluster, v *testVM) { c.killDaemon(v) }},
		{"cut off from the store for 8 s", func(_ *testCluster, v *testVM) {
			injectStoreFaults([]*testVM{v}, metastore.Faults{Unreachable: true}, 8*time.Second)
		}},
		{"cut off from the platform for 20 s", func(_ *testCluster, v *testVM) {
			injectPlatformFaults([]*testVM{v}, dutyapi.Faults{Unreachable: true}, 20*time.Second)
		}},
		{"cut off from the store and the platform for 8 s", func(_ *testCluster, v *testVM) {
			v.store.SetFaults(metastore.Faults{Unreachable: true})
			injectPlatformFaults([]*testVM{v}, dutyapi.Faults{Unreachable: true}, 8*time.Second)
			v.store.SetFaults(metastore.Faults{Latency: storeLatency})
		}},
		{"calls refused by the store for 5 s", func(c *testCluster, _ *testVM) { injectStoreFaults(c.vms, storeRefuses, 5*time.Second) }},
		{"all daemons killed", func(c *testCluster, _ *testVM) {
			c.killAllDaemons()
			time.Sleep(time.Second)
			c.startAllDaemons()
		}},
	}
	for _, election := range []string{"partition", "claim"} {
		for _, fault := range faults {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, 6, dutyapi.Options{CheckFencing: true})
				if election == "claim" {
					cluster.newRank = rankByClaim
				}
				cluster.startAllDaemons()
				var work sync.WaitGroup
				work.Go(func() { cluster.generateCalls(1, callInterval, 45*time.Second) })
				time.Sleep(12 * time.Second)
				fault.inject(cluster, cluster.lastReporter())
				work.Wait()
				time.Sleep(60*time.Second - cluster.now())
				cluster.expectNoViolations()
				correct, all := cluster.correctReports(10*time.Second, 45*time.Second)
				calls := 0
				for _, v := range cluster.vms {
					n := v.store.Calls()
					calls += n.Reads + n.Writes + n.Membership
				}
				t.Logf("%-10s %-40s correct %d of %d, latest %6v after its window, %d calls", election, fault.name, correct, all, cluster.maxReportDelay().Round(100*time.Millisecond), calls)
				cluster.killAllDaemons()
				time.Sleep(time.Minute)
			})
		}
	}
}

// lastReporter returns the VM that sent the last report.
func (c *testCluster) lastReporter() *testVM {
	var last dutyapi.Report
	for _, r := range c.api.Reports() {
		if r.AcceptedAt.After(last.AcceptedAt) {
			last = r
		}
	}
	for _, v := range c.vms {
		if v.name == last.Holder {
			return v
		}
	}
	return c.vms[0]
}

// maxReportDelay returns the longest time from a window's end to its report, of windows that
// ended after 10 s.
func (c *testCluster) maxReportDelay() time.Duration {
	longest := time.Duration(0)
	for k, r := range c.api.Reports() {
		if end := timing.Windows.End(k); end.Sub(c.start) > 10*time.Second {
			longest = max(longest, r.AcceptedAt.Sub(end))
		}
	}
	return longest
}
