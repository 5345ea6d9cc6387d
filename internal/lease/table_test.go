package lease

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

const engine ident.Upstream = "engine-1"

var start = time.Unix(1000, 0)

func testOptions(vm string) Options {
	return Options{Self: ident.VM(vm), Nonce: "nonce-" + vm, Duration: 9 * time.Second,
		OrderStartTimeout: 2 * time.Second, TransitMargin: time.Second}
}

func ownedEngine() []Candidate { return []Candidate{{engine, true}} }

// appendClaim plans a claim of the engine in a table and applies it at an offset to the
// readers.
func appendClaim(t *Table, off ident.Offset, now time.Time, readers ...*Table) {
	GinkgoHelper()
	records := t.Plan(ownedEngine(), now)
	Expect(records).To(HaveLen(1))
	for _, r := range readers {
		r.Apply(off, records[0], now)
	}
}

var _ = Describe("Table", func() {
	var a, b *Table
	BeforeEach(func() { a, b = NewTable(testOptions("a")), NewTable(testOptions("b")) })

	// Guards against an engine that goes back to old weights. Holder a freezes, b takes the
	// lease over and switches the engine, then a continues and sends a pending order. The
	// engine checks fencing tokens and has seen that of b.
	It("gives the new holder of an engine that checks fencing tokens a higher token at once", func() {
		appendClaim(a, 5, start, a, b)
		appendClaim(b, 9, start.Add(time.Second), b)
		fresh := b.Permit(engine, true, start.Add(time.Second))
		woken := a.Permit(engine, true, start.Add(time.Minute)) // hasn't read b's claim yet
		Expect(fresh.OK()).To(BeTrue())
		Expect(fresh.Fence).To(BeNumerically(">", woken.Fence), "the engine rejects the lower one")
	})

	// The same with an engine that ignores fencing tokens: a must stop by its own clock, and b
	// must wait until the engine has begun or dropped every order of a.
	It("makes the new holder of an engine that ignores fencing tokens wait, and the old one stop", func() {
		appendClaim(a, 5, start, a, b)
		taken := start.Add(time.Second)
		appendClaim(b, 9, taken, b)
		quiet := start.Add(9*time.Second + 2*time.Second + time.Second)
		Expect(b.Permit(engine, false, taken)).To(Equal(Permit{Refusal: Waiting, RetryAt: quiet}))
		Expect(a.Permit(engine, false, start.Add(9*time.Second-1)).OK()).To(BeTrue())
		Expect(a.Permit(engine, false, start.Add(9*time.Second)).Refusal).To(Equal(Lapsed))
		appendClaim(b, 10, taken.Add(4*time.Second), b)
		appendClaim(b, 11, taken.Add(8*time.Second), b)
		Expect(b.Permit(engine, false, quiet).OK()).To(BeTrue())
	})

	It("keeps permitting orders while the log is down only to an engine that checks fencing tokens", func() {
		appendClaim(a, 5, start, a)
		later := start.Add(time.Hour)
		Expect(a.Permit(engine, true, later)).To(Equal(Permit{Fence: 5}))
		Expect(a.Permit(engine, false, later).Refusal).To(Equal(Lapsed))
	})

	It("ignores a renewal that arrives after another daemon took the lease over", func() {
		appendClaim(a, 1, start, a, b)
		renewal := a.Plan(ownedEngine(), start.Add(4*time.Second))[0]
		appendClaim(b, 2, start.Add(4*time.Second), a, b)
		b.Apply(3, renewal, start.Add(5*time.Second))
		Expect(b.Held()).To(ConsistOf(engine))
		Expect(a.Plan(ownedEngine(), start.Add(9*time.Second))).To(BeEmpty(), "it has just lost the lease")
	})

	It("shortens the wait after a release, but not the wait for an earlier holder", func() {
		c := NewTable(testOptions("c"))
		appendClaim(a, 1, start, a, b, c)
		appendClaim(b, 2, start.Add(time.Second), b, c)
		release, held := b.Release(start.Add(time.Second))
		Expect(held).To(BeTrue())
		Expect(b.Permit(engine, true, start.Add(time.Second)).Refusal).To(Equal(NotHolder))
		c.Apply(3, release, start.Add(time.Second))
		appendClaim(c, 4, start.Add(time.Second), c)
		Expect(c.Permit(engine, false, start.Add(time.Second)).RetryAt).To(Equal(start.Add(12 * time.Second)))
	})

	It("lets a daemon that isn't the owner claim only after the lease has expired", func() {
		appendClaim(a, 1, start, a, b)
		notOwned := []Candidate{{engine, false}}
		Expect(b.Plan(notOwned, start.Add(18*time.Second-1))).To(BeEmpty())
		Expect(b.Plan(notOwned, start.Add(27*time.Second))).To(HaveLen(1))
	})

	It("agrees with a replay of the whole log on the holder", func() {
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var log []Record
			for off := ident.Offset(1); off <= 100; off++ {
				r := randomRecord(rng)
				log = append(log, r)
				a.Apply(off, r, start)
				holder, fence := referenceHolder(log)
				vm, got, ok := a.Holder(engine)
				Expect(ok).To(Equal(holder != ""))
				if ok {
					Expect(vm).To(Equal(holder))
					Expect(got).To(Equal(fence))
				}
			}
			a = NewTable(testOptions("a"))
		}
	})

	It("reproduces a recorded session exactly", func() {
		rng := rand.New(rand.NewPCG(3, 3))
		var out strings.Builder
		for off := ident.Offset(1); off <= 60; off++ {
			now := start.Add(time.Duration(off) * time.Second)
			r := randomRecord(rng)
			if rng.IntN(12) == 0 {
				a.Apply(off, r, now)
				fmt.Fprintf(&out, "%d read %s renew=%t release=%t\n", off, r.Holder, r.Renew, r.Release)
			}
			own := a.Plan(ownedEngine(), now)
			p := a.Permit(engine, off%2 == 0, now)
			fmt.Fprintf(&out, "%d plan %d permit: %s fence %d\n", off, len(own), p.Refusal, p.Fence)
			for _, o := range own {
				a.Apply(off, o, now)
			}
		}
		golden.Expect("session.golden", out.String())
	})
})

func randomRecord(rng *rand.Rand) Record {
	vm := []string{"b", "c", "d"}[rng.IntN(3)]
	return Record{Holder: ident.VM(vm), Nonce: "nonce-" + vm, Duration: 9 * time.Second, Upstreams: []ident.Upstream{engine},
		Renew: rng.IntN(3) == 0, Release: rng.IntN(5) == 0}
}

// referenceHolder computes the holder and the fencing token from the whole log.
func referenceHolder(log []Record) (holder ident.VM, fence ident.Offset) {
	seen := false
	for i, r := range log {
		switch {
		case r.Release && r.Holder == holder:
			holder = ""
		case r.Release, r.Renew && seen && r.Holder != holder:
		default:
			holder, fence, seen = r.Holder, ident.Offset(i+1), true
		}
	}
	return holder, fence
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"holder":"a","nonce":"n","seq":1,"duration_ns":9,"upstreams":["e"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(r); err != nil {
			t.Fatalf("decoded record doesn't encode again: %v", err)
		}
	})
}
