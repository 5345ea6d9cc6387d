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

// fakeClock is a wall clock that tests set.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (w *fakeClock) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.t
}

func (w *fakeClock) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t = w.t.Add(d)
}

var _ = Describe("the clock", func() {
	It("is strictly monotonic whatever the wall clock and the peers' stamps are", func() {
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 1))
			wall := &fakeClock{t: time.Unix(10_000, 0)}
			clock := timeline.NewClock(wall.now)
			last := clock.Now()
			for range 200 {
				wall.advance(time.Duration(r.IntN(2000)-800) * time.Millisecond)
				if r.IntN(3) == 0 {
					peerStamp := timeline.StampOf(wall.now().Add(time.Duration(r.IntN(20_000)) * time.Millisecond))
					clock.Merge(peerStamp)
					Expect(clock.Now()).To(BeNumerically(">", peerStamp))
				}
				next := clock.Now()
				Expect(next).To(BeNumerically(">", last))
				last = next
			}
		}
	})

	// The date of one VM is far ahead. The clocks of its peers must not be set to that date.
	It("ignores a stamp far ahead of the wall clock", func() {
		wall := &fakeClock{t: time.Unix(10_000, 0)}
		clock := timeline.NewClock(wall.now)
		clock.Merge(timeline.StampOf(wall.now().Add(24 * time.Hour)))
		Expect(clock.Now().Time()).To(BeTemporally("~", wall.now(), time.Second))
	})
})

var _ = Describe("the recorder", func() {
	// A request arrives at a VM and is dispatched at another one, whose wall clock is behind.
	// The merged timeline must show the arrival first, since a digest was sent in between.
	It("merges two VMs' events in causal order", func() {
		behind, ahead := &fakeClock{t: time.Unix(10_000, 0)}, &fakeClock{t: time.Unix(10_005, 0)}
		a := timeline.NewWithClock("a", 0, timeline.NewClock(ahead.now))
		b := timeline.NewWithClock("b", 0, timeline.NewClock(behind.now))
		a.Record("entered", "r1", "team", "", "")
		b.Clock().Merge(a.Clock().Now())
		b.Record("dispatched", "r1", "team", "up", "")
		merged := timeline.Merge([][]timeline.Event{b.Query(timeline.Filter{}), a.Query(timeline.Filter{})})
		Expect([]string{merged[0].Kind, merged[1].Kind}).To(Equal([]string{"entered", "dispatched"}))
	})

	It("filters by request, job, team, sample, stamp and limit", func() {
		wall := &fakeClock{t: time.Unix(10_000, 0)}
		r := timeline.NewWithClock("a", 0, timeline.NewClock(wall.now))
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

	It("keeps no more events than its capacity, in order, with concurrent writers", func() {
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

	It("truncates details at the end of a character and decodes its own JSON", func() {
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
