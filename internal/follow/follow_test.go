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

// recorder is a Sink that keeps what it gets.
type recorder struct {
	keys    map[string]string
	offsets []int64
	gaps    []int64
	resets  int
}

func (r *recorder) Reset(entries []store.Entry) {
	r.resets++
	r.keys = map[string]string{}
	for _, e := range entries {
		r.keys[e.Key] = string(e.Value)
	}
}

func (r *recorder) Record(offset int64, _ []byte) { r.offsets = append(r.offsets, offset) }
func (r *recorder) Gap(first int64)               { r.gaps = append(r.gaps, first) }

type setup struct {
	store    *metastore.Store
	client   *metastore.Client
	sink     *recorder
	follower *Follower
	contacts []bool
}

func newSetup(keyed bool, topic string) *setup {
	s := &setup{store: metastore.New(1), sink: &recorder{}}
	s.client = metastore.NewClient(s.store, time.Second)
	start := time.Now()
	s.follower = New(Options{
		Log: s.client, Topic: topic, Keyed: keyed, Sink: s.sink, Logger: zerolog.Nop(),
		OnContact: func(up bool) { s.contacts = append(s.contacts, up) },
		Now:       func() time.Duration { return time.Since(start) },
	})
	return s
}

func (s *setup) run(t *testing.T) {
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

// After the loss of all VMs a daemon reads a long log in several pages. If it took
// its view for whole after the first, it would run batches whose end stands in a
// later one: engines get samples long after their trainer ended them.
func TestViewIsLoadedAtTheEndOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(false, "long")
		big := make([]byte, 700<<10)
		for range 3 {
			_, err := s.client.Append(context.Background(), "long", 0, [][]byte{big})
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(s.follower.read(context.Background(), 0)).To(Succeed())
		g.Expect(s.follower.Next()).To(Equal(int64(1)))
		g.Expect(s.follower.Loaded()).To(BeFalse())
		s.run(t)
		synctest.Wait()
		g.Expect(s.follower.Loaded()).To(BeTrue())
		g.Expect(s.sink.offsets).To(Equal([]int64{0, 1, 2}))
	})
}

// The store forgets its history while a daemon is cut off. The configuration that
// was written meanwhile stands only among the newest records, which the daemon has
// to read anew; it would follow a hole for ever otherwise.
func TestLostHistoryIsReadAnewByKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(true, "keyed.x")
		g.Expect(s.store.Put("keyed.x", "config", []byte("1"))).To(Succeed())
		s.run(t)
		time.Sleep(time.Second)
		s.client.SetFaults(metastore.Faults{Cut: true})
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

// A partition loses its oldest records before a slow daemon read them. It goes on
// with the oldest that is kept and says so.
func TestGapInAPlainTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(false, "plain")
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

// A connection falls silent: no error, no record. The view's age has to show it
// within two polls, or a daemon tells trainers that nothing new is there.
func TestAgeShowsASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(false, "quiet")
		s.run(t)
		time.Sleep(5 * time.Second)
		g.Expect(s.follower.Age()).To(BeNumerically("<", StaleAfter))
		s.client.SetFaults(metastore.Faults{Cut: true})
		time.Sleep(PollWait + StaleAfter)
		g.Expect(s.follower.Age()).To(BeNumerically(">", StaleAfter))
		g.Expect(s.follower.CatchUp(context.Background())).NotTo(Succeed())
	})
}

// Eighty daemons read at once and the store refuses some calls for a moment. Taken
// for an outage, a server's removal from the registry is put off, and the server gets
// requests seconds after it said that it leaves.
func TestRefusalForAMomentIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(false, "busy")
		s.run(t)
		time.Sleep(time.Second)
		for range 5 {
			s.client.SetFaults(metastore.Faults{Refuse: true})
			time.Sleep(lostAfter / 2)
			s.client.SetFaults(metastore.Faults{})
			time.Sleep(2 * time.Second)
		}
		g.Expect(s.contacts).To(BeEmpty())
		s.client.SetFaults(metastore.Faults{Refuse: true})
		time.Sleep(PollWait + 2*lostAfter)
		g.Expect(s.contacts).To(Equal([]bool{false}))
	})
}

// A busy partition that nobody here depends on must not cost a read for each append:
// dozens of daemons would exceed what the store allows, and all views fall behind.
func TestRelaxedViewReadsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(false, "busy")
		relaxed := true
		s.follower.options.Relaxed = func() bool { return relaxed }
		counted := &countingLog{Log: s.client}
		s.follower.options.Log = counted
		s.run(t)
		appends := func(n int) {
			for range n {
				_, err := s.client.Append(context.Background(), "busy", 0, [][]byte{{1}})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(10 * time.Millisecond)
			}
		}
		appends(200) // in two seconds
		g.Expect(counted.reads).To(BeNumerically("<=", 2*time.Second/RelaxedPause+3))
		relaxed = false
		counted.reads = 0
		appends(200)
		g.Expect(counted.reads).To(BeNumerically(">", 100), "whoever depends on it sees each record at once")
		time.Sleep(time.Second)
		g.Expect(s.sink.offsets).To(HaveLen(400))
	})
}

type countingLog struct {
	store.Log
	reads int
}

func (c *countingLog) Read(ctx context.Context, topic string, part int, from store.ReadFrom) (store.Page, error) {
	c.reads++
	return c.Log.Read(ctx, topic, part, from)
}

// everyThird refuses each third page of newest records.
type everyThird struct {
	store.Log
	calls int
}

func (l *everyThird) Newest(ctx context.Context, topic string, part int, after string) (store.NewestPage, error) {
	if l.calls++; l.calls%3 == 0 {
		return store.NewestPage{}, store.ErrNotDone
	}
	return l.Log.Newest(ctx, topic, part, after)
}

// Guards against a view of many keys that never is whole because each page that fails
// begins the whole read anew.
func TestPagesOfKeysThatFailAreReadAgainAlone(t *testing.T) {
	const keys = 700
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSetup(true, "keyed.x")
		for n := range keys {
			g.Expect(s.store.Put("keyed.x", fmt.Sprint("key", n), []byte("v"))).To(Succeed())
		}
		s.follower.options.Log = &everyThird{Log: s.client}
		s.run(t)
		time.Sleep(time.Second)
		g.Expect(s.follower.Loaded()).To(BeTrue())
		g.Expect(s.sink.keys).To(HaveLen(keys))
		g.Expect(s.sink.resets).To(Equal(1))
	})
}
