package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

var _ = Describe("a request whose upstream died", func() {
	death := func(boot string) poison.Death { return poison.Death{Upstream: "e0", BootID: boot} }
	after := func(tokens ...int) poison.Verdict {
		d := New(Options{Client: newWorld(1)})
		r := &run{d: d, fp: 7}
		for i, n := range tokens {
			r.suspect(&slot{m: &member{}, tokens: n}, death(string(rune('a'+i))))
		}
		return d.judge(7).Verdict
	}

	// An engine crashes under forty streams. All of them ran alone, one after the
	// other, and the step waited for three times its length. Cause: each was taken
	// for the killer, whatever it had generated.
	It("isn't suspected once it had generated for a while", func() {
		Expect(after(provenTokens)).To(Equal(poison.Clean))
		Expect(after(provenTokens - 1)).To(Equal(poison.Suspect))
	})

	// A request kills late in its answer, each time. Its excuse holds once: the
	// second death makes it a suspect, and the third one, alone, convicts it.
	It("is excused once only", func() {
		Expect(after(100, 100)).To(Equal(poison.Suspect))
		Expect(after(100, 100, 100)).To(Equal(poison.Convicted))
	})

	It("isn't excused on a lane of its own", func() {
		d := New(Options{Client: newWorld(1)})
		r := &run{d: d, fp: 7}
		r.suspect(&slot{m: &member{}, tokens: 100, lane: true}, death("a"))
		Expect(d.judge(7).Verdict).To(Equal(poison.Suspect))
	})
})

var _ = Describe("the need for a reserve", func() {
	It("counts production of all daemons by a mean, and what decides a step at once", func() {
		n := reserveNeed{daemons: 4}
		t := routing.NewTable(routing.Options{})
		production := &slot{}
		n.began(production, routing.Request{Class: routing.ClassProduction}, t)
		Expect(n.tick()).To(BeZero(), "one call is no traffic")
		for range 200 {
			n.tick()
		}
		Expect(n.tick()).To(BeNumerically("~", 4, 0.1))
		straggler, bulk := &slot{}, &slot{}
		n.began(straggler, routing.Request{Class: routing.ClassRollout, Straggler: true}, t)
		n.began(bulk, routing.Request{Class: routing.ClassRollout}, t)
		Expect(n.tick()).To(BeNumerically("~", 5, 0.1))
		n.ended(straggler)
		n.ended(production)
		for range 400 {
			n.tick()
		}
		Expect(n.tick()).To(BeZero())
	})
})

var _ = Describe("the mean time of answers", func() {
	It("follows an overload faster than its end", func() {
		Expect(follow(time.Second, 2*time.Second)).To(Equal(1400 * time.Millisecond))
		Expect(follow(2*time.Second, time.Second)).To(Equal(1900 * time.Millisecond))
	})
})
