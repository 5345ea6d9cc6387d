package rollout

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

var _ = Describe("a complete session", func() {
	It("returns the recorded actions", func() {
		s := newStep(testSpec(3, 2), Options{MaxGenerating: 4})
		var log strings.Builder
		handle := func(ms int, e Event) {
			fmt.Fprintf(&log, "%d %T %s\n", ms, e, formatEvent(e))
			for _, a := range s.Handle(at(ms), e) {
				fmt.Fprintf(&log, "    %T %+v\n", a, a)
			}
		}
		complete := func(ms, group, index int, attempt uint32, segments ...Segment) {
			id := SampleID{group, index}
			handle(ms, Generated{id, attempt, "text", segments[len(segments)-1].To, segments})
			handle(ms+5, Scored{id, attempt, 0.5})
		}
		handle(0, Tick{})
		handle(10, Began{SampleID{2, 0}, 1, 5})
		complete(40, 2, 0, 1, Segment{5, 0, 20})
		handle(50, NewestVersion{6})
		complete(60, 2, 1, 1, Segment{5, 0, 5}, Segment{6, 5, 20}) // the engine switched versions in mid-stream
		handle(70, pullWith(6))                                    // cut off: the next cursor is still empty
		handle(80, GenerateFailed{SampleID{1, 0}, 1, Failure{Kind: NotRun}})
		complete(90, 1, 1, 1, Segment{6, 0, 10})
		handle(100, pullWith(6))
		handle(110, GenerateFailed{SampleID{0, 1}, 1, Failure{Kind: Poison, Reason: "crashed two upstreams"}})
		handle(200, Tick{})
		handle(210, pullWith(6, 2))
		complete(410, 1, 0, 2, Segment{6, 0, 10})
		handle(420, NewestVersion{9}) // every completion kept is too old
		handle(430, pullWith(9, 0, 2))
		complete(440, 1, 0, 3, Segment{9, 0, 10})
		complete(450, 1, 1, 2, Segment{9, 0, 10})
		handle(460, pullWith(9, 0, 2))
		handle(470, pullWith(9, 0, 1, 2))
		handle(480, Cancel{})
		golden.Expect("session.golden", log.String())
	})
})

// formatEvent formats an event. A pull's cursor is shown as group numbers.
func formatEvent(e Event) string {
	if p, ok := e.(Pull); ok {
		return fmt.Sprintf("{Have:%s TrainerVersion:%d}", p.Have, p.TrainerVersion)
	}
	return fmt.Sprintf("%+v", e)
}
