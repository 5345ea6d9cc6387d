package batch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEstimatorFollowsObservations(t *testing.T) {
	for _, speed := range []float64{0.25, 1, 4} {
		g := NewWithT(t)
		e := NewEstimator()
		for range 200 {
			e.Observe(500, 10, time.Duration(speed*float64(400*time.Millisecond)))
		}
		g.Expect(e.Remaining(1000, 0).Seconds()).To(BeNumerically("~", speed*0.8, speed*0.1))
		g.Expect(e.Remaining(1000, 10).Seconds()).To(BeNumerically("~", speed*0.4, speed*0.1), "half of the sample has run")
		g.Expect(e.Remaining(500, 100).Seconds()).To(BeNumerically("~", speed*2, speed*0.3), "the sample has far exceeded its estimate")
	}
	g := NewWithT(t)
	e := NewEstimator()
	e.Observe(100, 0, time.Hour)
	g.Expect(e.Remaining(1000, 0)).To(BeNumerically("~", 800*time.Millisecond, time.Millisecond), "a run without events is ignored")
	g.Expect(e.Remaining(0, 0)).To(BeZero())
}

// workload generates the samples of a trainer that is behind and has two steps open at once,
// on engines with fewer slots than one step has samples. One sample in twelve is five times as
// long as the others, up to seven seconds; a step is due after seven and a half. Estimates are
// off by a factor of two either way.
type workload struct{ random *rand.Rand }

// samples returns the run times and estimates of the n samples of a step, in seconds and in
// order of arrival.
func (l workload) samples(n int) (runs, estimates []float64) {
	for range n {
		length := math.Exp(0.8 * l.random.NormFloat64())
		if l.random.Float64() < 1.0/12 {
			length *= 5
		}
		length = min(length, 7)
		runs = append(runs, length)
		estimates = append(estimates, length*math.Exp(0.5*l.random.NormFloat64()))
	}
	return runs, estimates
}

// totalDelay simulates two steps of 40 samples on 24 slots, where the second step arrives one
// second after the first. It returns the sum of the two steps' delays beyond their due times,
// in seconds. compare orders the waiting samples.
func totalDelay(seed uint64, compare func(a, b WaitingSample) int) float64 {
	l := workload{rand.New(rand.NewPCG(seed, 5))}
	const slots, size, due = 24, 40, 7.5
	var waiting []WaitingSample
	var runs []float64
	for step := range 2 {
		r, estimates := l.samples(size)
		for i := range r {
			waiting = append(waiting, WaitingSample{Batch: string(rune('a' + step)), Index: len(runs) + i, Remaining: seconds(estimates[i]), Due: seconds(float64(step) + due)})
		}
		runs = append(runs, r...)
	}
	free := make([]float64, slots) // when each slot becomes free
	ends := map[string]float64{}
	for len(waiting) > 0 {
		slot := slices.Index(free, slices.Min(free))
		now := free[slot]
		available := slices.Clone(waiting)
		if now < 1 {
			available = slices.DeleteFunc(available, func(w WaitingSample) bool { return w.Batch == "b" })
		}
		if len(available) == 0 {
			free[slot] = 1
			continue
		}
		next := slices.MinFunc(available, compare)
		waiting = slices.DeleteFunc(waiting, func(w WaitingSample) bool { return w.Index == next.Index })
		free[slot] = now + runs[next.Index]
		ends[next.Batch] = max(ends[next.Batch], free[slot])
	}
	return max(0, ends["a"]-due) + max(0, ends["b"]-1-due)
}

// A trainer that is behind submits its next step while samples of the step before still wait
// for slots. In the order of due times, the later step's long samples start only after all
// samples of the earlier step, seconds late, so the later step can't be complete in time. In
// the order of latest starts they start together with the long samples of the earlier step.
func TestLatestStartOrderOfTwoOpenSteps(t *testing.T) {
	g := NewWithT(t)
	byDue := func(a, b WaitingSample) int {
		if a.Due != b.Due {
			return int(a.Due - b.Due)
		}
		return int(b.Remaining - a.Remaining)
	}
	byLatestStart := func(a, b WaitingSample) int { return int(a.latestStart() - b.latestStart()) }
	dueDelay, latestStartDelay := 0.0, 0.0
	const seeds = 200
	for seed := range uint64(seeds) {
		dueDelay += totalDelay(seed, byDue) / seeds
		latestStartDelay += totalDelay(seed, byLatestStart) / seeds
	}
	t.Logf("total delay in seconds: by due time %.2f, by latest start %.2f", dueDelay, latestStartDelay)
	g.Expect(latestStartDelay).To(BeNumerically("<", 0.75*dueDelay))
}
