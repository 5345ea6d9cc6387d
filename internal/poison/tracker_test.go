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

// referenceModel keeps every death that a daemon has seen and counts them again for each
// verdict. It doesn't know trials: its verdict is clean, suspect or convicted.
type referenceModel struct {
	deaths    map[Fingerprint][]Death // in the order in which they were seen
	lastDeath map[Fingerprint]time.Time
}

func (r *referenceModel) died(fp Fingerprint, d Death, now time.Time) {
	if now.Sub(r.lastDeath[fp]) >= time.Minute {
		r.deaths[fp] = nil
	}
	if slices.ContainsFunc(r.deaths[fp], func(o Death) bool { return o.Upstream == d.Upstream && o.BootID == d.BootID }) {
		return
	}
	r.deaths[fp] = append(r.deaths[fp], d)
	r.lastDeath[fp] = now
}

func (r *referenceModel) clear(fp Fingerprint) {
	if r.countedDeaths(fp) < 2 {
		for i := range r.deaths[fp] {
			r.deaths[fp][i].Cleared = true
		}
	}
}

func (r *referenceModel) countedDeaths(fp Fingerprint) int {
	count := 0
	for _, d := range r.deaths[fp] {
		if !d.Cleared {
			count++
		}
	}
	return count
}

func (r *referenceModel) verdict(fp Fingerprint, now time.Time) Verdict {
	if now.Sub(r.lastDeath[fp]) >= time.Minute {
		return Clean
	}
	return [...]Verdict{Clean, Suspect, Convicted}[min(2, r.countedDeaths(fp))]
}

// resendThroughFleet sends a request that always crashes its upstream 20 times, through
// random daemons. If marks are shared, they reach all daemons between two sends. It
// returns the number of upstreams lost and whether the last send was rejected.
func resendThroughFleet(seed uint64, shared bool) (upstreamsLost int, rejected bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	var daemons []*Tracker
	for i := range 5 {
		daemons = append(daemons, New(Options{Self: ident.VM(fmt.Sprint("vm", i))}))
	}
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		k := daemons[random.IntN(len(daemons))]
		verdict := k.Admit(7, now).Verdict
		rejected = verdict == Convicted
		if rejected {
			continue
		}
		upstreamsLost++
		k.ClaimTrial(7, "q", now)
		k.Died(7, Death{Upstream: ident.Upstream(fmt.Sprint("u", upstreamsLost)), BootID: "1"}, now)
		k.EndTrial(7, false, now)
		for _, to := range daemons {
			if shared {
				to.Merge(k.options.Self, k.Marks(now), now)
			}
		}
	}
	return upstreamsLost, rejected
}

