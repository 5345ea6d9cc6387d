package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	windows = Windows{Length: 5 * time.Second}
	timing  = Timing{Windows: windows, Due: 10 * time.Second}
)

// at is a moment so many seconds after the beginning of window 100.
func at(seconds float64) time.Time {
	return windows.End(99).Add(time.Duration(seconds * float64(time.Second)))
}

func TestWindows(t *testing.T) {
	g := NewWithT(t)
	g.Expect(windows.Of(time.Unix(0, 0))).To(Equal(int64(0)))
	g.Expect(windows.Of(time.Unix(4, 999_999_999))).To(Equal(int64(0)))
	g.Expect(windows.Of(time.Unix(5, 0))).To(Equal(int64(1)))
	g.Expect(windows.Of(time.Unix(-1, 0))).To(Equal(int64(-1)))
	g.Expect(windows.Of(time.Unix(-5, 0))).To(Equal(int64(-1)))
	g.Expect(windows.End(7)).To(Equal(time.Unix(40, 0)))
}

func TestCounter(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(windows)
	g.Expect(c.Empty()).To(BeTrue())
	c.Began("a", at(0))
	c.Began("a", at(4.9))
	c.Began("b", at(4.9))
	c.Began("a", at(5))
	g.Expect(c.Take()).To(Equal([]WindowCounts{{100, map[string]int{"a": 2, "b": 1}}, {101, map[string]int{"a": 1}}}))
	g.Expect(c.Empty()).To(BeTrue())
	g.Expect(c.Take()).To(BeEmpty())
	c.Began("a", at(0))
	c.Began("a", at(5))
	g.Expect(c.Forget(101)).To(Equal(1))
	g.Expect(c.Take()).To(HaveLen(1))
}

// The load that the pace is for: 690 daemons with 36 calls a second each must not take the
// store's whole rate, and a daemon with a call now and then must lose none of it when it is
// killed.
func TestPace(t *testing.T) {
	g := NewWithT(t)
	var p Pace
	g.Expect(p.Next()).To(BeZero(), "the first count is written at once")
	p.Appended(10*time.Second, true)
	g.Expect(p.Next()).To(Equal(10*time.Second + FirstGap))
	for range 20 {
		p.Appended(10*time.Second, false)
	}
	g.Expect(p.Next()).To(Equal(10*time.Second + MaxGap))
	for range 21 {
		p.Appended(10*time.Second, true)
	}
	g.Expect(p.Next()).To(Equal(10*time.Second + FirstGap))
}

func counted(writer string, number, window int64, customer string, n int) Record {
	return Record{Counted: &Counted{Writer: writer, Number: number, Windows: []WindowCounts{{window, map[string]int{customer: n}}}}}
}

func decided(window int64, counts map[string]int) Record {
	return Record{Decided: &Decided{Report: WindowCounts{window, counts}}}
}

// A daemon's append gets no answer, so it appends the same counts again, and both copies
// are in the log. Counted twice, a customer would be billed for requests that never were.
func TestCopiesCountOnce(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	f.Apply(counted("w", 1, 100, "a", 2))
	f.Apply(counted("w", 1, 100, "a", 2))
	f.Apply(counted("x", 1, 100, "a", 3))
	f.Apply(counted("w", 2, 100, "a", 1))
	f.Apply(counted("w", 1, 100, "a", 2))
	g.Expect(f.Counts(100)).To(Equal(map[string]int{"a": 6}))
}

// Two holders decide one window at once, each with the counts that it had read. The
// platform takes one report of a window; a second one with other counts would be an
// accounting error. The first record counts for both.
func TestFirstDecisionStands(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	f.Apply(counted("w", 1, 100, "a", 2))
	f.Apply(decided(100, map[string]int{"a": 2}))
	f.Apply(counted("w", 2, 100, "a", 1))
	f.Apply(decided(100, map[string]int{"a": 3}))
	report, ok := f.Report(100)
	g.Expect(ok).To(BeTrue())
	g.Expect(report).To(Equal(map[string]int{"a": 2}))
	f.Apply(decided(101, nil))
	report, ok = f.Report(101)
	g.Expect(ok).To(BeTrue(), "a window without counts is decided too")
	g.Expect(report).To(BeEmpty())
}

func TestNext(t *testing.T) {
	good := Situation{Current: true, InContact: time.Minute}
	open := func(f *Fold) { f.Apply(counted("w", 1, 100, "a", 2)) }
	decidedFold := func(f *Fold) { open(f); f.Apply(decided(100, map[string]int{"a": 2})) }
	report := WindowCounts{100, map[string]int{"a": 2}}
	for _, c := range []struct {
		name   string
		fold   func(*Fold)
		second float64 // since the window's beginning
		change func(*Situation)
		want   Step
	}{
		{"nothing known", func(*Fold) {}, 20, nil, Wait{}},
		{"the window runs", open, 4.9, nil, Wait{}},
		{"counts are on their way", open, 7.9, nil, Wait{}},
		{"settled", open, 8.1, nil, Decide{report}},
		{"decided", decidedFold, 8.1, nil, Send{report}},
		{"decided early", decidedFold, 5.1, nil, Send{report}},
		{"view not current", open, 8.1, func(s *Situation) { s.Current = false }, Wait{}},
		{"the store has just come back", open, 9, func(s *Situation) { s.InContact = time.Second }, Wait{}},
		{"the store has just come back, no more time", open, 12.1, func(s *Situation) { s.InContact = time.Second }, Decide{report}},
		{"another daemon's turn", open, 11.2, func(s *Situation) { s.Rank = 1 }, Wait{}},
		{"the holder is overdue", open, 11.4, func(s *Situation) { s.Rank = 1 }, Decide{report}},
		{"its stand-in is overdue too", open, 11.7, func(s *Situation) { s.Rank = 2 }, Decide{report}},
		{"late, but wanted", open, 30, nil, Decide{report}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFold()
			c.fold(f)
			s := good
			s.Now = at(c.second)
			if c.change != nil {
				c.change(&s)
			}
			NewWithT(t).Expect(f.Next(timing, s)).To(Equal(c.want))
		})
	}
}

