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

// referenceTable keeps every record and computes a key's state from scratch.
type referenceTable struct {
	offsets []ident.Offset
	records []Record
}

func (n *referenceTable) apply(off ident.Offset, records []Record) {
	for _, r := range records {
		n.offsets = append(n.offsets, off)
		n.records = append(n.records, r)
	}
}

// status replays all records on a key. first is the first offset that the log keeps. A
// release also removes a claim that is itself past the retention.
func (n *referenceTable) status(scope, key string, first ident.Offset) Status {
	var queue []Record
	for i, r := range n.records {
		if r.Scope != scope || r.Key != key {
			continue
		}
		held := slices.IndexFunc(queue, func(c Record) bool { return c.Nonce == r.Nonce })
		switch {
		case r.Kind == KindDone && n.offsets[i] >= first:
			return Status{Finished, r.Nonce, r.VM, r.BodyHash, r.Answer}
		case r.Kind == KindClaim && held < 0 && n.offsets[i] >= first:
			queue = append(queue, r)
		case r.Kind == KindRelease && held >= 0:
			queue = slices.Delete(queue, held, held+1)
		}
	}
	if len(queue) == 0 {
		return Status{}
	}
	return Status{Held, queue[0].Nonce, queue[0].VM, queue[0].BodyHash, nil}
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

var _ = Describe("Table", func() {
	It("agrees with a replay of the whole log over random sessions with trimming", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			table, reference, first := NewTable(1<<20), &referenceTable{}, ident.Offset(1)
			for off := ident.Offset(1); off <= 150; off++ {
				batch := []Record{randomRecord(rng, off), randomRecord(rng, off)}
				// A nonce belongs to one key. A duplicate counts as a new claim, here and in the
				// reference, once its original is trimmed.
				for i := range batch {
					batch[i].Nonce += batch[i].Key
				}
				if rng.IntN(10) == 0 {
					first = max(first, off-ident.Offset(rng.IntN(40)))
					table.Trim(first)
				}
				reference.apply(off, batch)
				table.Apply(off, batch)
				for k := range 6 {
					key := fmt.Sprint("k", k)
					Expect(table.Status("t/r", key)).To(Equal(reference.status("t/r", key, first)), "seed %d offset %d %s", seed, off, key)
				}
			}
		}
	})

	// Guards against running a request twice. Claim O is about to expire when claim M is
	// appended. One daemon reads M before it drops O, and M loses. The slow writer of M reads
	// it after dropping O, and M wins. The first daemon must not find the key free once it
	// drops O too.
	It("keeps a claim that lost queued, so that it holds the key after the first one expires", func() {
		early, late := NewTable(1), NewTable(1)
		o := []Record{{Kind: KindClaim, Scope: "s", Key: "k", Nonce: "O"}}
		m := []Record{{Kind: KindClaim, Scope: "s", Key: "k", Nonce: "M"}}
		early.Apply(1, o)
		Expect(early.Apply(2, m)[0].Won).To(BeFalse())
		late.Trim(2)
		Expect(late.Apply(2, m)[0].Won).To(BeTrue())
		early.Trim(2)
		Expect(early.Status("s", "k").Nonce).To(Equal("M"))
	})

	It("drops the oldest answers above the limit, but keeps their keys done", func() {
		table := NewTable(10)
		for i := range 5 {
			table.Apply(ident.Offset(i+1), []Record{{Kind: KindDone, Scope: "s", Key: fmt.Sprint(i), Nonce: "n",
				Answer: &Answer{Status: 200, Body: []byte("12345")}}})
		}
		Expect(table.Status("s", "0")).To(HaveField("State", Finished))
		Expect(table.Status("s", "0").Answer).To(BeNil())
		Expect(table.Status("s", "4").Answer).NotTo(BeNil())
		Expect(table.answerBytes).To(BeNumerically("<=", 10))
	})

	It("keeps memory bounded when many claims are appended and released", func() {
		table := NewTable(1)
		for i := range ident.Offset(50_000) {
			n := fmt.Sprint(i)
			table.Apply(i+1, []Record{{Kind: KindClaim, Scope: "s", Key: n, Nonce: n}, {Kind: KindRelease, Scope: "s", Key: n, Nonce: n}})
		}
		Expect(table.Len()).To(BeZero())
		Expect(len(table.recordRefs)).To(BeNumerically("<=", minCompactRefs))
	})

	It("reproduces a recorded session exactly", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		table := NewTable(1 << 20)
		var out strings.Builder
		for off := ident.Offset(1); off <= 60; off++ {
			r := randomRecord(rng, off)
			verdicts := table.Apply(off, []Record{r})
			s := table.Status(r.Scope, r.Key)
			fmt.Fprintf(&out, "%d %s %s %s -> state %d nonce %s", off, r.Kind, r.Key, r.Nonce, s.State, s.Nonce)
			for _, v := range verdicts {
				fmt.Fprintf(&out, " won=%t", v.Won)
			}
			out.WriteByte('\n')
			if off%20 == 0 {
				table.Trim(off - 10)
			}
		}
		golden.Expect("session.golden", out.String())
	})
})
