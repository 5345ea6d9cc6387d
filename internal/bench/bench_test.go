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

func run(policy string, seed uint64, idle float64) bench.Run {
	return bench.Run{Scenario: "crash", Policy: policy, Seed: seed, Values: map[string]float64{"idle_median": idle}}
}

var _ = Describe("the table", func() {
	It("gives medians, the least, the most and the ratio", func() {
		report, err := bench.Summarize([]bench.Run{
			run("naive", 1, 400), run("ours", 1, 90), run("naive", 2, 500), run("ours", 2, 200),
			run("naive", 3, 300), run("ours", 3, 100),
		})
		Expect(err).NotTo(HaveOccurred())
		row := report.Rows[0]
		Expect(row.Naive).To(Equal(bench.Spread{Median: 400, Min: 300, Max: 500, Runs: 3}))
		Expect(row.Ours).To(Equal(bench.Spread{Median: 100, Min: 90, Max: 200, Runs: 3}))
		Expect(*row.Ratio).To(BeNumerically("~", 0.25, 1e-9))
		var out bytes.Buffer
		Expect(report.Write(&out)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`crash +idle_median +ms +400 \(300\.\.500\) +100 \(90\.\.200\) +0\.25`))
	})

	It("shows what must not happen in any run", func() {
		bad := run("ours", 1, 90)
		bad.Faults = []string{"group 3 came twice"}
		report, err := bench.Summarize([]bench.Run{bad})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Faults).To(ConsistOf(ContainSubstring("group 3 came twice")))
	})
})

var _ = Describe("a world", func() {
	It("names every process once, in each scenario, and no argument holds a space", func() {
		for _, s := range append(bench.Scenarios(), bench.Quick()...) {
			names, ports := map[string]bool{}, map[string]bool{}
			for _, p := range (bench.World{Scenario: s, Policy: "ours", Base: 21000}).Processes() {
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
			Expect(len(names)).To(BeNumerically("<=", 36), "a few dozen processes at most")
		}
	})
})