// Nobody called for some windows, then somebody did. The silent ones are reported as empty:
// whoever adds reports up would wait for them for good.
func TestSilentWindowsAreReported(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	f.Begin(100)
	f.Apply(counted("w", 1, 103, "a", 1))
	var got []WindowCounts
	for range 20 {
		switch step := f.Next(timing, Situation{Now: at(24), Current: true, InContact: time.Minute}).(type) {
		case Decide:
			f.Apply(Record{Decided: &Decided{step.Report}})
		case Send:
			got = append(got, step.Report)
			f.Apply(Record{Sent: &Sent{step.Report.Window}})
		}
	}
	g.Expect(got).To(Equal([]WindowCounts{{100, map[string]int{}}, {101, map[string]int{}}, {102, map[string]int{}}, {103, map[string]int{"a": 1}}}))
}

// A VM's clock is off by days, and its counts name a window of last week. Neither a
// hundred thousand windows nor any that is long past may be reported for it.
func TestClockThatIsFarOff(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	f.Apply(counted("w", 1, 100, "a", 1))
	f.Apply(counted("off", 1, 100-120_000, "a", 1))
	f.Apply(counted("ahead", 1, 100+120_000, "a", 1))
	step := f.Next(timing, Situation{Now: at(8.1), Current: true, InContact: time.Minute})
	first, ok := step.(Decide)
	g.Expect(ok).To(BeTrue())
	g.Expect(first.Report.Window).To(BeNumerically(">=", 93), "not older than reports are sent")
}

func TestForget(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	f.Apply(counted("w", 1, 100, "a", 1))
	f.Apply(Record{Sent: &Sent{100}})
	last, ok := f.LastSent()
	g.Expect(ok).To(BeTrue())
	g.Expect(last).To(Equal(int64(100)))
	f.Forget(101)
	f.Apply(counted("w", 2, 100, "a", 1))
	g.Expect(f.Counts(100)).To(BeEmpty())
	g.Expect(f.Next(timing, Situation{Now: at(9), Current: true, InContact: time.Minute})).To(Equal(Wait{}))
	_, ok = f.LastSent()
	g.Expect(ok).To(BeFalse())
}

// reporter is a holder with its own view of the log.
type reporter struct {
	fold *Fold
	read int
	rank int
}

// Against all that may happen to holders: several act at once, each on a view that lags by
// some records, sends get no answer and are made again. Whatever is sent of one window has
// the same counts each time, and a window's counts are those that stood in the log before
// its decision: the naive sum over the log.
func TestReportsOfOneWindowAreAlike(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		var log []Record
		reporters := []*reporter{{NewFold(), 0, 0}, {NewFold(), 0, 0}, {NewFold(), 0, 1}}
		sent := map[int64]string{}
		numbers := map[string]int64{}
		for now := 0.0; now < 40; now += 0.05 {
			if random.IntN(3) == 0 {
				w := fmt.Sprint("w", random.IntN(4))
				numbers[w]++
				r := counted(w, numbers[w], windows.Of(at(now-random.Float64())), fmt.Sprint("c", random.IntN(3)), 1)
				log = append(log, r)
				if random.IntN(4) == 0 {
					log = append(log, r) // a second copy
				}
			}
			for _, p := range reporters {
				for p.read < len(log) && random.IntN(5) != 0 {
					p.fold.Apply(log[p.read])
					p.read++
				}
				switch step := p.fold.Next(timing, Situation{Now: at(now), Current: random.IntN(3) != 0, InContact: time.Minute, Rank: p.rank}).(type) {
				case Decide:
					log = append(log, Record{Decided: &Decided{step.Report}})
				case Send:
					text := fmt.Sprint(step.Report.Counts)
					if before, ok := sent[step.Report.Window]; ok {
						g.Expect(text).To(Equal(before), "window %d, seed %d", step.Report.Window, seed)
					}
					sent[step.Report.Window] = text
					if random.IntN(3) != 0 {
						log = append(log, Record{Sent: &Sent{step.Report.Window}})
					}
				}
			}
		}
		g.Expect(len(sent)).To(BeNumerically(">=", 6), "windows are reported, seed %d", seed)
		for k, text := range sent {
			if windows.End(k).After(at(36)) || k < 100 {
				continue
			}
			g.Expect(text).To(Equal(fmt.Sprint(naiveReport(log, k))), "window %d, seed %d", k, seed)
		}
	}
}

// naiveReport is the content of the first decision of a window.
func naiveReport(log []Record, k int64) map[string]int {
	for _, r := range log {
		if r.Decided != nil && r.Decided.Report.Window == k {
			return r.Decided.Report.Counts
		}
	}
	return nil
}
