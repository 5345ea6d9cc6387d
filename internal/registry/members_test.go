package registry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/spread"
)

// referenceSample computes Sample from scratch, by sorting all upstreams of the service.
func referenceSample(r *Registry, service string, n int) []Upstream {
	byAddress := map[string]Upstream{}
	for _, u := range r.All() {
		if old, known := byAddress[u.Address]; u.Service == service && !u.Leaving && (!known || u.Started >= old.Started) {
			byAddress[u.Address] = u
		}
	}
	var out []Upstream
	for _, u := range byAddress {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(spread.Hash(a.Address), spread.Hash(b.Address)) })
	return out[:min(n, len(out))]
}

// Guards against daemons that use different upstreams of a service, after upstreams came,
// left, restarted, or changed their service or address.
func TestSampleAgreesWithSortingAll(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 9))
		r := New()
		for step := range 200 {
			before, changes := r.Sample("s0", 5), r.MemberChanges("s0")
			u := Upstream{
				ID: fmt.Sprint("u", random.IntN(15)), Service: fmt.Sprint("s", random.IntN(2)), Address: fmt.Sprint("a", random.IntN(12)),
				Started: int64(1 + random.IntN(3)), Leaving: random.IntN(4) == 0, Models: map[string]int64{"m": int64(random.IntN(3))},
			}
			switch random.IntN(5) {
			case 0:
				r.Remove(u.ID, time.Duration(step))
			case 1:
				r.RecordLoad(u.ID, 0, "m", int64(step))
			default:
				r.Put(u)
			}
			for _, n := range []int{1, 5, 100} {
				g.Expect(r.Sample("s0", n)).To(HaveExactElements(referenceSample(r, "s0", n)), "seed %d, step %d", seed, step)
			}
			if r.MemberChanges("s0") == changes {
				g.Expect(len(r.Sample("s0", 5))).To(Equal(len(before)))
				for i, x := range r.Sample("s0", 5) {
					g.Expect(x.equalExceptModels(before[i])).To(BeTrue(), "seed %d, step %d", seed, step)
				}
			}
			all := slices.DeleteFunc(r.All(), func(x Upstream) bool { return x.Service != "s1" })
			g.Expect(r.ByService("s1")).To(HaveLen(len(all)))
		}
	}
}
