package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// recordingSink is a Sink that records its calls.
type recordingSink struct {
	keys    map[string]string
	offsets []int64
	gaps    []int64
	resets  int
}

func (r *recordingSink) Reset(entries []store.Entry) {
	r.resets++
	r.keys = map[string]string{}
	for _, e := range entries {
		r.keys[e.Key] = string(e.Value)
	}
}

func (r *recordingSink) Record(offset int64, _ []byte) { r.offsets = append(r.offsets, offset) }
func (r *recordingSink) Gap(first int64)               { r.gaps = append(r.gaps, first) }

// fixture is a Follower of a topic with one partition in a fake store.
type fixture struct {
	store    *metastore.Store
	client   *metastore.Client
	sink     *recordingSink
	follower *Follower
	contacts []bool
}

// newFixture returns a Follower that isn't running yet.
func newFixture(keyed bool, topic string) *fixture {
	s := &fixture{store: metastore.New(1), sink: &recordingSink{}}
	s.client = metastore.NewClient(s.store, time.Second)
	start := time.Now()
	s.follower = New(Options{
		Log: s.client, Topic: topic, Keyed: keyed, Sink: s.sink, Logger: zerolog.Nop(),
		OnContact: func(up bool) { s.contacts = append(s.contacts, up) },
		Now:       func() time.Duration { return time.Since(start) },
	})
	return s
}

// run runs the Follower until the test ends.
func (s *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.follower.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against a view that counts as loaded after the first of several pages, as when a
// daemon reads a long log after the loss of all VMs. The daemon would run batches whose end is
// in a later page, and engines would get samples long after their trainer ended them.
func TestViewIsLoadedOnlyAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "long")
		big := make([]byte, 700<<10)
		for range 3 {
			_, err := s.client.Append(context.Background(), "long", 0, [][]byte{big})
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(s.follower.read(context.Background(), 0)).To(Succeed())
		g.Expect(s.follower.NextOffset()).To(Equal(int64(1)))
		g.Expect(s.follower.Loaded()).To(BeFalse())
		s.run(t)
		synctest.Wait()
		g.Expect(s.follower.Loaded()).To(BeTrue())
		g.Expect(s.sink.offsets).To(Equal([]int64{0, 1, 2}))
	})
}

// Guards against a daemon that never catches up after the store has dropped its history while
// the daemon was cut off: a configuration written meanwhile is only among the newest records
// of the keys, so the daemon must read these again.
func TestKeyedTopicIsReloadedAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(true, "keyed.x")
		g.Expect(s.store.Put("keyed.x", "config", []byte("1"))).To(Succeed())
		s.run(t)
		time.Sleep(time.Second)
		s.client.SetFaults(metastore.Faults{Unreachable: true})
		time.Sleep(2 * time.Second)
		for n := range 5 {
			g.Expect(s.store.Put("keyed.x", "config", fmt.Append(nil, n+2))).To(Succeed())
		}
		s.store.Trim("keyed.x", 0, s.store.End("keyed.x", 0)-1)
		s.client.SetFaults(metastore.Faults{})
		time.Sleep(2 * time.Second)
		g.Expect(s.sink.keys).To(HaveKeyWithValue("config", "6"))
		g.Expect(s.sink.gaps).To(BeEmpty())
		g.Expect(s.contacts).To(Equal([]bool{false, true}))
	})
}

// Guards against a gap that goes unnoticed: when a partition loses its oldest records before a
// slow daemon has read them, the daemon must continue with the oldest that is kept and report
// the gap.
func TestGapInUnkeyedTopicIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "plain")
		for range 4 {
			_, err := s.client.Append(context.Background(), "plain", 0, [][]byte{{1}})
			g.Expect(err).NotTo(HaveOccurred())
		}
		s.store.Trim("plain", 0, 2)
		s.run(t)
		time.Sleep(time.Second)
		g.Expect(s.sink.gaps).To(Equal([]int64{2}))
		g.Expect(s.sink.offsets).To(Equal([]int64{2, 3}))
	})
}

