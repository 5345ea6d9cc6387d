package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// sentOrder is an order that an engine without a fencing check carried out.
type sentOrder struct {
	holder ident.VM
	fence  ident.Offset
	begun  time.Time
}

// node is a daemon in the model: its table, how far it has read, and its freeze.
type node struct {
	table  *Table
	vm     ident.VM
	read   int
	thaws  time.Time
	permit func(*Table, time.Time) Permit
}

// landing is an append on its way to the log.
type landing struct {
	record Record
	at     time.Time
}

// model runs three daemons that all think they own one engine, with appends that
// take up to 3 s or get lost, readers that lag, freezes of up to 30 s, and up to
// transit between a lease check and the order's arrival at the engine.
func model(seed uint64, transit time.Duration, permit func(*Table, time.Time) Permit) []sentOrder {
	rng := rand.New(rand.NewPCG(seed, 9))
	var nodes []*node
	for _, vm := range []string{"a", "b", "c"} {
		nodes = append(nodes, &node{table: NewTable(testOptions(vm)), vm: ident.VM(vm), permit: permit})
	}
	var log []Record
	var flying []landing
	var orders []sentOrder
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		flying = slices.DeleteFunc(flying, func(l landing) bool {
			if l.at.After(now) {
				return false
			}
			log = append(log, l.record)
			return true
		})
		for _, n := range nodes {
			if now.Before(n.thaws) {
				continue
			}
			// A frozen daemon wakes in the middle of anything: it may order before it reads on.
			orders = append(orders, n.order(rng, now, transit)...)
			n.readSome(rng, log, now)
			for _, r := range n.table.Plan(owned(), now) {
				if rng.IntN(5) > 0 {
					flying = append(flying, landing{r, now.Add(upTo(rng, 3*time.Second))})
				}
			}
			if rng.IntN(300) == 0 {
				n.thaws = now.Add(upTo(rng, 30*time.Second))
			}
		}
	}
	return orders
}

func (n *node) readSome(rng *rand.Rand, log []Record, now time.Time) {
	for n.read < len(log) && rng.IntN(3) > 0 {
		n.read++
		n.table.Read(ident.Offset(n.read), log[n.read-1], now)
	}
}

// order sends an order with a chance; it is begun up to its deadline after it arrived.
func (n *node) order(rng *rand.Rand, now time.Time, transit time.Duration) []sentOrder {
	if p := n.permit(n.table, now); p.OK() && rng.IntN(4) == 0 {
		arrival := now.Add(upTo(rng, transit+1))
		return []sentOrder{{n.vm, p.Fence, arrival.Add(upTo(rng, 2*time.Second+1))}}
	}
	return nil
}

// overtaken counts orders begun after another holder's order with a higher number.
func overtaken(orders []sentOrder) int {
	slices.SortStableFunc(orders, func(a, b sentOrder) int { return a.begun.Compare(b.begun) })
	count := 0
	highest := map[ident.VM]ident.Offset{}
	for _, o := range orders {
		for vm, fence := range highest {
			if vm != o.holder && fence > o.fence {
				count++
				break
			}
		}
		highest[o.holder] = max(highest[o.holder], o.fence)
	}
	return count
}

func total(transit time.Duration, permit func(*Table, time.Time) Permit) (bad, all, holders int) {
	for seed := range uint64(60) {
		orders := model(seed, transit, permit)
		bad += overtaken(orders)
		all += len(orders)
		for i := 1; i < len(orders); i++ {
			if orders[i].holder != orders[i-1].holder {
				holders++
			}
		}
	}
	return bad, all, holders
}

// An engine that ignores fencing numbers gets a switch to the old version after
// one to the new version, because a former holder's order was still on its way.
var _ = Describe("Window of engines that ignore fencing", func() {
	margin := testOptions("a").Margin
	ours := func(t *Table, now time.Time) Permit { return t.Permit(engine, false, now) }

	It("is closed as long as an order arrives within Margin of its check", func() {
		bad, all, changes := total(margin, ours)
		Expect(all).To(BeNumerically(">", 1000))
		Expect(changes).To(BeNumerically(">", 50), "the lease has to change hands for this to mean anything")
		Expect(bad).To(BeZero())
	})

	It("is found by the same check when the new holder doesn't wait", func() {
		bad, _, _ := total(margin, func(t *Table, now time.Time) Permit {
			p := t.Permit(engine, false, now)
			if p.Refusal == Waiting {
				return Permit{Fence: t.slots[engine].fence}
			}
			return p
		})
		Expect(bad).To(BeNumerically(">", 0))
	})

	It("is found by the same check when the old holder doesn't look at its clock", func() {
		bad, _, _ := total(margin, func(t *Table, now time.Time) Permit {
			p := t.Permit(engine, false, now)
			if p.Refusal == Lapsed {
				return Permit{Fence: t.slots[engine].fence}
			}
			return p
		})
		Expect(bad).To(BeNumerically(">", 0))
	})

	It("opens when a freeze between check and arrival outlasts Margin", func() {
		bad, _, _ := total(20*time.Second, ours)
		Expect(bad).To(BeNumerically(">", 0), "this is the window that is left, and package lease says so")
	})
})

func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
