package timeline_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// wall is a clock that the test moves.
type wall struct {
	mu sync.Mutex
	t  time.Time
}

func (w *wall) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.t
}

func (w *wall) move(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t = w.t.Add(d)
}

var _ = Describe("the clock", func() {
	It("only rises, whatever the wall clock and the peers do", func() {
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := &wall{t: time.Unix(10_000, 0)}
			clock := timeline.NewClock(w.now)
			last := clock.Now()
			for range 200 {
				w.move(time.Duration(r.IntN(2000)-800) * time.Millisecond)
				if r.IntN(3) == 0 {
					theirs := timeline.StampOf(w.now().Add(time.Duration(r.IntN(20_000)) * time.Millisecond))
					clock.Merge(theirs)
					Expect(clock.Now()).To(BeNumerically(">", theirs))
				}
				next := clock.Now()
				Expect(next).To(BeNumerically(">", last))
				last = next
			}
		}
	})

	// One VM's date is years ahead. Its peers must not take that date on.
	It("doesn't follow a clock far ahead", func() {
		w := &wall{t: time.Unix(10_000, 0)}
		clock := timeline.NewClock(w.now)
		clock.Merge(timeline.StampOf(w.now().Add(24 * time.Hour)))
		Expect(clock.Now().Time()).To(BeTemporally("~", w.now(), time.Second))
	})
})

var _ = Describe("the recorder", func() {
	// A request enters at one VM whose clock is behind and runs at another: the
	// merged time line still shows the entry first, since a digest lay between.
	It("merges two VMs' events in the order of what caused what", func() {
		behind, ahead := &wall{t: time.Unix(10_000, 0)}, &wall{t: time.Unix(10_005, 0)}
		a := timeline.NewWithClock("a", 0, timeline.NewClock(ahead.now))
		b := timeline.NewWithClock("b", 0, timeline.NewClock(behind.now))
		a.Record("entered", "r1", "team", "", "")
		b.Clock().Merge(a.Clock().Now())
		b.Record("dispatched", "r1", "team", "up", "")
		merged := timeline.Merge([][]timeline.Event{b.Query(timeline.Filter{}), a.Query(timeline.Filter{})})
		Expect([]string{merged[0].Kind, merged[1].Kind}).To(Equal([]string{"entered", "dispatched"}))
	})

	It("finds by request, job, team, sample, time and limit", func() {
		w := &wall{t: time.Unix(10_000, 0)}
		r := timeline.NewWithClock("a", 0, timeline.NewClock(w.now))
		r.Record("x", "r1", "t1", "u", "")
		r.Add(timeline.Event{Kind: "y", Team: "t1", Job: "j", Sample: "3/1"})
		r.Add(timeline.Event{Kind: "z", Team: "t2", Job: "j", Sample: "3/2"})
		kinds := func(f timeline.Filter) string {
			out := ""
			for _, e := range r.Query(f) {
				out += e.Kind
			}
			return out
		}
		Expect(kinds(timeline.Filter{})).To(Equal("xyz"))
		Expect(kinds(timeline.Filter{Request: "r1"})).To(Equal("x"))
		Expect(kinds(timeline.Filter{Team: "t1"})).To(Equal("xy"))
		Expect(kinds(timeline.Filter{Job: "j", Limit: 1})).To(Equal("z"))
		Expect(kinds(timeline.Filter{Sample: "3/1"})).To(Equal("y"))
		Expect(kinds(timeline.Filter{Since: r.Query(timeline.Filter{})[0].HLC})).To(Equal("yz"))
	})

	It("holds no more than its capacity, newest last, under concurrent writers", func() {
		r := timeline.New("a", 160)
		var writers sync.WaitGroup
		for w := range 8 {
			writers.Go(func() {
				for i := range 500 {
					r.Add(timeline.Event{Kind: "k", Sample: fmt.Sprintf("%d/%d", w, i)})
				}
			})
		}
		writers.Wait()
		events := r.Query(timeline.Filter{Limit: 10_000})
		Expect(events).To(HaveLen(160))
		Expect(slices.IsSortedFunc(events, func(a, b timeline.Event) int { return int(int64(a.HLC) - int64(b.HLC)) })).To(BeTrue())
	})

	It("cuts details at a character and reads its own JSON", func() {
		r := timeline.New("a", 0)
		r.Add(timeline.Event{Kind: "k", Step: 2, Detail: strings.Repeat("é", 500)})
		e := r.Query(timeline.Filter{})[0]
		Expect(len(e.Detail)).To(BeNumerically("<=", 203))
		Expect(utf8.ValidString(e.Detail)).To(BeTrue())
		data, err := json.Marshal(e)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"time":"`))
		var back timeline.Event
		Expect(json.Unmarshal(data, &back)).To(Succeed())
		Expect(back).To(Equal(e))
	})
})
