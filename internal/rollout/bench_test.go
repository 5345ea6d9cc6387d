package rollout

import (
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
)

// BenchmarkStep generates and delivers all samples of a step of the planned size,
// 16,384 samples in groups of 16, and reports the time per sample.
func BenchmarkStep(b *testing.B) {
	const groups, size = 1024, 16
	for b.Loop() {
		s, _ := New(testSpec(groups, size), Options{}, epoch)
		work := s.Handle(epoch, Tick{})
		segments := []Segment{{5, 0, 100}}
		for len(work) > 0 {
			a := work[len(work)-1]
			work = work[:len(work)-1]
			switch a := a.(type) {
			case Generate:
				work = append(work, s.Handle(epoch, Generated{a.ID, a.Attempt, "text", 100, segments})...)
			case Score:
				work = append(work, s.Handle(epoch, Scored{a.ID, a.Attempt, 1})...)
			}
		}
		have := roaring.New()
		for range groups / 16 {
			d := s.Handle(epoch, Pull{Have: have, TrainerVersion: 5, MaxGroups: 16})[0].(Deliver)
			for _, g := range d.Groups {
				have.Add(uint32(g.Number))
			}
		}
		if have.GetCardinality() != groups {
			b.Fatal("not all groups were delivered")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(groups*size), "ns/sample")
}
