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

var nopLogger = zerolog.Nop()

// maxApplyDelay is the required bound on the time from a change to its use by every
// daemon.
const maxApplyDelay = 9 * time.Second

// publishChanges publishes count changes, each based on the previous one. Before each it
// waits until the store has read the changes that others published.
func publishChanges(g *WithT, ctx context.Context, s *confsync.Store, count int) {
	for range count {
		synctest.Wait()
		base := s.Current().BranchVersion(config.FleetBranch)
		v, err := s.Publish(ctx, newChange(fmt.Sprintf("c%d", base), base, fmt.Sprintf("0.%d", 1+base%8)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue(), v.Reason)
	}
}

// The connection to the log stops responding just before a change is published. Without
// a read deadline the daemon would keep its old settings forever.
func TestFollowSilentConnection(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		log.unansweredReads = 1
		s := startFollower(ctx, log, confsync.Options{})
		time.Sleep(time.Millisecond)
		_, _ = log.Append(ctx, "config", [][]byte{encodeChange(newChange("ayu", 0, "0.1"))})
		time.Sleep(maxApplyDelay)
		g.Expect(productionReserve(s)).To(Equal(0.1))
	})
}

// The log is down for an hour. Reads must be retried with backoff, not in a tight loop,
// and the first read after the outage must return the change.
func TestFollowOutage(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		log.down = true
		s := startFollower(ctx, log, confsync.Options{})
		time.Sleep(time.Hour)
		log.mu.Lock()
		g.Expect(log.failedReads).To(BeNumerically("~", 2400, 700))
		log.down = false
		log.mu.Unlock()
		_, _ = log.Append(ctx, "config", [][]byte{encodeChange(newChange("ayu", 0, "0.1"))})
		time.Sleep(confsync.DefaultBackoffMax)
		g.Expect(productionReserve(s)).To(Equal(0.1))
	})
}

// A daemon restarts while the log is down. One peer sends it the newest state, then
// another one, which was frozen, sends an old one that must be ignored.
func TestRestartDuringOutage(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		old, newest := startFollower(ctx, log, confsync.Options{}), startFollower(ctx, log, confsync.Options{})
		publishChanges(g, ctx, old, 1)
		oldState := old.Current()
		publishChanges(g, ctx, newest, 2)
		log.withLock(func() { log.down = true })
		s := startFollower(ctx, log, confsync.Options{})
		changed := s.Changed()
		g.Expect(s.UpdateIfNewer(newest.Current())).To(BeTrue())
		g.Expect(changed).To(BeClosed())
		g.Expect(s.UpdateIfNewer(oldState)).To(BeFalse())
		g.Expect(s.Current().Version()).To(BeEquivalentTo(3))
		log.withLock(func() { log.down = false })
		time.Sleep(maxApplyDelay)
		publishChanges(g, ctx, newest, 1)
		time.Sleep(maxApplyDelay)
		g.Expect(s.Current().Version()).To(BeEquivalentTo(4))
	})
}

// A daemon is suspended (SIGSTOP) while changes are published. Its pending read gets no
// response, and in one case the records that it needs next expire. After it resumes, it
// must use the newest settings within seconds, in that case from the snapshot.
func TestFrozenDaemonCatchesUp(t *testing.T) {
	for _, expired := range []bool{false, true} {
		runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			awake := startFollower(ctx, log, confsync.Options{
				Retention: config.Retention{Records: 9}, IsSnapshotWriter: func() bool { return true },
			})
			publishChanges(g, ctx, awake, 1)
			beforeFreeze := awake.Current()
			publishChanges(g, ctx, awake, 5)
			time.Sleep(time.Minute) // until the snapshot is written
			publishChanges(g, ctx, awake, 1)
			log.withLock(func() {
				log.unansweredReads = 1
				if expired {
					log.first = 6
				}
			})
			frozen := confsync.New(log, nopLogger, confsync.Options{})
			g.Expect(frozen.UpdateIfNewer(beforeFreeze)).To(BeTrue())
			go frozen.Follow(ctx)
			time.Sleep(maxApplyDelay)
			g.Expect(marshalState(g, frozen)).To(Equal(marshalState(g, awake)))
		})
	}
}

// Nothing changes for longer than the retention. If the snapshot weren't written again
// and again, daemons that start later would have an empty configuration.
func TestSnapshotsOutliveRetention(t *testing.T) {
	for _, writers := range []int{0, 1, 2} {
		runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			const retention = 6 * time.Hour
			options := confsync.Options{
				ReadWait: 30 * time.Second, Retention: config.Retention{Age: retention}, IsSnapshotWriter: func() bool { return true },
			}
			s := startFollower(ctx, log, confsync.Options{ReadWait: 30 * time.Second})
			publishChanges(g, ctx, s, 2)
			for range writers {
				startFollower(ctx, log, options)
			}
			for hour := range 100 {
				time.Sleep(time.Hour)
				log.withLock(func() {
					log.down = hour%20 > 17 // outages of two hours
					log.expire(retention)
				})
			}
			log.withLock(func() { log.down = false })
			restarted := startFollower(ctx, log, confsync.Options{})
			time.Sleep(maxApplyDelay)
			upToDate := restarted.Current().Version() == s.Current().Version()
			g.Expect(upToDate).To(Equal(writers > 0), "%d writers", writers)
			g.Expect(log.appends).To(BeNumerically("<=", 2+60*writers))
		})
	}
}

// Thirty daemons start at the same time, for example after the outage of a rack, and each
// reads the whole stream. With a start spread, the log must never get half of these reads
// within a tenth of a second, and all daemons must be up to date after the spread.
func TestSimultaneousStarts(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		first := startFollower(ctx, log, confsync.Options{})
		publishChanges(g, ctx, first, 3)
		const daemons, spread = 30, 2 * time.Second
		var stores []*confsync.Store
		for range daemons {
			stores = append(stores, startFollower(ctx, log, confsync.Options{StartJitter: spread}))
		}
		countUpToDate := func() (n int) {
			synctest.Wait()
			for _, s := range stores {
				if s.Current().Version() == first.Current().Version() {
					n++
				}
			}
			return n
		}
		most, before := 0, countUpToDate()
		g.Expect(before).To(BeZero())
		for range 20 {
			time.Sleep(spread / 20)
			now := countUpToDate()
			most, before = max(most, now-before), now
		}
		g.Expect(before).To(Equal(daemons))
		g.Expect(most).To(BeNumerically("<", daemons/2), "in one tenth of a second")
	})
}

// expire drops the records that are older than the retention.
func (l *fakeLog) expire(retention time.Duration) {
	for l.first <= ident.Offset(len(l.records)) && time.Since(l.records[l.first-1].Time) > retention {
		l.first++
	}
}

func encodeChange(c config.Change) []byte {
	data, err := config.EncodeRecord(config.Record{Change: &c})
	if err != nil {
		panic(err)
	}
	return data
}

func marshalState(g *WithT, s *confsync.Store) string {
	data, err := s.Current().Marshal()
	g.Expect(err).NotTo(HaveOccurred())
	return string(data)
}
