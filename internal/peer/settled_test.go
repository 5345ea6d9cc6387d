package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// Three daemons start at once and are ready at once. A trainer submits a step
// through one and, 100 ms later, pulls through another. Neither has heard of its
// peers yet, so both own the job, and both make the step.
var _ = Describe("a daemon that just started", func() {
	began := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	entry := func(vm ident.VM, leaving bool) membership.ListEntry {
		return membership.ListEntry{Contact: membership.Contact{VM: vm}, Leaving: leaving}
	}
	peers := []membership.ListEntry{entry("a", false), entry("b", false), entry("c", true)}

	It("is settled once it has met every listed daemon that stays", func() {
		m := meeting{began: began}
		Expect(m.done("a", []ident.VM{"b"}, began)).To(BeFalse(), "the list isn't read yet")
		m.list("a", peers)
		Expect(m.done("a", nil, began.Add(time.Second))).To(BeFalse())
		Expect(m.done("a", []ident.VM{"b"}, began.Add(time.Second))).To(BeTrue())
		Expect(m.done("a", nil, began.Add(2*time.Second))).To(BeTrue(), "it stays settled when a peer goes")
	})

	It("waits no longer than 3 s for a dead peer or an unreadable list", func() {
		m := meeting{began: began}
		Expect(m.done("a", nil, began.Add(settleWithin-1))).To(BeFalse())
		Expect(m.done("a", nil, began.Add(settleWithin))).To(BeTrue())
	})

	It("is not settled by a list that lags and doesn't name it yet", func() {
		m := meeting{began: began}
		m.list("a", nil)
		Expect(m.done("a", nil, began)).To(BeFalse())
		m.list("a", peers[1:])
		Expect(m.done("a", []ident.VM{"b"}, began)).To(BeFalse())
		m.list("a", peers)
		Expect(m.done("a", []ident.VM{"b"}, began)).To(BeTrue())
	})

	It("is settled at once when nobody else is listed", func() {
		m := meeting{began: began}
		m.list("a", []membership.ListEntry{entry("a", false)})
		Expect(m.done("a", nil, began)).To(BeTrue())
	})
})
