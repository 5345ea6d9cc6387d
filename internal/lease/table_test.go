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
		OrderDeadline: 2 * time.Second, Margin: time.Second}
}

func owned() []Want { return []Want{{engine, true}} }

// claim lets a table claim the engine and reads the record at an offset into all.
func claim(t *Table, off ident.Offset, now time.Time, readers ...*Table) {
	GinkgoHelper()
	records := t.Plan(owned(), now)
	Expect(records).To(HaveLen(1))
	for _, r := range readers {
		r.Read(off, records[0], now)
	}
}

var _ = Describe("Table", func() {
	var a, b *Table
	BeforeEach(func() { a, b = NewTable(testOptions("a")), NewTable(testOptions("b")) })

	// An operator sees an engine fall back to old weights. Holder a is frozen, b takes
	// the lease over and switches the engine, a wakes up and sends the order it had in
	// hand. The engine checks fencing numbers and has seen b's.
	It("gives a checking engine's new holder a higher number at once, which shuts the old one out", func() {
		claim(a, 5, start, a, b)
		claim(b, 9, start.Add(time.Second), b)
		fresh := b.Permit(engine, true, start.Add(time.Second))
		woken := a.Permit(engine, true, start.Add(time.Minute)) // hasn't read on yet
		Expect(fresh.OK()).To(BeTrue())
		Expect(fresh.Fence).To(BeNumerically(">", woken.Fence), "the engine refuses the lower one")
	})

	// The same with an engine that ignores the number: a's own clock must stop it, and b
	// must wait until whatever a sent has been begun or dropped.
	It("makes the new holder of an engine that ignores fencing wait, and the old one stop", func() {
		claim(a, 5, start, a, b)
		taken := start.Add(time.Second)
		claim(b, 9, taken, b)
		quiet := start.Add(9*time.Second + 2*time.Second + time.Second)
		Expect(b.Permit(engine, false, taken)).To(Equal(Permit{Refusal: Waiting, Until: quiet}))
		Expect(a.Permit(engine, false, start.Add(9*time.Second-1)).OK()).To(BeTrue())
		Expect(a.Permit(engine, false, start.Add(9*time.Second)).Refusal).To(Equal(Lapsed))
		claim(b, 10, taken.Add(4*time.Second), b)
		claim(b, 11, taken.Add(8*time.Second), b)
		Expect(b.Permit(engine, false, quiet).OK()).To(BeTrue())
	})

	It("goes on with a checking engine while the log is down, and stops with others", func() {
		claim(a, 5, start, a)
		later := start.Add(time.Hour)
		Expect(a.Permit(engine, true, later)).To(Equal(Permit{Fence: 5}))
		Expect(a.Permit(engine, false, later).Refusal).To(Equal(Lapsed))
	})

	It("doesn't give the lease back to a renewal that arrives after a take-over", func() {
		claim(a, 1, start, a, b)
		renewal := a.Plan(owned(), start.Add(4*time.Second))[0]
		claim(b, 2, start.Add(4*time.Second), a, b)
		b.Read(3, renewal, start.Add(5*time.Second))
		Expect(b.Held()).To(ConsistOf(engine))
		Expect(a.Plan(owned(), start.Add(9*time.Second))).To(BeEmpty(), "it was taken just now")
	})

	It("shortens the wait after a release, but not for a holder before that", func() {
		c := NewTable(testOptions("c"))
		claim(a, 1, start, a, b, c)
		claim(b, 2, start.Add(time.Second), b, c)
		release, held := b.Release(start.Add(time.Second))
		Expect(held).To(BeTrue())
		Expect(b.Permit(engine, true, start.Add(time.Second)).Refusal).To(Equal(NotHolder))
		c.Read(3, release, start.Add(time.Second))
		claim(c, 4, start.Add(time.Second), c)
		Expect(c.Permit(engine, false, start.Add(time.Second)).Until).To(Equal(start.Add(12 * time.Second)))
	})

	It("lets another daemon claim only once the lease has lapsed", func() {
		claim(a, 1, start, a, b)
		notMine := []Want{{engine, false}}
		Expect(b.Plan(notMine, start.Add(18*time.Second-1))).To(BeEmpty())
		Expect(b.Plan(notMine, start.Add(27*time.Second))).To(HaveLen(1))
	})

	It("agrees with a naive replay of the log on who holds", func() {
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var log []Record
			for off := ident.Offset(1); off <= 100; off++ {
				r := randomRecord(rng)
				log = append(log, r)
				a.Read(off, r, start)
				holder, fence := naiveHolder(log)
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

	It("replays a recorded session to the byte", func() {
		rng := rand.New(rand.NewPCG(3, 3))
		var out strings.Builder
		for off := ident.Offset(1); off <= 60; off++ {
			now := start.Add(time.Duration(off) * time.Second)
			r := randomRecord(rng)
			if rng.IntN(12) == 0 {
				a.Read(off, r, now)
				fmt.Fprintf(&out, "%d read %s renew=%t release=%t\n", off, r.Holder, r.Renew, r.Release)
			}
			own := a.Plan(owned(), now)
			p := a.Permit(engine, off%2 == 0, now)
			fmt.Fprintf(&out, "%d plan %d permit: %s fence %d\n", off, len(own), p.Refusal, p.Fence)
			for _, o := range own {
				a.Read(off, o, now)
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

// naiveHolder works the holder out from the whole log.
func naiveHolder(log []Record) (holder ident.VM, fence ident.Offset) {
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
			t.Fatalf("decoded, but doesn't encode: %v", err)
		}
	})
}
