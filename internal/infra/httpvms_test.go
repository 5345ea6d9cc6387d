package infra

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// story: The fleet grows to 12,000 VMs. Every daemon fetches the whole list every
// two seconds, a megabyte each, and the list's server and the network choke.
// Cause: the pace of the reads knew nothing of their size.
var _ = Describe("the pace of the list of VMs", func() {
	reads := func(ctx SpecContext, vms int) (count int, last []VMEntry) {
		raw, err := json.Marshal(listOf(vms))
		Expect(err).NotTo(HaveOccurred())
		l, err := NewHTTPVMLister(serve(func(w http.ResponseWriter, _ *http.Request) {
			count++
			_, _ = w.Write(raw)
		}), Options{})
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			last, err = l.List(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		return count, last
	}

	It("gives the list again instead of reading a long one anew", func(ctx SpecContext) {
		count, last := reads(ctx, 12_000)
		Expect(count).To(Equal(1))
		Expect(last).To(HaveLen(12_000))
	})

	It("asks again at once after a failure", func(ctx SpecContext) {
		count := 0
		l, err := NewHTTPVMLister(serve(func(w http.ResponseWriter, _ *http.Request) {
			count++
			w.WriteHeader(http.StatusServiceUnavailable)
		}), Options{})
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			_, err = l.List(ctx)
			Expect(err).To(MatchError(ErrUnavailable))
		}
		Expect(count).To(Equal(2))
	})
})

func listOf(n int) wire.VMList {
	var list wire.VMList
	for i := range n {
		list.VMs = append(list.VMs, wire.VMEntry{Name: fmt.Sprintf("vm-%d", i), Role: wire.VMRoleUpstream, DataCentre: "d"})
	}
	return list
}

func TestListPause(t *testing.T) {
	g := NewWithT(t)
	for range 100 {
		g.Expect(listPause(2000)).To(BeNumerically("~", time.Second, time.Second/4+1))
		g.Expect(listPause(3000)).To(BeNumerically("<", 2*time.Second), "today's fleet notices nothing")
		g.Expect(listPause(1_200_000)).To(BeNumerically("~", 10*time.Minute, 150*time.Second+1))
	}
}
