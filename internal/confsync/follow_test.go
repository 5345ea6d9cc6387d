package confsync_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

var zerologNop = zerolog.Nop()

// inForceWithin is the users' bound.
const inForceWithin = 9 * time.Second

// publish publishes so many changes, one on the other. It waits first until the
// store has read what others published.
func publish(g *WithT, ctx context.Context, s *confsync.Store, count int) {
	for range count {
		synctest.Wait()
		base := s.Current().BranchVersion(config.FleetBranch)
		v, err := s.Publish(ctx, change(fmt.Sprintf("c%d", base), base, fmt.Sprintf("0.%d", 1+base%8)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue(), v.Reason)
	}
}

// The log's open connection goes silent just before a change is published. The
// daemon would act on old settings for ever; it must find out in seconds.
func TestFollowSilentConnection(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		log.silentReads = 1
		s := follower(ctx, log, confsync.Options{})
		time.Sleep(time.Millisecond)
		_, _ = log.Append(ctx, "config", [][]byte{encoded(change("ayu", 0, "0.1"))})
		time.Sleep(inForceWithin)
		g.Expect(reserve(s)).To(Equal(0.1))
	})
}

// The log is down for an hour. Reads go on with pauses, not in a tight loop,
// and the first read after the outage brings the change.
func TestFollowOutage(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		log.down = true
		s := follower(ctx, log, confsync.Options{})
		time.Sleep(time.Hour)
		log.mu.Lock()
		g.Expect(log.failedReads).To(BeNumerically("~", 2400, 700))
		log.down = false
		log.mu.Unlock()
		_, _ = log.Append(ctx, "config", [][]byte{encoded(change("ayu", 0, "0.1"))})
		time.Sleep(confsync.DefaultBackoffMax)
		g.Expect(reserve(s)).To(Equal(0.1))
	})
}

// The log is down and a daemon is restarted. One peer has the newest state,
// another one that was frozen offers an old one after it.
func TestRestartDuringOutage(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		old, newest := follower(ctx, log, confsync.Options{}), follower(ctx, log, confsync.Options{})
		publish(g, ctx, old, 1)
		oldState := old.Current()
		publish(g, ctx, newest, 2)
		log.set(func() { log.down = true })
		s := follower(ctx, log, confsync.Options{})
		changed := s.Changed()
		g.Expect(s.Offer(newest.Current())).To(BeTrue())
		g.Expect(changed).To(BeClosed())
		g.Expect(s.Offer(oldState)).To(BeFalse())
		g.Expect(s.Current().Version()).To(BeEquivalentTo(3))
		log.set(func() { log.down = false })
		time.Sleep(inForceWithin)
		publish(g, ctx, newest, 1)
		time.Sleep(inForceWithin)
		g.Expect(s.Current().Version()).To(BeEquivalentTo(4))
	})
}

// A daemon sleeps through changes (SIGSTOP), its pending read gets no answer,
// and meanwhile retention takes the records that it needs next. Awake, it acts
// on the newest settings within seconds, by the snapshot.
func TestFrozenDaemonWakes(t *testing.T) {
	for _, expired := range []bool{false, true} {
		bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			awake := follower(ctx, log, confsync.Options{
				Retention: config.Retention{Records: 9}, IsSnapshotWriter: func() bool { return true },
			})
			publish(g, ctx, awake, 1)
			beforeFreeze := awake.Current()
			publish(g, ctx, awake, 5)
			time.Sleep(time.Minute) // the snapshot is written
			publish(g, ctx, awake, 1)
			log.set(func() {
				log.silentReads = 1
				if expired {
					log.first = 6
				}
			})
			frozen := confsync.New(log, zerologNop, confsync.Options{})
			g.Expect(frozen.Offer(beforeFreeze)).To(BeTrue())
			go frozen.Follow(ctx)
			time.Sleep(inForceWithin)
			g.Expect(marshal(g, frozen)).To(Equal(marshal(g, awake)))
		})
	}
}

// Nothing changes for weeks, longer than the retention. The snapshot must be
// written again and again, or a fleet that is replaced as a whole starts empty.
func TestSnapshotsOutliveRetention(t *testing.T) {
	for _, writers := range []int{0, 1, 2} {
		bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			const keep = 6 * time.Hour
			options := confsync.Options{
				ReadWait: 30 * time.Second, Retention: config.Retention{Age: keep}, IsSnapshotWriter: func() bool { return true },
			}
			s := follower(ctx, log, confsync.Options{ReadWait: 30 * time.Second})
			publish(g, ctx, s, 2)
			for range writers {
				follower(ctx, log, options)
			}
			for hour := range 100 {
				time.Sleep(time.Hour)
				log.set(func() {
					log.down = hour%20 > 17 // outages of two hours
					log.expire(keep)
				})
			}
			log.set(func() { log.down = false })
			restarted := follower(ctx, log, confsync.Options{})
			time.Sleep(inForceWithin)
			kept := restarted.Current().Version() == s.Current().Version()
			g.Expect(kept).To(Equal(writers > 0), "%d writers", writers)
			g.Expect(log.appends).To(BeNumerically("<=", 2+60*writers))
		})
	}
}

// A rack comes back and thirty daemons start in one moment. Each reads the whole
// retained stream, and the log would get it all at once. With a spread it never
// sees half of them in a tenth of a second, and all are up to date after it.
func TestStartsTogether(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		first := follower(ctx, log, confsync.Options{})
		publish(g, ctx, first, 3)
		const daemons, spread = 30, 2 * time.Second
		var stores []*confsync.Store
		for range daemons {
			stores = append(stores, follower(ctx, log, confsync.Options{StartSpread: spread}))
		}
		up := func() (n int) {
			synctest.Wait()
			for _, s := range stores {
				if s.Current().Version() == first.Current().Version() {
					n++
				}
			}
			return n
		}
		most, before := 0, up()
		g.Expect(before).To(BeZero())
		for range 20 {
			time.Sleep(spread / 20)
			now := up()
			most, before = max(most, now-before), now
		}
		g.Expect(before).To(Equal(daemons))
		g.Expect(most).To(BeNumerically("<", daemons/2), "in one tenth of a second")
	})
}

// expire drops what is older than the retention.
func (l *fakeLog) expire(keep time.Duration) {
	for l.first <= ident.Offset(len(l.records)) && time.Since(l.records[l.first-1].Time) > keep {
		l.first++
	}
}

func encoded(c config.Change) []byte {
	data, err := config.EncodeRecord(config.Record{Change: &c})
	if err != nil {
		panic(err)
	}
	return data
}

func marshal(g *WithT, s *confsync.Store) string {
	data, err := s.Current().Marshal()
	g.Expect(err).NotTo(HaveOccurred())
	return string(data)
}
