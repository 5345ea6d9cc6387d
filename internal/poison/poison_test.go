package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

// naive keeps every event of a daemon and counts anew at each question. It
// knows nothing of trying: it answers clean, suspect or convicted.
type naive struct {
	deaths map[Fingerprint][]Death // in order
	last   map[Fingerprint]time.Time
}

func (n *naive) died(fp Fingerprint, d Death, now time.Time) {
	if now.Sub(n.last[fp]) >= time.Minute {
		n.deaths[fp] = nil
	}
	if slices.ContainsFunc(n.deaths[fp], func(o Death) bool { return o.Upstream == d.Upstream && o.BootID == d.BootID }) {
		return
	}
	n.deaths[fp] = append(n.deaths[fp], d)
	n.last[fp] = now
}

func (n *naive) cleared(fp Fingerprint) {
	if n.crashes(fp) < 2 {
		for i := range n.deaths[fp] {
			n.deaths[fp][i].Forgiven = true
		}
	}
}

func (n *naive) crashes(fp Fingerprint) int {
	count := 0
	for _, d := range n.deaths[fp] {
		if !d.Forgiven {
			count++
		}
	}
	return count
}

func (n *naive) verdict(fp Fingerprint, now time.Time) Verdict {
	if now.Sub(n.last[fp]) >= time.Minute {
		return Clean
	}
	return [...]Verdict{Clean, Suspect, Convicted}[min(2, n.crashes(fp))]
}

// fleet sends one killer again and again through random daemons, whose marks
// reach the others between two sends if shared, and counts the upstreams lost.
func fleet(seed uint64, shared bool) (lost int, refused bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	var keepers []*Keeper
	for i := range 5 {
		keepers = append(keepers, New(Options{Self: ident.VM(fmt.Sprint("vm", i))}))
	}
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		k := keepers[random.IntN(len(keepers))]
		verdict := k.Admit(7, now).Verdict
		refused = verdict == Convicted
		if refused {
			continue
		}
		lost++
		k.Try(7, "q", now)
		k.Died(7, Death{Upstream: ident.Upstream(fmt.Sprint("u", lost)), BootID: "1"}, now)
		k.Tried(7, false, now)
		for _, to := range keepers {
			if shared {
				to.Merge(k.options.Self, k.Marks(now), now)
			}
		}
	}
	return lost, refused
}

