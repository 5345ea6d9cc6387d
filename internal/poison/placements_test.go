package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// referencePlacements keeps every copy that was placed and searches all of them.
type referencePlacements struct{ requests []placedCopy }

type placedCopy struct {
	Copy
	upstream ident.Upstream
	placedAt time.Time
}

// requiredUpstream returns the upstream that a copy must get: that of the first copy
// placed within the last placementTTL, if none was placed for twice placementTTL before
// that one, or the upstream that its sender moved to while it was the only one. It
// returns "" where the placement may or may not have been dropped.
func (r *referencePlacements) requiredUpstream(c Copy, now time.Time) ident.Upstream {
	var first *placedCopy
	var required ident.Upstream
	onlySender := true
	last := time.Time{}
	for i, earlier := range r.requests {
		if earlier.Fingerprint != c.Fingerprint {
			continue
		}
		if earlier.placedAt.Sub(last) >= 2*placementTTL {
			first, onlySender = &r.requests[i], true
		}
		last = earlier.placedAt
		if onlySender = onlySender && earlier.Sender == first.Sender; onlySender {
			required = earlier.upstream
		}
	}
	switch {
	case now.Sub(last) >= 2*placementTTL:
		return c.Preferred
	case now.Sub(first.placedAt) >= placementTTL:
		return ""
	case onlySender && c.Sender == first.Sender:
		return c.Preferred
	}
	return required
}

var _ = Describe("Placement of copies", func() {
	copyOf := func(fp int, vm string, wanted string) Copy {
		return Copy{Fingerprint: Fingerprint(fp), Sender: Sender{VM: ident.VM(vm), Sequence: 1}, Preferred: ident.Upstream(wanted)}
	}

	It("gives all copies of a request the same upstream, and each request its own", func() {
		p := NewPlacements()
		Expect(p.Place(copyOf(1, "a", "u1"), epoch)).To(BeEquivalentTo("u1"))
		Expect(p.Place(copyOf(1, "b", "u2"), epoch)).To(BeEquivalentTo("u1"))
		Expect(p.Place(copyOf(2, "b", "u2"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "c", "u3"), epoch.Add(placementTTL-1))).To(BeEquivalentTo("u1"))
	})

	// The upstream refused a request of which there is no other copy: the request must not
	// wait for that upstream.
	It("lets the only sender of a request move, and no sender once there are two", func() {
		p := NewPlacements()
		p.Place(copyOf(1, "a", "u1"), epoch)
		Expect(p.Place(copyOf(1, "a", "u2"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "b", "u3"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "a", "u4"), epoch)).To(BeEquivalentTo("u2"))
	})

	It("drops placements after their lifetime and bounds their number", func() {
		p := NewPlacements()
		p.Place(copyOf(1, "a", "u1"), epoch)
		Expect(p.Place(copyOf(1, "b", "u2"), epoch.Add(2*placementTTL))).To(BeEquivalentTo("u2"))
		for fp := range 2*maxPlacements + 10 {
			p.Place(copyOf(fp, "a", "u1"), epoch.Add(3*placementTTL))
		}
		Expect(len(p.current) + len(p.previous)).To(BeNumerically("<=", 2*maxPlacements))
	})

	It("agrees with a search through all copies in random sessions", func() {
		checked := 0
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 5))
			p, reference := NewPlacements(), &referencePlacements{}
			now := epoch
			for step := range 400 {
				now = now.Add(time.Duration(random.IntN(600)) * time.Millisecond)
				c := copyOf(random.IntN(5), fmt.Sprint("vm", random.IntN(4)), fmt.Sprint("u", random.IntN(6)))
				c.Sender.Sequence = uint64(random.IntN(3))
				got := p.Place(c, now)
				if required := reference.requiredUpstream(c, now); required != "" {
					checked++
					Expect(got).To(Equal(required), "seed %d, step %d", seed, step)
				}
				reference.requests = append(reference.requests, placedCopy{c, got, now})
			}
		}
		Expect(checked).To(BeNumerically(">", 1000))
	})
})

var _ = Describe("Memory of answered requests", func() {
	It("keeps a request for its lifetime and bounds their number", func() {
		a := NewAnsweredRequests()
		Expect(a.Has(1, epoch)).To(BeFalse())
		a.Add(1, epoch)
		Expect(a.Has(1, epoch.Add(answeredTTL))).To(BeTrue())
		Expect(a.Has(1, epoch.Add(3*answeredTTL))).To(BeFalse())
		for fp := range Fingerprint(3 * maxAnswered) {
			a.Add(fp, epoch.Add(4*answeredTTL))
		}
		Expect(len(a.current) + len(a.previous)).To(BeNumerically("<=", 2*maxAnswered))
	})
})
