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

func restore(g *WithT, id, reserve string) config.Restore {
	tree, err := config.ParseTreeFile([]byte(`{"fleet":{"production_reserve":` + reserve + `}}`))
	g.Expect(err).NotTo(HaveOccurred())
	return config.Restore{ID: id, Tree: tree}
}

// forget drops every record, as a log does that was out for its retention.
func (l *fakeLog) forget() { l.set(func() { l.first = ident.Offset(len(l.records) + 1) }) }

// Every record of the log is past retention, no snapshot is left, and all daemons
// were replaced. They stay in their gap and refuse changes. An operator restores:
// it is in force at all of them, changes work again, and doing it twice is refused.
func TestRestoreWhenNothingIsLeft(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		publish(g, ctx, follower(ctx, log, confsync.Options{}), 3)
		log.forget()
		a, b := follower(ctx, log, confsync.Options{}), follower(ctx, log, confsync.Options{})
		time.Sleep(time.Minute)
		_, err := a.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrBehind))
		began := time.Now()
		v, err := a.Restore(ctx, restore(g, "ayu", "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 5})) // 4 is the ask
		g.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
		publish(g, ctx, b, 1)
		time.Sleep(inForceWithin)
		g.Expect(marshal(g, a)).To(Equal(marshal(g, b)))
		_, err = b.Restore(ctx, restore(g, "budi", "0.2"))
		g.Expect(err).To(MatchError(confsync.ErrNotBehind))
	})
}

// Two operators restore at the same moment through two daemons, each from his own
// file. One is told that his is in force, the other that it isn't, and all agree.
func TestRestoreRace(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		publish(g, ctx, follower(ctx, log, confsync.Options{}), 3)
		log.forget()
		a, b, c := follower(ctx, log, confsync.Options{}), follower(ctx, log, confsync.Options{}), follower(ctx, log, confsync.Options{})
		time.Sleep(time.Minute)
		type result struct {
			verdict config.Verdict
			err     error
		}
		results := make(chan result, 2)
		for id, s := range map[string]*confsync.Store{"ayu": a, "budi": b} {
			r := restore(g, id, map[string]string{"ayu": "0.1", "budi": "0.2"}[id])
			go func() {
				v, err := s.Restore(ctx, r)
				results <- result{v, err}
			}()
		}
		first, second := <-results, <-results
		won := 0
		for _, r := range []result{first, second} {
			if r.err == nil && r.verdict.Accepted {
				won++
			}
		}
		g.Expect(won).To(Equal(1), "%+v %+v", first, second)
		time.Sleep(inForceWithin)
		g.Expect(marshal(g, a)).To(Equal(marshal(g, b)))
		g.Expect(marshal(g, a)).To(Equal(marshal(g, c)))
	})
}

// One daemon still has the configuration and reads the log; its peers can't reach
// it. An operator restores an old tree through one of them. The holder's
// configuration must come back instead, and its settings must not move.
func TestRestoreLeavesAHolderAlone(t *testing.T) {
	for _, holds := range []bool{true, false} {
		bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			holder := follower(ctx, log, confsync.Options{IsSnapshotWriter: func() bool { return holds }})
			publish(g, ctx, holder, 3)
			before := reserve(holder)
			log.forget()
			s := follower(ctx, log, confsync.Options{})
			time.Sleep(time.Minute)
			v, err := s.Restore(ctx, restore(g, "ayu", "0.85"))
			time.Sleep(inForceWithin)
			g.Expect(marshal(g, s)).To(Equal(marshal(g, holder)))
			if holds {
				g.Expect(err).To(MatchError(confsync.ErrNotBehind))
				g.Expect(reserve(s)).To(Equal(before))
				g.Expect(s.Current().Version()).To(BeEquivalentTo(3))
				return
			}
			// The same without the snapshot: both go on from the restore.
			g.Expect(v.Accepted).To(BeTrue())
			g.Expect(reserve(holder)).To(Equal(0.85))
		})
	}
}

// The restore's append takes effect and its answer is lost, or it is lost itself.
// The operator hears that it is in force, and it is there once.
func TestRestoreAnswerLost(t *testing.T) {
	for _, lose := range []func(*fakeLog){func(l *fakeLog) { l.loseAnswers = 1 }, func(l *fakeLog) { l.loseRequests = 1 }} {
		bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
			publish(g, ctx, follower(ctx, log, confsync.Options{}), 3)
			log.forget()
			s := follower(ctx, log, confsync.Options{})
			time.Sleep(time.Minute)
			go func() {
				time.Sleep(10 * time.Second) // behind the ask
				log.set(func() { lose(log) })
			}()
			v, err := s.Restore(ctx, restore(g, "ayu", "0.1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(v.Accepted).To(BeTrue())
			synctest.Wait()
			g.Expect(log.appends).To(Equal(3 + 2))
		})
	}
}

// Nothing is lost: an empty log, and a log that is down, are no gap.
func TestRestoreRefuses(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := follower(ctx, log, confsync.Options{})
		_, err := s.Restore(ctx, restore(g, "ayu", "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrNotBehind))
		_, err = s.Restore(ctx, restore(g, "", "0.1"))
		g.Expect(err).To(MatchError(ContainSubstring("restore/id")))
		log.set(func() { log.down = true })
		_, err = s.Restore(ctx, restore(g, "ayu", "0.1"))
		g.Expect(err).To(MatchError(confsync.ErrLogUnavailable))
		g.Expect(log.appends).To(BeZero())
	})
}
