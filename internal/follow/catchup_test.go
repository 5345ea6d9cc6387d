package follow

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/metastore"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// Guards against a pause after which a view exceeds its bound, and against an unthrottled
// view at a fleet's start.
func TestPauseOfAView(t *testing.T) {
	const ms, maxLag = time.Millisecond, time.Second
	g := NewWithT(t)
	for _, c := range []struct {
		bounded             bool
		readTime, behindFor time.Duration
		want                time.Duration
	}{
		{false, 100 * ms, 5 * time.Second, 2000 * ms},
		{true, 10 * ms, 0, 200 * ms},
		{true, 100 * ms, 0, 800 * ms},
		{true, 100 * ms, 500 * ms, 300 * ms},
		{true, 10 * ms, 2 * time.Second, 0},
		{true, 600 * ms, 0, 0},
	} {
		g.Expect(throttlePause(c.bounded, c.readTime, c.behindFor, maxLag)).To(Equal(c.want), "%+v", c)
	}
}

// Guards against a scan of all keys in place of records that supersede none: a fleet whose upstreams
// register would read all of them in pages too large for it.
func TestRescanTakesFewerBytesThanTheMissingRecords(t *testing.T) {
	const kb = 1 << 10
	g := NewWithT(t)
	for _, c := range []struct {
		records           int64
		mean, superseding float64
		newestBytes       int
		want              bool
	}{
		{1, 100 * kb, 1, 100 * kb, false},
		{2, 100 * kb, 1, 100 * kb, true},
		{2, 100 * kb, 0.5, 100 * kb, false},
		{5, 100 * kb, 0.5, 100 * kb, true},
		{500, 200, 1, 2000 * kb, false},
		{10_000, 220, 0, 88 * kb, false},
		{0, 0, 0, 0, false},
	} {
		stats := recordStats{mean: c.mean, supersedingPart: c.superseding}
		g.Expect(backlog{records: c.records, stats: stats, newestBytes: c.newestBytes}.rescan()).To(Equal(c.want), "%+v", c)
	}
}

// lagSink is a Sink that records when it knew which version, the number that a value begins with.
type lagSink struct {
	mu       sync.Mutex
	versions map[int]time.Time // when this or a newer version was read first
	newest   int
}

func (l *lagSink) Reset(entries []store.Entry) {
	for _, e := range entries {
		l.take(e.Key, e.Value)
	}
}

func (l *lagSink) Record(_ int64, data []byte) {
	if key, value, err := store.DecodeEntry(data); err == nil {
		l.take(key, value)
	}
}

func (l *lagSink) Gap(int64) {}

func (l *lagSink) take(key string, value []byte) {
	if key != "config" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	version, _ := strconv.Atoi(string(value[:versionDigits])) // always a number
	for ; l.newest < version; l.newest++ {
		l.versions[l.newest+1] = time.Now()
	}
}

const versionDigits = 8

// largeConfig returns a value of a size that begins with a version.
func largeConfig(version, size int) []byte {
	return append(fmt.Appendf(nil, "%0*d", versionDigits, version), make([]byte, size-versionDigits)...)
}

