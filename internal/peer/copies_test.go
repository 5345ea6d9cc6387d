package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// ownedBy returns a copy whose place is decided by one of the daemons.
func ownedBy(d *daemon, owner ident.VM) poison.Copy {
	GinkgoHelper()
	for n := range 1000 {
		c := poison.Copy{Fingerprint: poison.Fingerprint(n + 1), Sender: poison.Sender{VM: d.options.Self, Sequence: 1}, Preferred: "e1"}
		if vm, _ := d.Owner(c.Fingerprint.String()); vm == owner {
			return c
		}
	}
	Fail("no request of " + string(owner))
	return poison.Copy{}
}

var _ = Describe("copies of a request at several daemons", func() {
	It("are placed by the one that owns the request", func() {
		a, _ := startDaemon("a", nil)
		b, _ := startDaemon("b", nil, a.Address())
		c, _ := startDaemon("c", nil, a.Address())
		for _, d := range []*daemon{a, b, c} {
			Eventually(d.live, generous, often).Should(HaveLen(2))
		}
		request := ownedBy(a, "b")
		for _, d := range []*daemon{a, c} {
			Eventually(func() error { _, err := d.PlaceCopy(context.Background(), ownedBy(a, "b")); return err }, generous, often).Should(Succeed())
		}
		b.copies.asked = 0
		for i, d := range []*daemon{a, b, c} {
			request.Sender.VM = d.options.Self
			request.Preferred = ident.Upstream([]string{"e1", "e2", "e3"}[i])
			at, err := d.PlaceCopy(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(at).To(BeEquivalentTo("e1"))
		}
		Expect(b.copies.asked).To(Equal(3))
		Expect(a.copies.asked + c.copies.asked).To(Equal(0))
	})

	// The VM of the daemon that places them freezes: connections stand and nothing comes
	// back. One request waits for the timeout, the others go on at once.
	It("don't wait for a frozen daemon", func() {
		var deaf atomic.Bool
		a, _ := startDaemon("a", func(o *Options) {
			o.SilentAfter = generous
			o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return &deafConn{conn, &deaf}, err
			}
		})
		b, _ := startDaemon("b", nil, a.Address())
		for _, d := range []*daemon{a, b} {
			Eventually(d.live, generous, often).Should(HaveLen(1))
		}
		request := ownedBy(a, "b")
		Expect(a.PlaceCopy(context.Background(), request)).To(BeEquivalentTo("e1"))
		deaf.Store(true)
		_, err := a.PlaceCopy(context.Background(), request)
		Expect(err).To(HaveOccurred())
		began := time.Now()
		_, err = a.PlaceCopy(context.Background(), request)
		Expect(err).To(MatchError(errSilentHome))
		Expect(time.Since(began)).To(BeNumerically("<", askTimeout))
		deaf.Store(false)
		Eventually(func() error { _, err := a.PlaceCopy(context.Background(), request); return err }, generous, often).Should(Succeed())
	})
})
