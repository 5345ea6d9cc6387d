package bench_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/bench"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// newRun returns a run of the crash scenario whose idle_median is idle, in ms.
func newRun(policy string, seed uint64, idle float64) bench.Run {
	return bench.Run{Scenario: "crash", Policy: policy, Seed: seed, Values: map[string]float64{"idle_median": idle}}
}

var _ = Describe("a report", func() {
	It("has the median, minimum and maximum of each policy and their ratio", func() {
		report, err := bench.Summarize([]bench.Run{
			newRun("naive", 1, 400), newRun("ours", 1, 90), newRun("naive", 2, 500), newRun("ours", 2, 200),
			newRun("naive", 3, 300), newRun("ours", 3, 100),
		})
		Expect(err).NotTo(HaveOccurred())
		row := report.Rows[0]
		Expect(row.Naive).To(Equal(bench.Stats{Median: 400, Min: 300, Max: 500, Runs: 3}))
		Expect(row.Ours).To(Equal(bench.Stats{Median: 100, Min: 90, Max: 200, Runs: 3}))
		Expect(*row.Ratio).To(BeNumerically("~", 0.25, 1e-9))
		var out bytes.Buffer
		Expect(report.Write(&out)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`crash +idle_median +ms +400 \(300\.\.500\) +100 \(90\.\.200\) +0\.25`))
	})

	It("lists the faults of the runs", func() {
		faulty := newRun("ours", 1, 90)
		faulty.Faults = []string{"group 3 came twice"}
		report, err := bench.Summarize([]bench.Run{faulty})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Faults).To(ConsistOf(ContainSubstring("group 3 came twice")))
	})
})

var _ = Describe("a deployment", func() {
	It("has unique process names and ports in each scenario, and no argument contains a space", func() {
		for _, s := range append(bench.Scenarios(), bench.QuickScenarios()...) {
			names, ports := map[string]bool{}, map[string]bool{}
			for _, p := range (bench.Deployment{Scenario: s, Policy: "ours", BasePort: 21000}).Processes() {
				Expect(names).NotTo(HaveKey(p.Name), s.Name)
				names[p.Name] = true
				for i, arg := range p.Args {
					Expect(arg).NotTo(ContainSubstring(" "))
					if strings.HasSuffix(p.Args[max(0, i-1)], "-address") || p.Args[max(0, i-1)] == "--listen" {
						Expect(ports).NotTo(HaveKey(arg), s.Name)
						ports[arg] = true
					}
				}
			}
			Expect(len(names)).To(BeNumerically("<=", 36), "a deployment must have a few dozen processes at most")
		}
	})
})
