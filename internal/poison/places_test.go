package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// naivePlaces keeps every copy that ever asked and looks through all of them.
type naivePlaces struct{ asked []naiveCopy }

type naiveCopy struct {
	Copy
	given ident.Upstream
	at    time.Time
}

// must returns the upstream that a copy has to get: where the first copy of the last
// placeLife went, if there was none for two placeLives before that one, or where it went
// on to while it was alone. It is "" where a place may or may not have been forgotten.
func (n *naivePlaces) must(c Copy, now time.Time) ident.Upstream {
	var first *naiveCopy
	var at ident.Upstream
	alone := true
	last := time.Time{}
	for i, o := range n.asked {
		if o.Fingerprint != c.Fingerprint {
			continue
		}
		if o.at.Sub(last) >= 2*placeLife {
			first, alone = &n.asked[i], true
		}
		last = o.at
		if alone = alone && o.Sender == first.Sender; alone {
			at = o.given
		}
	}
	switch {
	case now.Sub(last) >= 2*placeLife:
		return c.Wanted
	case now.Sub(first.at) >= placeLife:
		return ""
	case alone && c.Sender == first.Sender:
		return c.Wanted
	}
	return at
}

var _ = Describe("Places", func() {
	copyOf := func(fp int, vm string, wanted string) Copy {
		return Copy{Fingerprint: Fingerprint(fp), Sender: Sender{VM: ident.VM(vm), Number: 1}, Wanted: ident.Upstream(wanted)}
	}

	It("gives all copies of one request one upstream, and others their own", func() {
		p := NewPlaces()
		Expect(p.Place(copyOf(1, "a", "u1"), epoch)).To(BeEquivalentTo("u1"))
		Expect(p.Place(copyOf(1, "b", "u2"), epoch)).To(BeEquivalentTo("u1"))
		Expect(p.Place(copyOf(2, "b", "u2"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "c", "u3"), epoch.Add(placeLife-1))).To(BeEquivalentTo("u1"))
	})

	// Its upstream refused a copy that nobody else sent: it must not wait for that one.
	It("lets a sender move that is alone, and nobody once another came", func() {
		p := NewPlaces()
		p.Place(copyOf(1, "a", "u1"), epoch)
		Expect(p.Place(copyOf(1, "a", "u2"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "b", "u3"), epoch)).To(BeEquivalentTo("u2"))
		Expect(p.Place(copyOf(1, "a", "u4"), epoch)).To(BeEquivalentTo("u2"))
	})

	It("forgets", func() {
		p := NewPlaces()
		p.Place(copyOf(1, "a", "u1"), epoch)
		Expect(p.Place(copyOf(1, "b", "u2"), epoch.Add(2*placeLife))).To(BeEquivalentTo("u2"))
		for fp := range 2*maxPlaces + 10 {
			p.Place(copyOf(fp, "a", "u1"), epoch.Add(3*placeLife))
		}
		Expect(len(p.recent) + len(p.former)).To(BeNumerically("<=", 2*maxPlaces))
	})

	It("agrees with a look through all copies, over random sessions", func() {
		checked := 0
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 5))
			p, n := NewPlaces(), &naivePlaces{}
			now := epoch
			for step := range 400 {
				now = now.Add(time.Duration(random.IntN(600)) * time.Millisecond)
				c := copyOf(random.IntN(5), fmt.Sprint("vm", random.IntN(4)), fmt.Sprint("u", random.IntN(6)))
				c.Sender.Number = uint64(random.IntN(3))
				given := p.Place(c, now)
				if must := n.must(c, now); must != "" {
					checked++
					Expect(given).To(Equal(must), "seed %d, step %d", seed, step)
				}
				n.asked = append(n.asked, naiveCopy{c, given, now})
			}
		}
		Expect(checked).To(BeNumerically(">", 1000))
	})
})

var _ = Describe("Answered", func() {
	It("remembers an answer for its life, and stays bounded", func() {
		a := NewAnswered()
		Expect(a.Has(1, epoch)).To(BeFalse())
		a.Add(1, epoch)
		Expect(a.Has(1, epoch.Add(answeredLife))).To(BeTrue())
		Expect(a.Has(1, epoch.Add(3*answeredLife))).To(BeFalse())
		for fp := range Fingerprint(3 * maxAnswered) {
			a.Add(fp, epoch.Add(4*answeredLife))
		}
		Expect(len(a.recent) + len(a.former)).To(BeNumerically("<=", 2*maxAnswered))
	})
})
