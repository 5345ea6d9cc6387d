package capacity

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Fit", func() {
	It("finds a line without noise", func() {
		line := Fit([]float64{4, 8, 15, 30}, []float64{11, 19, 33, 63})
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Intercept).To(BeNumerically("~", 3, 1e-9))
		Expect(line.Residual).To(BeNumerically("~", 0, 1e-9))
	})

	It("has no steeper or flatter line that fits better", func() {
		r := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			var x, y []float64
			for range 5 {
				x, y = append(x, r.Float64()*100), append(y, r.Float64()*100)
			}
			best := Fit(x, y)
			for _, d := range []Line{{Slope: 0.01}, {Slope: -0.01}, {Intercept: 0.1}, {Intercept: -0.1}} {
				other := Line{Slope: best.Slope + d.Slope, Intercept: best.Intercept + d.Intercept}
				Expect(squares(other, x, y)).To(BeNumerically(">", squares(best, x, y)))
			}
		}
	})

	It("is flat through one size", func() {
		Expect(Fit([]float64{3, 3}, []float64{1, 2})).To(Equal(Line{Intercept: 1.5, Residual: 0.5}))
	})
})

func squares(l Line, x, y []float64) (sum float64) {
	for i := range x {
		sum += (y[i] - l.At(x[i])) * (y[i] - l.At(x[i]))
	}
	return sum
}

var _ = Describe("the table", func() {
	runOf := func(offset float64) []Sample {
		var list []Sample
		for _, n := range []float64{4, 8, 15, 30} {
			list = append(list, Sample{Series: "peers, idle", Size: n, Seconds: 10, CPU: (n/10 + offset) / 10})
		}
		return list
	}
	cpuRow := func(all ...[]Sample) Row {
		for _, r := range Rows(all) {
			if r.Name == cpuQuantity.Name {
				return r
			}
		}
		return Row{}
	}

	It("agrees within the instrument's step and not beyond", func() {
		Expect(cpuRow(runOf(0), runOf(0.09)).Agrees()).To(BeTrue())
		Expect(cpuRow(runOf(0), runOf(0.2)).Agrees()).To(BeFalse())
		Expect(Table(Rows([][]Sample{runOf(0), runOf(0.2)}), "m")).To(ContainSubstring("**no**"))
	})

	It("leaves out a series that has no line", func() {
		Expect(Rows([][]Sample{runOf(0)[:1]})).To(BeEmpty())
	})

	It("says which series only one run has", func() {
		Expect(Table(Rows([][]Sample{runOf(0), nil}), "m")).To(ContainSubstring("one run"))
	})

	It("goes between the page's markers", func() {
		begin, end := markers(PlaceTable)
		page := "a\n" + begin + "\nold\n" + end + "\nb\n"
		Expect(Insert(page, PlaceTable, "new\n")).To(Equal("a\n" + begin + "\nnew\n" + end + "\nb\n"))
		_, err := Insert(page, PlacePlanned, "new")
		Expect(err).To(MatchError(ErrMarkers))
	})
})

var _ = Describe("the instruments", func() {
	It("read processor time behind a name with blanks and brackets", func() {
		Expect(cpuOf("7 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0")).To(Equal(2.0))
		_, err := cpuOf("7 (a")
		Expect(err).To(MatchError(errStat))
	})

	It("book a connection's bytes by the kind of each request", func() {
		load, work := &Meter{}, &Meter{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := serveMetered(l, newUpstream(&Meter{}), func(r *http.Request) *Meter {
			if r.URL.Path == "/load" {
				return load
			}
			return work
		})
		DeferCleanup(server.Close)
		for _, path := range []string{"/load", "/booking", "/load"} {
			response, err := http.Get("http://" + l.Addr().String() + path)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(load.read().Exchanges).To(BeEquivalentTo(2))
		Expect(work.read().Exchanges).To(BeEquivalentTo(1))
		Expect(load.read().In).To(BeNumerically(">", 2*100))
		Expect(work.read().Out).To(BeNumerically(">", 50))
	})

	It("tell a fake engine its pause", func() {
		Expect(pauseIn(pausePrompt(50*time.Millisecond, 7))).To(Equal(50 * time.Millisecond))
		Expect(pauseIn("prompt 3 of step 2")).To(BeZero())
	})
})