var _ = Describe("Keeper", func() {
	It("agrees with a naive count over random sessions", func() {
		for seed := range uint64(30) {
			random := rand.New(rand.NewPCG(seed, 2))
			k := New(Options{Self: "vm", Expiry: time.Minute})
			n := &naive{map[Fingerprint][]Death{}, map[Fingerprint]time.Time{}}
			now := epoch
			for range 300 {
				now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
				fp := Fingerprint(random.IntN(6))
				d := Death{Upstream: ident.Upstream(fmt.Sprint(random.IntN(4))), BootID: fmt.Sprint(random.IntN(3))}
				switch random.IntN(3) {
				case 0:
					k.Died(fp, d, now)
					n.died(fp, d, now)
				case 1:
					if k.Try(fp, d.Upstream, now) {
						k.Tried(fp, true, now)
						n.cleared(fp)
					}
				}
				k.Tick(now)
				Expect(k.Admit(fp, now).Verdict).To(Equal(n.verdict(fp, now)), "seed %d", seed)
			}
		}
	})

	// A request that kills each upstream it runs on is sent through one daemon
	// after the other.
	It("costs a fleet two upstreams, and answers for good", func() {
		for seed := range uint64(50) {
			lost, refused := fleet(seed, true)
			Expect(lost).To(Equal(2))
			Expect(refused).To(BeTrue())
		}
	})

	It("red alive: daemons that don't share marks lose more", func() {
		lost, _ := fleet(1, false)
		Expect(lost).To(BeNumerically(">", 2))
	})

	It("merges to the same whatever the order and the number of times", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1", BootID: "x"}, epoch)
		a.Try(1, "u2", epoch)
		a.Tried(1, true, epoch)
		b.Died(1, Death{Upstream: "u1", BootID: "x"}, epoch)
		b.Died(1, Death{Upstream: "u3", BootID: "y"}, epoch)
		one, two := New(Options{Self: "c"}), New(Options{Self: "c"})
		one.Merge("a", a.Marks(epoch), epoch)
		one.Merge("b", b.Marks(epoch), epoch)
		two.Merge("b", b.Marks(epoch), epoch)
		two.Merge("a", a.Marks(epoch), epoch)
		two.Merge("b", b.Marks(epoch), epoch)
		Expect(one.Marks(epoch)).To(Equal(two.Marks(epoch)))
		Expect(one.Admit(1, epoch).Verdict).To(Equal(Suspect), "one death forgiven, one not")
	})

	// A daemon runs a suspect alone and dies, or is cut off: the others wait no
	// longer than TryFor.
	It("lets one daemon at a time try a suspect", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1"}, epoch)
		Expect(a.Try(1, "q", epoch)).To(BeTrue())
		b.Merge("a", a.Marks(epoch), epoch)
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Busy))
		Expect(b.Taken(epoch)).To(Equal([]ident.Upstream{"q"}))
		Expect(a.Taken(epoch)).To(BeEmpty())
		Expect(b.Try(1, "q", epoch)).To(BeFalse())
		Expect(b.Admit(1, epoch.Add(5*time.Second)).Verdict).To(Equal(Suspect))
		b.Forget("a")
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Suspect))
	})

	// Two daemons announce a suspect at one moment, before either heard of the other.
	// Both would wait for an idle upstream and then run it, at the cost of one each.
	It("leaves a suspect that two daemons announce at once to the lower name", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		for _, k := range []*Keeper{a, b} {
			k.Died(1, Death{Upstream: "u1"}, epoch)
		}
		Expect(a.Try(1, "q", epoch)).To(BeTrue())
		Expect(b.Try(1, "r", epoch)).To(BeTrue())
		ofA, ofB := a.Marks(epoch), b.Marks(epoch)
		a.Merge("b", ofB, epoch)
		b.Merge("a", ofA, epoch)
		Expect(b.Begin(1, "r", epoch)).To(BeFalse())
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Busy))
		Expect(a.Begin(1, "q", epoch)).To(BeTrue())
	})

	It("names the lowest of the others that try suspects on one upstream", func() {
		k := New(Options{Self: "b"})
		until := epoch.Add(time.Second)
		for fp, vm := range []ident.VM{"c", "a", "d"} {
			k.Merge(vm, []Mark{{Fingerprint: Fingerprint(fp + 1), Expires: until, Trying: vm, TryingOn: "q", TryingUntil: until}}, epoch)
		}
		Expect(k.Rival("q", epoch)).To(BeEquivalentTo("a"))
		Expect(k.Rival("r", epoch)).To(BeEmpty())
		Expect(k.Rival("q", until)).To(BeEmpty())
		k.Died(9, Death{Upstream: "u1"}, epoch)
		k.Try(9, "s", epoch)
		Expect(k.Rival("s", epoch)).To(BeEmpty(), "its own")
	})

	It("keeps a trial that has begun", func() {
		b := New(Options{Self: "b"})
		b.Died(1, Death{Upstream: "u1"}, epoch)
		Expect(b.Begin(1, "r", epoch)).To(BeTrue())
		b.Merge("a", []Mark{{Fingerprint: 1, Expires: epoch.Add(time.Minute), Trying: "a", TryingOn: "q", TryingUntil: epoch.Add(time.Second)}}, epoch)
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Suspect))
		Expect(b.Try(1, "r", epoch)).To(BeTrue())
	})

	// It died at token 40. Alone, it gets past that point and is cleared of it,
	// once; a resend from the start isn't past it at token 16.
	It("clears who got past the point of its death, once", func() {
		k := New(Options{Self: "a"})
		k.Died(1, Death{Upstream: "u1", Seen: true, Tokens: 40}, epoch)
		Expect(k.Passed(1, 99, epoch)).To(BeFalse(), "not alone")
		k.Try(1, "u2", epoch)
		Expect(k.Passed(1, Proven, epoch)).To(BeFalse())
		Expect(k.Passed(1, 40+Proven-1, epoch)).To(BeFalse())
		Expect(k.Passed(1, 40+Proven, epoch)).To(BeTrue())
		Expect(k.Admit(1, epoch).Verdict).To(Equal(Clean))
		k.Died(1, Death{Upstream: "u2", Seen: true, Tokens: 90}, epoch)
		k.Try(1, "u3", epoch)
		Expect(k.Passed(1, 500, epoch)).To(BeFalse(), "alone to its end now")
		k.Died(1, Death{Upstream: "u3", Seen: true, Tokens: 500}, epoch)
		Expect(k.Admit(1, epoch).Verdict).To(Equal(Convicted))
	})

	// Two copies run on one engine, one far ahead, which kills it there. The other one's
	// daemon tries it from where that was, gets 16 tokens on, and all believe it cleared:
	// it kills again at the first one's point, and a third time alone.
	It("clears nobody who didn't get past the furthest copy", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		b.Died(1, Death{Upstream: "u1", Seen: true, Tokens: 450}, epoch)
		a.Died(1, Death{Upstream: "u1", Seen: true, Tokens: 500}, epoch)
		Expect(b.Merge("a", a.Marks(epoch), epoch)).To(Equal([]Fingerprint{1}))
		b.Try(1, "u2", epoch)
		Expect(b.Passed(1, 450+Proven, epoch)).To(BeFalse())
		Expect(b.Passed(1, 500+Proven, epoch)).To(BeTrue())
	})

	It("doesn't clear by a point that it doesn't know", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1", Seen: true, Tokens: 40}, epoch)
		b.Merge("a", a.Marks(epoch), epoch)
		b.Try(1, "u2", epoch)
		Expect(b.Passed(1, 500, epoch)).To(BeFalse())
		Expect(b.Unrelated(1, Death{Upstream: "u2", Seen: true, Tokens: 500}, epoch)).To(BeFalse())
	})

	It("stays bounded and forgets the least first", func() {
		k := New(Options{Self: "a", MaxMarks: 3})
		k.Died(9, Death{Upstream: "u1"}, epoch)
		k.Died(9, Death{Upstream: "u2"}, epoch)
		for fp := range Fingerprint(8) {
			k.Died(fp, Death{Upstream: "u1"}, epoch.Add(time.Duration(fp)))
		}
		Expect(k.Marks(epoch)).To(HaveLen(3))
		Expect(k.Admit(9, epoch).Verdict).To(Equal(Convicted))
	})

	It("acts as in the golden session", func() {
		var out strings.Builder
		random := rand.New(rand.NewPCG(3, 3))
		k := New(Options{Self: "vm1"})
		now := epoch
		for range 60 {
			now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			fp := Fingerprint(random.IntN(4))
			up := ident.Upstream(fmt.Sprint("u", random.IntN(3)))
			switch random.IntN(4) {
			case 0:
				fmt.Fprintf(&out, "died %d on %s: %v\n", fp, up, k.Died(fp, Death{Upstream: up, BootID: "b"}, now))
			case 1:
				fmt.Fprintf(&out, "try %d on %s: %v\n", fp, up, k.Try(fp, up, now))
			case 2:
				k.Tried(fp, random.IntN(2) == 0, now)
			case 3:
				k.Merge("vm2", []Mark{{Fingerprint: fp, Expires: now.Add(time.Minute), Trying: "vm2", TryingOn: up, TryingUntil: now.Add(time.Second)}}, now)
			}
			d := k.Admit(fp, now)
			fmt.Fprintf(&out, "%v: %d is %v, retry after %v\n", now.Sub(epoch), fp, d.Verdict, d.RetryAfter)
		}
		golden.Expect("session.golden", out.String())
	})
})
