package rollout

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

var _ = Describe("a whole session", func() {
	It("gives the same actions as recorded", func() {
		s := newStep(testSpec(3, 2), Options{Window: 4})
		var log strings.Builder
		play := func(ms int, e Event) {
			fmt.Fprintf(&log, "%d %T %s\n", ms, e, show(e))
			for _, a := range s.Step(at(ms), e) {
				fmt.Fprintf(&log, "    %T %+v\n", a, a)
			}
		}
		made := func(ms, group, index int, attempt uint32, segments ...Segment) {
			id := SampleID{group, index}
			play(ms, Generated{id, attempt, "text", segments[len(segments)-1].To, segments})
			play(ms+5, Scored{id, attempt, 0.5})
		}
		play(0, Tick{})
		play(10, Began{SampleID{2, 0}, 1, 5})
		made(40, 2, 0, 1, Segment{5, 0, 20})
		play(50, NewestVersion{6})
		made(60, 2, 1, 1, Segment{5, 0, 5}, Segment{6, 5, 20}) // a swap in mid-stream
		play(70, pullOf(6))                                    // cut: the next cursor is empty again
		play(80, GenerateFailed{SampleID{1, 0}, 1, Failure{Kind: NotRun}})
		made(90, 1, 1, 1, Segment{6, 0, 10})
		play(100, pullOf(6))
		play(110, GenerateFailed{SampleID{0, 1}, 1, Failure{Kind: Poison, Reason: "crashed two upstreams"}})
		play(200, Tick{})
		play(210, pullOf(6, 2))
		made(410, 1, 0, 2, Segment{6, 0, 10})
		play(420, NewestVersion{9}) // everything kept is too old
		play(430, pullOf(9, 0, 2))
		made(440, 1, 0, 3, Segment{9, 0, 10})
		made(450, 1, 1, 2, Segment{9, 0, 10})
		play(460, pullOf(9, 0, 2))
		play(470, pullOf(9, 0, 1, 2))
		play(480, Cancel{})
		golden.Expect("session.golden", log.String())
	})
})

// show prints an event, with a pull's cursor as its numbers.
func show(e Event) string {
	if p, ok := e.(Pull); ok {
		return fmt.Sprintf("{Have:%s TrainerVersion:%d}", p.Have, p.TrainerVersion)
	}
	return fmt.Sprintf("%+v", e)
}
