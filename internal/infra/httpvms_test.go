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

// The fleet grows to 12,000 VMs. If every daemon fetched the whole list every two seconds, a
// megabyte each time, the server of the list and the network would be overloaded. So the rate
// of reads must depend on the size of the list.
var _ = Describe("the rate of reads of the list of VMs", func() {
	listThreeTimes := func(ctx SpecContext, vms int) (count int, last []VMEntry) {
		body, err := json.Marshal(vmList(vms))
		Expect(err).NotTo(HaveOccurred())
		l, err := NewHTTPVMLister(startServer(func(w http.ResponseWriter, _ *http.Request) {
			count++
			_, _ = w.Write(body)
		}), Options{})
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			last, err = l.List(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		return count, last
	}

	It("returns a long list again without another read", func(ctx SpecContext) {
		count, last := listThreeTimes(ctx, 12_000)
		Expect(count).To(Equal(1))
		Expect(last).To(HaveLen(12_000))
	})

	It("allows another read at once after a failure", func(ctx SpecContext) {
		count := 0
		l, err := NewHTTPVMLister(startServer(func(w http.ResponseWriter, _ *http.Request) {
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

func vmList(n int) wire.VMList {
	var list wire.VMList
	for i := range n {
		list.VMs = append(list.VMs, wire.VMEntry{Name: fmt.Sprintf("vm-%d", i), Role: wire.VMRoleUpstream, DataCentre: "d"})
	}
	return list
}

func TestListInterval(t *testing.T) {
	g := NewWithT(t)
	for range 100 {
		g.Expect(listInterval(2000)).To(BeNumerically("~", time.Second, time.Second/4+1))
		g.Expect(listInterval(3000)).To(BeNumerically("<", 2*time.Second), "no more than the interval of callers for the current fleet")
		g.Expect(listInterval(1_200_000)).To(BeNumerically("~", 10*time.Minute, 150*time.Second+1))
	}
}
