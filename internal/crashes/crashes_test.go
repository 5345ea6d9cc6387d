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

func TestLedger(t *testing.T) {
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
		{"one upstream seen three times", []string{"a", "a", "a"}, 0, false},
		{"long ago", []string{"a", "b", "c"}, markLife, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := NewLedger()
			for _, u := range c.crashed {
				l.add(mark{r, u}, 0)
			}
			g.Expect(l.Blocked(r, c.now)).To(Equal(c.blocked))
			g.Expect(l.Blocked(r+1, c.now)).To(BeFalse())
			g.Expect(len(l.expired(c.now)) > 0).To(Equal(c.now >= markLife))
			for _, m := range l.of(r) {
				l.remove(m)
			}
			g.Expect(l.marks).To(BeEmpty())
		})
	}
}

func TestKeyOfAMark(t *testing.T) {
	g := NewWithT(t)
	m := mark{0xfedcba9876543210, "i-7f/3"}
	got, err := parseMark(m.key())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m))
	for _, bad := range []string{"", "x", "0123/a", "0123456789abcdef/", "0123456789abcdeg/a"} {
		_, err := parseMark(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}

// world is daemons that share a store.
type world struct {
	store  *metastore.Store
	ctx    context.Context
	cancel context.CancelFunc
}

func newWorld() *world {
	ctx, cancel := context.WithCancel(context.Background())
	return &world{metastore.New(1), ctx, cancel}
}

func (w *world) daemon(name string) *Service {
	start := time.Now()
	s := New(name, metastore.NewClient(w.store, time.Second), func() time.Duration { return time.Since(start) }, zerolog.Nop())
	go s.Run(w.ctx)
	return s
}

// A request that crashes whatever runs it comes again at other VMs. If each of them
// had to see three crashes of its own, ten VMs would lose thirty upstreams to it.
func TestCrashesCountOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.cancel()
		for i := range 3 {
			w.daemon(fmt.Sprint("vm", i)).Crashed(w.ctx, 7, fmt.Sprint("u", i))
		}
		late := w.daemon("late")
		time.Sleep(time.Second)
		g.Expect(late.Blocked(7)).To(BeTrue())
		g.Expect(late.Blocked(8)).To(BeFalse())
	})
}

// The log forgets its records after some seconds. A daemon that starts later has to
// know the crashes all the same.
func TestCrashesOutliveTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.cancel()
		first := w.daemon("first")
		for i := range 3 {
			first.Crashed(w.ctx, 7, fmt.Sprint("u", i))
		}
		time.Sleep(time.Second)
		g.Expect(first.Blocked(7)).To(BeTrue())
		w.store.Trim(topic, 0, w.store.End(topic, 0))
		second := w.daemon("second")
		time.Sleep(time.Second)
		g.Expect(second.Blocked(7)).To(BeTrue())
	})
}

// Three upstreams go down for reasons of their own under copies of one request,
// which then succeeds. It has to be served again, by every daemon.
func TestSuccessClearsARequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.cancel()
		first, second := w.daemon("first"), w.daemon("second")
		time.Sleep(time.Second)
		for i := range 3 {
			first.Crashed(w.ctx, 7, fmt.Sprint("u", i))
		}
		time.Sleep(6 * time.Second)
		g.Expect(second.Blocked(7)).To(BeTrue())
		second.Succeeded(w.ctx, 7)
		time.Sleep(6 * time.Second)
		g.Expect(first.Blocked(7)).To(BeFalse())
		g.Expect(second.Blocked(7)).To(BeFalse())
	})
}

// Marks that don't count any more leave the store, or it would keep them for good.
func TestOldMarksLeaveTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.cancel()
		w.daemon("first").Crashed(w.ctx, 7, "u")
		client := metastore.NewClient(w.store, time.Second)
		kept := func() []store.Entry {
			snapshot, err := client.Newest(w.ctx, topic, 0, "")
			g.Expect(err).NotTo(HaveOccurred())
			return snapshot.Entries
		}
		g.Expect(kept()).To(HaveLen(1))
		time.Sleep(markLife + 2*sweepEvery)
		g.Expect(kept()).To(BeEmpty())
	})
}