var _ = Describe("Tracking of suspect requests", func() {
	It("gives the verdicts of a reference model in random sessions", func() {
		for seed := range uint64(30) {
			random := rand.New(rand.NewPCG(seed, 2))
			k := New(Options{Self: "vm", MarkTTL: time.Minute})
			reference := &referenceModel{map[Fingerprint][]Death{}, map[Fingerprint]time.Time{}}
			now := epoch
			for range 300 {
				now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
				fp := Fingerprint(random.IntN(6))
				d := Death{Upstream: ident.Upstream(fmt.Sprint(random.IntN(4))), BootID: fmt.Sprint(random.IntN(3))}
				switch random.IntN(3) {
				case 0:
					k.Died(fp, d, now)
					reference.died(fp, d, now)
				case 1:
					if k.ClaimTrial(fp, d.Upstream, now) {
						k.EndTrial(fp, true, now)
						reference.clear(fp)
					}
				}
				k.DropExpired(now)
				Expect(k.Admit(fp, now).Verdict).To(Equal(reference.verdict(fp, now)), "seed %d", seed)
			}
		}
	})

	// A request that crashes each upstream it runs on is sent through one daemon after
	// the other.
	It("loses two upstreams of a fleet to a request and then rejects it", func() {
		for seed := range uint64(50) {
			lost, rejected := resendThroughFleet(seed, true)
			Expect(lost).To(Equal(2))
			Expect(rejected).To(BeTrue())
		}
	})

	It("negative control: loses more upstreams if daemons don't share their marks", func() {
		lost, _ := resendThroughFleet(1, false)
		Expect(lost).To(BeNumerically(">", 2))
	})

	// Upstreams die in a burst under a sample of a training step, each while it runs alone. It must
	// not be rejected for good, however many there are.
	It("lets a durable request run alone again after each death and a pause", func() {
		k, now := New(Options{Self: "a"}), epoch
		for n := range 2 * maxDeathsPerMark {
			k.Died(1, Death{Upstream: "u", BootID: fmt.Sprint(n)}, now)
			k.SetDurable(1, now)
			if n > 0 {
				Expect(k.Admit(1, now)).To(Equal(Decision{Verdict: Convicted, RetryAfter: durableRetryPause}))
				Expect(k.ClaimTrial(1, "u", now)).To(BeFalse())
			}
			now = now.Add(durableRetryPause)
			Expect(k.Admit(1, now).Verdict).To(Equal(Suspect))
			Expect(k.StartTrial(1, "u", now)).To(BeTrue())
			k.EndTrial(1, false, now)
		}
		Expect(k.StartTrial(1, "u", now)).To(BeTrue())
		k.EndTrial(1, true, now)
		Expect(k.Admit(1, now).Verdict).To(Equal(Clean))
	})

	It("merges marks to the same result whatever their order and repetition", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1", BootID: "x"}, epoch)
		a.ClaimTrial(1, "u2", epoch)
		a.EndTrial(1, true, epoch)
		b.Died(1, Death{Upstream: "u1", BootID: "x"}, epoch)
		b.Died(1, Death{Upstream: "u3", BootID: "y"}, epoch)
		c1, c2 := New(Options{Self: "c"}), New(Options{Self: "c"})
		c1.Merge("a", a.Marks(epoch), epoch)
		c1.Merge("b", b.Marks(epoch), epoch)
		c2.Merge("b", b.Marks(epoch), epoch)
		c2.Merge("a", a.Marks(epoch), epoch)
		c2.Merge("b", b.Marks(epoch), epoch)
		Expect(c1.Marks(epoch)).To(Equal(c2.Marks(epoch)))
		Expect(c1.Admit(1, epoch).Verdict).To(Equal(Suspect), "one of two deaths counts")
	})

	// A daemon that has claimed a trial dies or loses its connections: the others wait
	// until its claim expires, and no longer.
	It("gives the trial of a suspect to one daemon at a time", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1"}, epoch)
		Expect(a.ClaimTrial(1, "q", epoch)).To(BeTrue())
		b.Merge("a", a.Marks(epoch), epoch)
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Busy))
		Expect(b.PeerTrialUpstreams(epoch)).To(Equal([]ident.Upstream{"q"}))
		Expect(a.PeerTrialUpstreams(epoch)).To(BeEmpty())
		Expect(b.ClaimTrial(1, "q", epoch)).To(BeFalse())
		Expect(b.Admit(1, epoch.Add(5*time.Second)).Verdict).To(Equal(Suspect))
		b.EndTrialsOf("a")
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Suspect))
	})

	// Two daemons claim the trial of a suspect at the same time, before either has heard
	// of the other. Both would wait for an idle upstream and then run the suspect, at the
	// cost of one upstream each.
	It("gives a trial that two daemons claim at once to the one with the lower name", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		for _, k := range []*Tracker{a, b} {
			k.Died(1, Death{Upstream: "u1"}, epoch)
		}
		Expect(a.ClaimTrial(1, "q", epoch)).To(BeTrue())
		Expect(b.ClaimTrial(1, "r", epoch)).To(BeTrue())
		marksOfA, marksOfB := a.Marks(epoch), b.Marks(epoch)
		a.Merge("b", marksOfB, epoch)
		b.Merge("a", marksOfA, epoch)
		Expect(b.StartTrial(1, "r", epoch)).To(BeFalse())
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Busy))
		Expect(a.StartTrial(1, "q", epoch)).To(BeTrue())
	})

	It("finds the lowest-named other daemon with a trial on an upstream", func() {
		k := New(Options{Self: "b"})
		until := epoch.Add(time.Second)
		for fp, vm := range []ident.VM{"c", "a", "d"} {
			k.Merge(vm, []Mark{{Fingerprint: Fingerprint(fp + 1), Expires: until, TrialVM: vm, TrialUpstream: "q", TrialExpires: until}}, epoch)
		}
		Expect(k.PeerTrialVM("q", epoch)).To(BeEquivalentTo("a"))
		Expect(k.PeerTrialVM("r", epoch)).To(BeEmpty())
		Expect(k.PeerTrialVM("q", until)).To(BeEmpty())
		k.Died(9, Death{Upstream: "u1"}, epoch)
		k.ClaimTrial(9, "s", epoch)
		Expect(k.PeerTrialVM("s", epoch)).To(BeEmpty(), "the trial is its own")
	})

	It("keeps a trial that runs when a daemon with a lower name claims it", func() {
		b := New(Options{Self: "b"})
		b.Died(1, Death{Upstream: "u1"}, epoch)
		Expect(b.StartTrial(1, "r", epoch)).To(BeTrue())
		b.Merge("a", []Mark{{Fingerprint: 1, Expires: epoch.Add(time.Minute), TrialVM: "a", TrialUpstream: "q", TrialExpires: epoch.Add(time.Second)}}, epoch)
		Expect(b.Admit(1, epoch).Verdict).To(Equal(Suspect))
		Expect(b.ClaimTrial(1, "r", epoch)).To(BeTrue())
	})

	// The upstream died when the request had 40 tokens. In a trial the request gets past
	// that position and is cleared, once. A resend that starts from nothing isn't past it
	// at token 16.
	It("clears a request past the position of its death, but only once", func() {
		k := New(Options{Self: "a"})
		k.Died(1, Death{Upstream: "u1", SeenLocally: true, Tokens: 40}, epoch)
		Expect(k.Progressed(1, 99, epoch)).To(BeFalse(), "not in a trial")
		k.ClaimTrial(1, "u2", epoch)
		Expect(k.Progressed(1, progressMargin, epoch)).To(BeFalse())
		Expect(k.Progressed(1, 40+progressMargin-1, epoch)).To(BeFalse())
		Expect(k.Progressed(1, 40+progressMargin, epoch)).To(BeTrue())
		Expect(k.Admit(1, epoch).Verdict).To(Equal(Clean))
		k.Died(1, Death{Upstream: "u2", SeenLocally: true, Tokens: 90}, epoch)
		k.ClaimTrial(1, "u3", epoch)
		Expect(k.Progressed(1, 500, epoch)).To(BeFalse(), "has to run its trial to the end now")
		k.Died(1, Death{Upstream: "u3", SeenLocally: true, Tokens: 500}, epoch)
		Expect(k.Admit(1, epoch).Verdict).To(Equal(Convicted))
	})

	// Two copies run on one engine. One is far ahead and crashes it. The daemon of the
	// other copy starts a trial from that copy's position. If 16 more tokens cleared the
	// request, it would crash an engine again at the position of the first copy, and a
	// third one in a trial.
	It("doesn't clear a request before the position of its furthest copy", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		b.Died(1, Death{Upstream: "u1", SeenLocally: true, Tokens: 450}, epoch)
		a.Died(1, Death{Upstream: "u1", SeenLocally: true, Tokens: 500}, epoch)
		Expect(b.Merge("a", a.Marks(epoch), epoch)).To(Equal([]Fingerprint{1}))
		b.ClaimTrial(1, "u2", epoch)
		Expect(b.Progressed(1, 450+progressMargin, epoch)).To(BeFalse())
		Expect(b.Progressed(1, 500+progressMargin, epoch)).To(BeTrue())
	})

	It("doesn't clear a request by a position that this daemon doesn't know", func() {
		a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
		a.Died(1, Death{Upstream: "u1", SeenLocally: true, Tokens: 40}, epoch)
		b.Merge("a", a.Marks(epoch), epoch)
		b.ClaimTrial(1, "u2", epoch)
		Expect(b.Progressed(1, 500, epoch)).To(BeFalse())
		Expect(b.IsUnrelatedDeath(1, Death{Upstream: "u2", SeenLocally: true, Tokens: 500}, epoch)).To(BeFalse())
	})

	It("bounds the number of marks and evicts the least important first", func() {
		k := New(Options{Self: "a", MaxMarks: 3})
		k.Died(9, Death{Upstream: "u1"}, epoch)
		k.Died(9, Death{Upstream: "u2"}, epoch)
		for fp := range Fingerprint(8) {
			k.Died(fp, Death{Upstream: "u1"}, epoch.Add(time.Duration(fp)))
		}
		Expect(k.Marks(epoch)).To(HaveLen(3))
		Expect(k.Admit(9, epoch).Verdict).To(Equal(Convicted))
	})

	It("decides as in the golden file", func() {
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
				fmt.Fprintf(&out, "try %d on %s: %v\n", fp, up, k.ClaimTrial(fp, up, now))
			case 2:
				k.EndTrial(fp, random.IntN(2) == 0, now)
			case 3:
				k.Merge("vm2", []Mark{{Fingerprint: fp, Expires: now.Add(time.Minute), TrialVM: "vm2", TrialUpstream: up, TrialExpires: now.Add(time.Second)}}, now)
			}
			d := k.Admit(fp, now)
			fmt.Fprintf(&out, "%v: %d is %v, retry after %v\n", now.Sub(epoch), fp, d.Verdict, d.RetryAfter)
		}
		golden.Expect("session.golden", out.String())
	})
})
