package confsync_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func newRestore(g *WithT, id, reserve string) config.Restore {
	tree, err := config.ParseTreeFile([]byte(`{"fleet":{"production_reserve":` + reserve + `}}`))
	g.Expect(err).NotTo(HaveOccurred())
	return config.Restore{ID: id, Tree: tree}
}

// expireAll drops every record, like a log that was down for longer than its retention.
func (l *fakeLog) expireAll() { l.withLock(func() { l.first = ident.Offset(len(l.records) + 1) }) }

// All records and snapshots have expired and all daemons were replaced, so they stay in
// the gap and reject changes. After a restore, all daemons must use its tree and accept
// changes again, and a second restore must be rejected.
func TestRestoreAfterAllRecordsExpired(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		publishChanges(g, ctx, startFollower(ctx, log, confsync.Options{}), 3)
		log.expireAll()
		a, b := startFollower(ctx, log, confsync.Options{}), startFollower(ctx, log, confsync.Options{})
		time.Sleep(time.Minute)
		_, err := a.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrRecordsMissing))
		began := time.Now()
		v, err := a.Restore(ctx, newRestore(g, "ayu", "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 5})) // 4 is the snapshot request
		g.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
		publishChanges(g, ctx, b, 1)
		time.Sleep(maxApplyDelay)
		g.Expect(marshalState(g, a)).To(Equal(marshalState(g, b)))
		_, err = b.Restore(ctx, newRestore(g, "budi", "0.2"))
		g.Expect(err).To(MatchError(confsync.ErrNothingToRestore))
	})
}

// Two operators restore different files at the same time through two daemons. Exactly one
// may be told that its restore took effect, and all daemons must have the same state.
func TestRestoreRace(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		publishChanges(g, ctx, startFollower(ctx, log, confsync.Options{}), 3)
		log.expireAll()
		a, b, c := startFollower(ctx, log, confsync.Options{}), startFollower(ctx, log, confsync.Options{}), startFollower(ctx, log, confsync.Options{})
		time.Sleep(time.Minute)
		type result struct {
			verdict config.Verdict
			err     error
		}
		results := make(chan result, 2)
		for id, s := range map[string]*confsync.Store{"ayu": a, "budi": b} {
			r := newRestore(g, id, map[string]string{"ayu": "0.1", "budi": "0.2"}[id])
			go func() {
				v, err := s.Restore(ctx, r)
				results <- result{v, err}
			}()
		}
		first, second := <-results, <-results
		accepted := 0
		for _, r := range []result{first, second} {
			if r.err == nil && r.verdict.Accepted {
				accepted++
			}
		}
		g.Expect(accepted).To(Equal(1), "%+v %+v", first, second)
		time.Sleep(maxApplyDelay)
		g.Expect(marshalState(g, a)).To(Equal(marshalState(g, b)))
		g.Expect(marshalState(g, a)).To(Equal(marshalState(g, c)))
	})
}

// One daemon still has the configuration and reads the log, but its peers can't reach it.
// An operator restores an old tree through one of them. If the holder writes a snapshot,
// the configuration must be recovered from that and the restore must be rejected.
func TestRestoreYieldsToSnapshot(t *testing.T) {
	for _, writesSnapshots := range []bool{true, false} {
		runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			holder := startFollower(ctx, log, confsync.Options{IsSnapshotWriter: func() bool { return writesSnapshots }})
			publishChanges(g, ctx, holder, 3)
			before := productionReserve(holder)
			log.expireAll()
			s := startFollower(ctx, log, confsync.Options{})
			time.Sleep(time.Minute)
			v, err := s.Restore(ctx, newRestore(g, "ayu", "0.85"))
			time.Sleep(maxApplyDelay)
			g.Expect(marshalState(g, s)).To(Equal(marshalState(g, holder)))
			if writesSnapshots {
				g.Expect(err).To(MatchError(confsync.ErrNothingToRestore))
				g.Expect(productionReserve(s)).To(Equal(before))
				g.Expect(s.Current().Version()).To(BeEquivalentTo(3))
				return
			}
			// Without the snapshot, both daemons use the restored tree.
			g.Expect(v.Accepted).To(BeTrue())
			g.Expect(productionReserve(holder)).To(Equal(0.85))
		})
	}
}

// The restore's append takes effect but its response is lost, or the append is lost. In
// both cases the operator must be told that the restore took effect, and it must be in
// the log once.
func TestRestoreAppendLost(t *testing.T) {
	for _, lose := range []func(*fakeLog){func(l *fakeLog) { l.lostResponses = 1 }, func(l *fakeLog) { l.lostRequests = 1 }} {
		runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			publishChanges(g, ctx, startFollower(ctx, log, confsync.Options{}), 3)
			log.expireAll()
			s := startFollower(ctx, log, confsync.Options{})
			time.Sleep(time.Minute)
			go func() {
				time.Sleep(10 * time.Second) // after the snapshot request
				log.withLock(func() { lose(log) })
			}()
			v, err := s.Restore(ctx, newRestore(g, "ayu", "0.1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(v.Accepted).To(BeTrue())
			synctest.Wait()
			g.Expect(log.appends).To(Equal(3 + 2))
		})
	}
}

// No records are missing: neither an empty log nor one that is down is a gap.
func TestRestoreWithoutGap(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := startFollower(ctx, log, confsync.Options{})
		_, err := s.Restore(ctx, newRestore(g, "ayu", "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrNothingToRestore))
		_, err = s.Restore(ctx, newRestore(g, "", "0.1"))
		g.Expect(err).To(MatchError(ContainSubstring("restore/id")))
		log.withLock(func() { log.down = true })
		_, err = s.Restore(ctx, newRestore(g, "ayu", "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrLogUnavailable))
		g.Expect(log.appends).To(BeZero())
	})
}
