package weightsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func (w *world) publish(v ident.Version) { w.set(func() { w.published = append(w.published, v) }) }

func allServe(v ident.Version) []ident.Version { return []ident.Version{v, v, v, v} }

func TestPublishedVersionIsLoadedAndServedEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, a, b daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		w.publish(2)
		time.Sleep(20 * time.Second)
		g.Expect(w.serving()).To(Equal(allServe(2)))
		g.Expect(b.NewestPublished(model)).To(Equal(ident.Version(2)))
		g.Expect(w.orderedBy).To(HaveEach(ident.VM("a")))
		g.Expect(w.orders).To(HaveLen(8), "one load and one switch each")
	})
}

// A trainer waits for fresh samples while one engine's swap fails again and again.
// The engine goes on with its old version, the others switch, and once the swap
// works again it follows.
func TestFailedSwapLeavesTheOldVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, _, _ daemon) {
		g := NewWithT(t)
		w.set(func() { w.failing["e0"] = true })
		w.publish(2)
		time.Sleep(time.Minute)
		g.Expect(w.serving()).To(Equal([]ident.Version{1, 2, 2, 2}))
		w.set(func() { w.failing["e0"] = false })
		time.Sleep(2 * time.Minute)
		g.Expect(w.serving()).To(Equal(allServe(2)))
	})
}

// The log has an outage longer than a lease. Engines that check fencing still get
// the new weights; the others keep serving the old ones until the log is back.
func TestLogDownOnlyCheckingEnginesGoOn(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, _, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		w.set(func() { w.logDown = true })
		time.Sleep(time.Minute)
		w.publish(2)
		time.Sleep(2 * time.Minute) // beyond an interval: half the group can't load
		g.Expect(w.serving()).To(Equal([]ident.Version{2, 2, 1, 1}))
		w.set(func() { w.logDown = false })
		time.Sleep(time.Minute)
		g.Expect(w.serving()).To(Equal(allServe(2)))
	})
}

// Ownership moves while versions are published: the new holder orders checking
// engines at once and waits with the others.
func TestNewOwnerTakesOver(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, o *owners, _, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		o.set("b")
		time.Sleep(time.Second)
		w.publish(2)
		time.Sleep(5 * time.Second)
		w.set(func() {
			g.Expect(w.orderedBy).To(Equal(map[ident.Upstream]ident.VM{"e0": "b", "e1": "b"}))
		})
		time.Sleep(30 * time.Second)
		g.Expect(w.serving()).To(Equal(allServe(2)))
		g.Expect(w.orderedBy).To(HaveEach(ident.VM("b")))
		g.Expect(w.refused).To(BeZero())
	})
}

// A graceful stop gives the leases up, so that the successor needn't wait out a
// whole lease with engines that ignore fencing.
func TestGracefulStopHandsOverQuickly(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, o *owners, a, b daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		a.stop()
		o.set("b")
		w.publish(2)
		time.Sleep(10 * time.Second) // less than the lease's 15 s
		g.Expect(w.serving()).To(Equal(allServe(2)))
	})
}

// A trainer publishes a version and submits a step that can't begin without it, just
// after our poll. The store is asked at once, and not again and again for a version
// that isn't there, whatever the trainer claims.
func TestAsksTheStoreWhenATrainerKnowsMore(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, a, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		for v := ident.Version(2); v < 8; v++ {
			w.publish(v)
			a.Expect(model, v)
			time.Sleep(10 * time.Millisecond) // a hundredth of a poll's interval
			g.Expect(a.NewestPublished(model)).To(Equal(v))
		}
		for range 100 {
			a.Expect(model, 1000)
		}
		g.Expect(len(a.expected.polls)).To(BeNumerically("<=", 1))
		time.Sleep(100 * time.Millisecond)
		g.Expect(a.NewestPublished(model)).To(Equal(ident.Version(7)))
	})
}

// The weight store is down, but a peer in another data centre saw a newer version:
// staleness is judged by it, and a lower one never replaces it.
func TestNewestOnlyGrowsAndComesFromPeersToo(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, a, _ daemon) {
		g := NewWithT(t)
		w.set(func() { w.storeDown = true })
		a.OfferNewest(model, 7)
		a.OfferNewest(model, 6)
		g.Expect(a.NewestPublished(model)).To(Equal(ident.Version(7)))
		w.set(func() { w.storeDown = false })
		time.Sleep(5 * time.Second)
		g.Expect(a.Newest()).To(Equal(map[ident.Model]ident.Version{model: 7}))
	})
}

// Two teams sample one model, and one of them allows no staleness: it decides.
func TestStrictestTeamDecides(t *testing.T) {
	g := NewWithT(t)
	none, two := int64(0), int64(2)
	loose := Target{StalenessWeight: 0.2, StalenessBound: &two}
	for _, pair := range [][2]Target{{loose, {StalenessWeight: 0.9, StalenessBound: &none}}, {{StalenessBound: &none}, {StalenessWeight: 0.9}}} {
		for _, joined := range []Target{strictest(pair[0], pair[1]), strictest(pair[1], pair[0])} {
			g.Expect(joined).To(Equal(Target{StalenessWeight: 0.9, StalenessBound: &none}))
			g.Expect(joined.needed(5)).To(Equal(ident.Version(5)))
		}
	}
	g.Expect(loose.needed(1)).To(BeZero())
	g.Expect(Target{}.needed(5)).To(BeZero(), "unknown")
}
