package claims

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

// naiveFold keeps every record and works a key's state out from scratch.
type naiveFold struct {
	offsets []ident.Offset
	records []Record
}

func (n *naiveFold) apply(off ident.Offset, records []Record) {
	for _, r := range records {
		n.offsets = append(n.offsets, off)
		n.records = append(n.records, r)
	}
}

// status replays all that is kept. A release acts on claims before it, also when
// the claim itself is past the retention.
func (n *naiveFold) status(scope, key string, first ident.Offset) Status {
	var line []Record
	for i, r := range n.records {
		if r.Scope != scope || r.Key != key {
			continue
		}
		held := slices.IndexFunc(line, func(c Record) bool { return c.Nonce == r.Nonce })
		switch {
		case r.Kind == KindDone && n.offsets[i] >= first:
			return Status{Finished, r.Nonce, r.VM, r.BodyHash, r.Answer}
		case r.Kind == KindClaim && held < 0 && n.offsets[i] >= first:
			line = append(line, r)
		case r.Kind == KindRelease && held >= 0:
			line = slices.Delete(line, held, held+1)
		}
	}
	if len(line) == 0 {
		return Status{}
	}
	return Status{Held, line[0].Nonce, line[0].VM, line[0].BodyHash, nil}
}

func randomRecord(rng *rand.Rand, off ident.Offset) Record {
	kinds := []Kind{KindClaim, KindClaim, KindClaim, KindRelease, KindRelease, KindDone}
	r := Record{
		Kind: kinds[rng.IntN(len(kinds))], Scope: "t/r", Key: fmt.Sprint("k", rng.IntN(6)),
		Nonce: fmt.Sprint("n", max(0, int(off)-rng.IntN(12))), VM: "vm-1", BodyHash: uint64(rng.IntN(3)),
	}
	if r.Kind == KindDone && rng.IntN(2) == 0 {
		r.Answer = &Answer{Status: 200, Body: []byte("ok")}
	}
	return r
}

var _ = Describe("Fold", func() {
	It("agrees with a naive replay over random sessions with trimming", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			fold, naive, first := NewFold(1<<20), &naiveFold{}, ident.Offset(1)
			for off := ident.Offset(1); off <= 150; off++ {
				batch := []Record{randomRecord(rng, off), randomRecord(rng, off)}
				// A nonce belongs to one key; a naive copy after a trim would count again in both.
				for i := range batch {
					batch[i].Nonce += batch[i].Key
				}
				if rng.IntN(10) == 0 {
					first = max(first, off-ident.Offset(rng.IntN(40)))
					fold.Trim(first)
				}
				naive.apply(off, batch)
				fold.Apply(off, batch)
				for k := range 6 {
					key := fmt.Sprint("k", k)
					Expect(fold.Status("t/r", key)).To(Equal(naive.status("t/r", key, first)), "seed %d offset %d %s", seed, off, key)
				}
			}
		}
	})

	// A user books once and sees two bookings. Claim O is about to leave the log's
	// retention when M is appended behind it. One daemon reads M while O stands and sees
	// M lose; the slow writer of M reads it after O has gone, sees it win and runs it.
	// The first daemon must not find the key free when O goes there too.
	It("keeps a later claim in line while an expiring one goes", func() {
		early, late := NewFold(1), NewFold(1)
		o := []Record{{Kind: KindClaim, Scope: "s", Key: "k", Nonce: "O"}}
		m := []Record{{Kind: KindClaim, Scope: "s", Key: "k", Nonce: "M"}}
		early.Apply(1, o)
		Expect(early.Apply(2, m)[0].Won).To(BeFalse())
		late.Trim(2)
		Expect(late.Apply(2, m)[0].Won).To(BeTrue())
		early.Trim(2)
		Expect(early.Status("s", "k").Nonce).To(Equal("M"))
	})

	It("drops old answers beyond its bound and never the fact that the key is done", func() {
		fold := NewFold(10)
		for i := range 5 {
			fold.Apply(ident.Offset(i+1), []Record{{Kind: KindDone, Scope: "s", Key: fmt.Sprint(i), Nonce: "n",
				Answer: &Answer{Status: 200, Body: []byte("12345")}}})
		}
		Expect(fold.Status("s", "0")).To(HaveField("State", Finished))
		Expect(fold.Status("s", "0").Answer).To(BeNil())
		Expect(fold.Status("s", "4").Answer).NotTo(BeNil())
		Expect(fold.answerBytes).To(BeNumerically("<=", 10))
	})

	It("keeps memory bound to keys when claims are released again and again", func() {
		fold := NewFold(1)
		for i := range ident.Offset(50_000) {
			n := fmt.Sprint(i)
			fold.Apply(i+1, []Record{{Kind: KindClaim, Scope: "s", Key: n, Nonce: n}, {Kind: KindRelease, Scope: "s", Key: n, Nonce: n}})
		}
		Expect(fold.Len()).To(BeZero())
		Expect(len(fold.marks)).To(BeNumerically("<=", minCompact))
	})

	It("replays a recorded session to the byte", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		fold := NewFold(1 << 20)
		var out strings.Builder
		for off := ident.Offset(1); off <= 60; off++ {
			r := randomRecord(rng, off)
			verdicts := fold.Apply(off, []Record{r})
			s := fold.Status(r.Scope, r.Key)
			fmt.Fprintf(&out, "%d %s %s %s -> state %d nonce %s", off, r.Kind, r.Key, r.Nonce, s.State, s.Nonce)
			for _, v := range verdicts {
				fmt.Fprintf(&out, " won=%t", v.Won)
			}
			out.WriteByte('\n')
			if off%20 == 0 {
				fold.Trim(off - 10)
			}
		}
		golden.Expect("session.golden", out.String())
	})
})