// Guards against a connection that stops delivering without an error. The view's age must show
// it within two polls, or a daemon tells trainers that there is nothing new.
func TestAgeShowsUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "quiet")
		s.run(t)
		time.Sleep(5 * time.Second)
		g.Expect(s.follower.Age()).To(BeNumerically("<", StaleAfter))
		s.client.SetFaults(metastore.Faults{Unreachable: true})
		time.Sleep(PollWait + StaleAfter)
		g.Expect(s.follower.Age()).To(BeNumerically(">", StaleAfter))
		g.Expect(s.follower.CatchUp(context.Background())).NotTo(Succeed())
	})
}

// Guards against refused calls that count as an outage: when 80 daemons read at once, the store
// refuses some calls for a moment. Taken for an outage, they would delay a server's removal from
// the registry, and the server would get requests seconds after it said that it is leaving.
func TestMomentaryRefusalsAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "busy")
		s.run(t)
		time.Sleep(time.Second)
		for range 5 {
			s.client.SetFaults(metastore.Faults{Refuse: true})
			time.Sleep(contactLostAfter / 2)
			s.client.SetFaults(metastore.Faults{})
			time.Sleep(2 * time.Second)
		}
		g.Expect(s.contacts).To(BeEmpty())
		s.client.SetFaults(metastore.Faults{Refuse: true})
		time.Sleep(PollWait + 2*contactLostAfter)
		g.Expect(s.contacts).To(Equal([]bool{false}))
	})
}

// Guards against one read for each append to a busy partition that nothing on this daemon
// depends on: dozens of daemons would exceed what the store allows, and all views fall behind.
func TestIdleViewReadsRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "busy")
		idle := true
		s.follower.options.Idle = func() bool { return idle }
		log := &countingLog{Log: s.client}
		s.follower.options.Log = log
		s.run(t)
		appendRecords := func(n int) {
			for range n {
				_, err := s.client.Append(context.Background(), "busy", 0, [][]byte{{1}})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(10 * time.Millisecond)
			}
		}
		appendRecords(200) // in two seconds
		g.Expect(log.reads).To(BeNumerically("<=", 2*time.Second/IdlePause+3))
		idle = false
		log.reads = 0
		appendRecords(200)
		g.Expect(log.reads).To(BeNumerically(">", 100), "a view that isn't idle gets each record at once")
		time.Sleep(time.Second)
		g.Expect(s.sink.offsets).To(HaveLen(400))
	})
}

// countingLog counts the reads.
type countingLog struct {
	store.Log
	reads int
}

func (c *countingLog) Read(ctx context.Context, topic string, part int, from store.ReadOptions) (store.Page, error) {
	c.reads++
	return c.Log.Read(ctx, topic, part, from)
}

// failEveryThird fails every third read of a page of newest records.
type failEveryThird struct {
	store.Log
	calls int
}

func (l *failEveryThird) Newest(ctx context.Context, topic string, part int, after string) (store.NewestPage, error) {
	if l.calls++; l.calls%3 == 0 {
		return store.NewestPage{}, store.ErrNotDone
	}
	return l.Log.Newest(ctx, topic, part, after)
}

// Guards against a view of many keys that is never loaded because each page that fails begins
// the whole scan anew.
func TestOnlyFailedPagesOfKeysAreReadAgain(t *testing.T) {
	const keys = 700
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(true, "keyed.x")
		for n := range keys {
			g.Expect(s.store.Put("keyed.x", fmt.Sprint("key", n), []byte("v"))).To(Succeed())
		}
		s.follower.options.Log = &failEveryThird{Log: s.client}
		s.run(t)
		time.Sleep(time.Second)
		g.Expect(s.follower.Loaded()).To(BeTrue())
		g.Expect(s.sink.keys).To(HaveLen(keys))
		g.Expect(s.sink.resets).To(Equal(1))
	})
}
