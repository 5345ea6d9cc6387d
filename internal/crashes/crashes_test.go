package crashes

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

func TestTable(t *testing.T) {
	const r poison.Fingerprint = 7
	for _, c := range []struct {
		name    string
		crashed []string
		now     time.Duration
		blocked bool
	}{
		{"none", nil, 0, false},
		{"two upstreams", []string{"a", "b"}, 0, false},
		{"three upstreams", []string{"a", "b", "c"}, 0, true},
		{"one crash reported three times", []string{"a", "a", "a"}, 0, false},
		{"three expired crashes", []string{"a", "b", "c"}, crashTTL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := NewTable()
			for _, u := range c.crashed {
				table.add(crash{r, u}, 0)
			}
			g.Expect(table.Blocked(r, c.now)).To(Equal(c.blocked))
			g.Expect(table.Blocked(r+1, c.now)).To(BeFalse())
			g.Expect(len(table.expired(c.now)) > 0).To(Equal(c.now >= crashTTL))
			for _, known := range table.crashesOf(r) {
				table.remove(known)
			}
			g.Expect(table.crashes).To(BeEmpty())
		})
	}
}

func TestCrashKey(t *testing.T) {
	g := NewWithT(t)
	c := crash{0xfedcba9876543210, "i-7f/3"}
	got, err := parseKey(c.key())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(c))
	for _, bad := range []string{"", "x", "0123/a", "0123456789abcdef/", "0123456789abcdeg/a"} {
		_, err := parseKey(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}

// cluster is a store that daemons share.
type cluster struct {
	store  *metastore.Store
	ctx    context.Context
	cancel context.CancelFunc
}

func newCluster() *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	return &cluster{metastore.New(1), ctx, cancel}
}

func (c *cluster) daemon(name string) *Tracker {
	start := time.Now()
	s := New(name, metastore.NewClient(c.store, time.Second), func() time.Duration { return time.Since(start) }, zerolog.Nop())
	go s.Run(c.ctx)
	return s
}

// A request that crashes whatever runs it is repeated through other VMs. If each VM had to
// see three crashes of its own, ten VMs would lose thirty upstreams to the request.
func TestCrashesOfAllDaemonsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster()
		defer c.cancel()
		for i := range 3 {
			c.daemon(fmt.Sprint("vm", i)).RecordCrash(c.ctx, 7, fmt.Sprint("u", i))
		}
		late := c.daemon("late")
		time.Sleep(time.Second)
		g.Expect(late.Blocked(7)).To(BeTrue())
		g.Expect(late.Blocked(8)).To(BeFalse())
	})
}

// The log drops its records after some seconds. A daemon that starts later must know the
// crashes all the same.
func TestCrashesOutliveTheRetentionOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster()
		defer c.cancel()
		first := c.daemon("first")
		for i := range 3 {
			first.RecordCrash(c.ctx, 7, fmt.Sprint("u", i))
		}
		time.Sleep(time.Second)
		g.Expect(first.Blocked(7)).To(BeTrue())
		c.store.Trim(topic, 0, c.store.End(topic, 0))
		second := c.daemon("second")
		time.Sleep(time.Second)
		g.Expect(second.Blocked(7)).To(BeTrue())
	})
}

// Three upstreams go down for other reasons while they run copies of one request, which
// then succeeds. Every daemon must send it again.
func TestSuccessClearsARequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster()
		defer c.cancel()
		first, second := c.daemon("first"), c.daemon("second")
		time.Sleep(time.Second)
		for i := range 3 {
			first.RecordCrash(c.ctx, 7, fmt.Sprint("u", i))
		}
		time.Sleep(6 * time.Second)
		g.Expect(second.Blocked(7)).To(BeTrue())
		second.RecordSuccess(c.ctx, 7)
		time.Sleep(6 * time.Second)
		g.Expect(first.Blocked(7)).To(BeFalse())
		g.Expect(second.Blocked(7)).To(BeFalse())
	})
}

// Records of expired crashes must be deleted, or the store would keep them forever.
func TestExpiredCrashesAreDeletedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster()
		defer c.cancel()
		c.daemon("first").RecordCrash(c.ctx, 7, "u")
		client := metastore.NewClient(c.store, time.Second)
		kept := func() []store.Entry {
			snapshot, err := client.Newest(c.ctx, topic, 0, "")
			g.Expect(err).NotTo(HaveOccurred())
			return snapshot.Entries
		}
		g.Expect(kept()).To(HaveLen(1))
		time.Sleep(crashTTL + 2*cleanupInterval)
		g.Expect(kept()).To(BeEmpty())
	})
}