// Guards against a low-priority view that stays behind while large configurations follow each
// other: by a pause that counts the store's wait for a record as its load, by pauses after each
// page, or by reading each superseded version. Of larger fleets or configurations than these, whose
// reads take the store 0.25 s, the relay brings each configuration to all daemons besides.
func TestConfigurationsTakeEffectWithinTheirBound(t *testing.T) {
	const (
		inForceWithin = 2 * time.Second
		readRate      = 80e6 // bytes per second
		changesFor    = 8 * time.Second
	)
	for _, c := range []struct {
		daemons, size int
		gap           time.Duration
	}{
		{10, 20 << 10, 10 * time.Millisecond},
		{10, 100 << 10, 270 * time.Millisecond},
		{10, 100 << 10, 80 * time.Millisecond},
		{10, 256 << 10, 15 * time.Millisecond},
		{75, 256 << 10, 15 * time.Millisecond},
		{75, 256 << 10, 400 * time.Millisecond},
		{190, 100 << 10, 80 * time.Millisecond},
		{950, 20 << 10, 300 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d KB each %s", c.daemons, c.size>>10, c.gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := metastore.New(1)
				s.SetRateLimits(metastore.RateLimits{ReadBytesPerSecond: readRate})
				g.Expect(s.Put("keyed.op", "config", largeConfig(0, c.size))).To(Succeed())
				ctx, cancel := context.WithCancel(context.Background())
				var work sync.WaitGroup
				var sinks []*lagSink
				start := time.Now().Add(-time.Minute)
				for range c.daemons {
					sink := &lagSink{versions: map[int]time.Time{}}
					sinks = append(sinks, sink)
					client := metastore.NewClient(s, 1500*time.Millisecond)
					client.SetFaults(metastore.Faults{Latency: 4 * time.Millisecond})
					f := New(Options{
						Log: client, Topic: "keyed.op", Keyed: true, Sink: sink, LowPriority: func() bool { return true }, MaxLag: inForceWithin / 2,
						Now: func() time.Duration { return time.Since(start) }, Logger: zerolog.Nop(),
					})
					work.Go(func() { f.Run(ctx) })
				}
				time.Sleep(20 * time.Second) // all are loaded
				var written []time.Time
				for began := time.Now(); time.Since(began) < changesFor; time.Sleep(c.gap) {
					written = append(written, time.Now())
					g.Expect(s.Put("keyed.op", "config", largeConfig(len(written), c.size))).To(Succeed())
					g.Expect(s.Put("keyed.op", "version/m", fmt.Append(nil, len(written)))).To(Succeed())
				}
				time.Sleep(changesFor)
				cancel()
				work.Wait()
				var worst time.Duration
				for i, at := range written {
					for _, sink := range sinks {
						g.Expect(sink.versions).To(HaveKey(i+1), "version never read")
						worst = max(worst, sink.versions[i+1].Sub(at))
					}
				}
				t.Logf("largest lag %s, %d bytes read", worst, s.BytesRead("keyed.op"))
				g.Expect(worst).To(BeNumerically("<=", inForceWithin))
			})
		})
	}
}

// Guards against the pause after each page of a busy partition while the view lacks records: it would
// read 48 KB in each pause and fall behind without bound once more is written.
func TestViewThatLacksRecordsIsReadWithoutPause(t *testing.T) {
	const recordBytes, interval, writtenFor = 12 << 10, 25 * time.Millisecond, 10 * time.Second // 480 KB a second
	for name, set := range map[string]func(*Options){
		"idle":       func(o *Options) { o.Idle = func() bool { return true } },
		"read pause": func(o *Options) { o.ReadPause = 200 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newFixture(false, "busy")
				set(&s.follower.options)
				s.run(t)
				for range writtenFor / interval {
					_, err := s.client.Append(context.Background(), "busy", 0, [][]byte{make([]byte, recordBytes)})
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(interval)
				}
				missing := s.store.End("busy", 0) - s.follower.NextOffset()
				g.Expect(time.Duration(missing)*interval).To(BeNumerically("<=", 2*IdlePause), "what is missing was written in this time")
			})
		})
	}
}

// Guards against a catch-up that ends before the partition's end because the view was up to date a
// moment ago: an accepted batch would be called unknown, or a result that was listed wouldn't be there.
func TestCatchUpReadsToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFixture(false, "long")
		g.Expect(s.follower.read(context.Background(), 0)).To(Succeed())
		g.Expect(s.follower.Loaded()).To(BeTrue())
		for range 5 {
			_, err := s.client.Append(context.Background(), "long", 0, [][]byte{make([]byte, 40<<10)})
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(s.follower.CatchUp(context.Background())).To(Succeed())
		g.Expect(s.follower.NextOffset()).To(Equal(int64(5)))
	})
}

// Guards against a late response to a waiting read that makes a view count as up to date although a
// later read has found more records.
func TestKnownEndNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(false, "plain")
	s.follower.apply(0, store.Page{End: 0})
	s.follower.apply(0, store.Page{Records: [][]byte{{1}}, End: 3})
	s.follower.apply(0, store.Page{Records: [][]byte{{1}}, End: 1})
	g.Expect(s.follower.upToDate()).To(BeFalse())
}
