package confsync_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Two operators publish on one version through two daemons, and the second
// append lands between the first's check and its append. Both appends succeed.
func TestPublishRace(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		a, b := follower(ctx, log, confsync.Options{}), follower(ctx, log, confsync.Options{})
		var second config.Verdict
		log.onAppend = func() { second, _ = b.Publish(ctx, change("budi", 0, "0.2")) }
		first, err := a.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).To(Equal(config.Verdict{ChangeID: "budi", Accepted: true, Version: 1}))
		g.Expect(first.Accepted).To(BeFalse())
		g.Expect(first.Reason).To(ContainSubstring("version 1 is newer"))
		g.Expect(log.appends).To(Equal(2))
		time.Sleep(time.Second)
		g.Expect([]float64{reserve(a), reserve(b)}).To(Equal([]float64{0.2, 0.2}))
	})
}

// The append takes effect, its answer is lost. The operator must hear that the
// change is in force, and the change must not be there twice.
func TestPublishAnswerLost(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := follower(ctx, log, confsync.Options{})
		log.loseAnswers = 1
		began := time.Now()
		v, err := s.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
		g.Expect(log.appends).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// The append is lost on its way. Only after a readable log showed for a while
// that the change is absent may it go in again.
func TestPublishRequestLost(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := follower(ctx, log, confsync.Options{})
		log.loseRequests = 1
		began := time.Now()
		v, err := s.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
		g.Expect(log.appends).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically(">=", confsync.DefaultReappendAfter))
	})
}

// The answer is lost and the log can't be read either: absence proves nothing,
// so nothing is appended again, and the operator is told that it may yet come.
func TestPublishUnknown(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := follower(ctx, log, confsync.Options{})
		log.loseAnswers = 1
		log.onAppend = func() { log.set(func() { log.readsDown = true }) }
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := s.Publish(short, change("ayu", 0, "0.1"))
		var failed *confsync.PublishError
		g.Expect(errors.As(err, &failed)).To(BeTrue())
		g.Expect(failed.Outcome).To(Equal(outcome.Unknown))
		g.Expect(err.Error()).To(ContainSubstring("may still come into force"))
		g.Expect(log.appends).To(Equal(1))
		log.set(func() { log.readsDown = false })
		v, err := s.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 1}))
		g.Expect(log.appends).To(Equal(1))
	})
}

// The log is down: the refusal is "not run", and nothing is ever appended.
func TestPublishLogDown(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := follower(ctx, log, confsync.Options{})
		refused := func() {
			_, err := s.Publish(ctx, change("ayu", 0, "0.1"))
			var failed *confsync.PublishError
			g.Expect(errors.As(err, &failed)).To(BeTrue())
			g.Expect(failed.Outcome).To(Equal(outcome.NotRun))
			g.Expect(failed.RetryAfter).To(Equal(confsync.DefaultRetryAfter))
		}
		log.onAppend = func() { log.set(func() { log.down = true }) }
		refused() // goes down between the check and the append
		refused()
		log.set(func() { log.down = false })
		time.Sleep(time.Minute)
		g.Expect(log.appends).To(BeZero())
		g.Expect(s.Current().Version()).To(BeZero())
	})
}

// The change fits what this daemon knows, but not what is newest in the log.
func TestPublishJudgesAgainstTheNewest(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		lagging := confsync.New(log, zerologNop, confsync.Options{})
		s := follower(ctx, log, confsync.Options{})
		_, err := s.Publish(ctx, change("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		v, err := lagging.Publish(ctx, change("budi", 0, "0.2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Reason).To(ContainSubstring("version 1 is newer"))
		v, err = lagging.Publish(ctx, change("citra", 1, "2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "citra", Version: 1, Path: "fleet/production_reserve", Reason: "2: must be 0 to 0.9"}))
		g.Expect(log.appends).To(Equal(1))
	})
}
