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

// Two operators publish changes based on one version through two daemons. The second
// append happens between the first daemon's check and its append. Both appends succeed,
// but only the change that is first in the log may be accepted.
func TestPublishRace(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		a, b := startFollower(ctx, log, confsync.Options{}), startFollower(ctx, log, confsync.Options{})
		var second config.Verdict
		log.beforeAppend = func() { second, _ = b.Publish(ctx, newChange("budi", 0, "0.2")) }
		first, err := a.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).To(Equal(config.Verdict{ChangeID: "budi", Accepted: true, Version: 1}))
		g.Expect(first.Accepted).To(BeFalse())
		g.Expect(first.Reason).To(ContainSubstring("version 1 is newer"))
		g.Expect(log.appends).To(Equal(2))
		time.Sleep(time.Second)
		g.Expect([]float64{productionReserve(a), productionReserve(b)}).To(Equal([]float64{0.2, 0.2}))
	})
}

// The append takes effect, but its response is lost. The operator must be told that the
// change was accepted, and it must not be appended twice.
func TestPublishResponseLost(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := startFollower(ctx, log, confsync.Options{})
		log.lostResponses = 1
		began := time.Now()
		v, err := s.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
		g.Expect(log.appends).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// The append doesn't reach the log. It may only be repeated after the change was absent
// from a readable log for ReappendAfter.
func TestPublishRequestLost(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := startFollower(ctx, log, confsync.Options{})
		log.lostRequests = 1
		began := time.Now()
		v, err := s.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
		g.Expect(log.appends).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically(">=", confsync.DefaultReappendAfter))
	})
}

// The response is lost and the log can't be read either, so it is unknown whether the
// change is in the log. It must not be appended again, and the operator must be told that
// it may still take effect.
func TestPublishOutcomeUnknown(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := startFollower(ctx, log, confsync.Options{})
		log.lostResponses = 1
		log.beforeAppend = func() { log.withLock(func() { log.readsDown = true }) }
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := s.Publish(short, newChange("ayu", 0, "0.1"))
		var failed *confsync.PublishError
		g.Expect(errors.As(err, &failed)).To(BeTrue())
		g.Expect(failed.Outcome).To(Equal(outcome.Unknown))
		g.Expect(err.Error()).To(ContainSubstring("may still take effect"))
		g.Expect(log.appends).To(Equal(1))
		log.withLock(func() { log.readsDown = false })
		v, err := s.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "ayu", Accepted: true, Version: 1}))
		g.Expect(log.appends).To(Equal(1))
	})
}

// The log is down: the outcome must be NotRun, and nothing may be appended later.
func TestPublishLogDown(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		s := startFollower(ctx, log, confsync.Options{})
		expectNotRun := func() {
			_, err := s.Publish(ctx, newChange("ayu", 0, "0.1"))
			var failed *confsync.PublishError
			g.Expect(errors.As(err, &failed)).To(BeTrue())
			g.Expect(failed.Outcome).To(Equal(outcome.NotRun))
			g.Expect(failed.RetryAfter).To(Equal(confsync.DefaultRetryAfter))
		}
		log.beforeAppend = func() { log.withLock(func() { log.down = true }) }
		expectNotRun() // the log goes down between the check and the append
		expectNotRun()
		log.withLock(func() { log.down = false })
		time.Sleep(time.Minute)
		g.Expect(log.appends).To(BeZero())
		g.Expect(s.Current().Version()).To(BeZero())
	})
}

// The change is valid for the state of this daemon, but not for the newest state in the
// log.
func TestPublishChecksAgainstNewestState(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, log *fakeLog) {
		lagging := confsync.New(log, nopLogger, confsync.Options{})
		s := startFollower(ctx, log, confsync.Options{})
		_, err := s.Publish(ctx, newChange("ayu", 0, "0.1"))
		g.Expect(err).NotTo(HaveOccurred())
		v, err := lagging.Publish(ctx, newChange("budi", 0, "0.2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Reason).To(ContainSubstring("version 1 is newer"))
		v, err = lagging.Publish(ctx, newChange("citra", 1, "2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(config.Verdict{ChangeID: "citra", Version: 1, Path: "fleet/production_reserve", Reason: "2: must be 0 to 0.9"}))
		g.Expect(log.appends).To(Equal(1))
	})
}
