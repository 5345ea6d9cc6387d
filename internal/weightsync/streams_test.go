package weightsync

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// inTwoCentres moves e1 and e3 to another data centre, which daemon b looks after.
func (w *world) inTwoCentres(o *owners) {
	o.setIn("there", "b")
	w.set(func() { w.engines[1].DataCentre, w.engines[3].DataCentre = "there", "there" })
}

// streamsRead starts anew and returns which streams a daemon reads in 10 s.
func (w *world) streamsRead(vm ident.VM) (names []string) {
	w.set(func() { w.reads[vm] = nil })
	time.Sleep(10 * time.Second)
	w.set(func() { names = slices.Sorted(maps.Keys(w.reads[vm])) })
	return names
}

// With one stream for the fleet each daemon reads the leases of all. With one a data
// centre, a daemon of a large fleet reads those that concern it, and the engines of
// both get their weights from their own.
func TestLargeFleetReadsOwnLeasesOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, o *owners, _, _ daemon) {
		g := NewWithT(t)
		g.Expect(w.streamsRead("a")).To(Equal([]string{"leases-here"}))
		w.inTwoCentres(o)
		g.Expect(w.streamsRead("a")).To(Equal([]string{"leases-here", "leases-there"}), "small")
		o.grow()
		time.Sleep(2 * unneededFor)
		g.Expect(w.streamsRead("a")).To(Equal([]string{"leases-here"}))
		g.Expect(w.streamsRead("b")).To(Equal([]string{"leases-there"}))
		w.publish(2)
		time.Sleep(time.Minute)
		g.Expect(w.serving()).To(Equal(allServe(2)))
		g.Expect(w.orderedBy).To(Equal(map[ident.Upstream]ident.VM{"e0": "a", "e1": "b", "e2": "a", "e3": "b"}))
		g.Expect(w.refused).To(BeZero())
	})
}

// The daemons of a data centre die and come back: its engines fall to the others,
// who follow their leases anew, and return. No engine sees a smaller fencing number.
func TestHeirTakesADataCentreOverAndGivesItBack(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, o *owners, _, _ daemon) {
		g := NewWithT(t)
		o.grow()
		w.inTwoCentres(o)
		time.Sleep(10 * time.Second)
		for i, vm := range []ident.VM{"b", "a", "b", "a"} {
			o.setIn("there", vm)
			w.publish(ident.Version(i + 2))
			time.Sleep(3 * time.Minute)
			g.Expect(w.serving()).To(Equal(allServe(ident.Version(i + 2))))
			g.Expect(w.orderedBy["e1"]).To(Equal(vm))
			g.Expect(w.orderedBy["e3"]).To(Equal(vm))
			g.Expect(w.refused).To(BeZero())
		}
	})
}

// In a large fleet Engines lists few of a group. The leases on the others, which
// another daemon holds, must not be forgotten: it may fall to this one to wait for
// its orders.
func TestLeasesOnEnginesNotListedAreKept(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world, _ *owners, a, _ daemon) {
		g := NewWithT(t)
		time.Sleep(5 * time.Second)
		var all []EngineState
		w.set(func() { all = w.engines; w.engines = w.engines[:1] })
		time.Sleep(time.Minute)
		known := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			_, _, known := a.streams["here"].table.Holder("e3")
			return known
		}
		g.Expect(known()).To(BeFalse(), "left the configuration")
		w.set(func() { w.engines = all })
		time.Sleep(5 * time.Second)
		w.set(func() { w.engines, w.unlisted = w.engines[:1], true })
		time.Sleep(time.Minute)
		g.Expect(known()).To(BeTrue())
	})
}
