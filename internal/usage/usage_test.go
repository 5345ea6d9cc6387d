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

// atSecond returns the time so many seconds after the start of window 100.
func atSecond(seconds float64) time.Time {
	return windows.End(99).Add(time.Duration(seconds * float64(time.Second)))
}

func TestWindows(t *testing.T) {
	g := NewWithT(t)
	g.Expect(windows.IndexAt(time.Unix(0, 0))).To(Equal(int64(0)))
	g.Expect(windows.IndexAt(time.Unix(4, 999_999_999))).To(Equal(int64(0)))
	g.Expect(windows.IndexAt(time.Unix(5, 0))).To(Equal(int64(1)))
	g.Expect(windows.IndexAt(time.Unix(-1, 0))).To(Equal(int64(-1)))
	g.Expect(windows.IndexAt(time.Unix(-5, 0))).To(Equal(int64(-1)))
	g.Expect(windows.End(7)).To(Equal(time.Unix(40, 0)))
}

func TestCounter(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(windows)
	g.Expect(c.Empty()).To(BeTrue())
	c.Add("a", atSecond(0))
	c.Add("a", atSecond(4.9))
	c.Add("b", atSecond(4.9))
	c.Add("a", atSecond(5))
	g.Expect(c.Take()).To(Equal([]WindowCounts{{100, map[string]int{"a": 2, "b": 1}}, {101, map[string]int{"a": 1}}}))
	g.Expect(c.Empty()).To(BeTrue())
	g.Expect(c.Take()).To(BeEmpty())
	c.Add("a", atSecond(0))
	c.Add("a", atSecond(5))
	g.Expect(c.DropBefore(101)).To(Equal(1))
	g.Expect(c.Take()).To(HaveLen(1))
}

// 690 daemons with 36 calls a second each must not use up the store's rate limit for appends,
// and a daemon with few calls must not lose their counts when it is killed: it appends the
// first count at once, and a busy one waits longer after each refused append.
func TestAppendPacer(t *testing.T) {
	g := NewWithT(t)
	var p AppendPacer
	g.Expect(p.NextStart()).To(BeZero(), "the first count is appended at once")
	p.RecordAppend(10*time.Second, true)
	g.Expect(p.NextStart()).To(Equal(10*time.Second + MinAppendInterval))
	for range 20 {
		p.RecordAppend(10*time.Second, false)
	}
	g.Expect(p.NextStart()).To(Equal(10*time.Second + MaxAppendInterval))
	for range 21 {
		p.RecordAppend(10*time.Second, true)
	}
	g.Expect(p.NextStart()).To(Equal(10*time.Second + MinAppendInterval))
}

func counted(writer string, sequence, window int64, customer string, n int) Record {
	return Record{Counted: &Counted{Writer: writer, Sequence: sequence, Windows: []WindowCounts{{window, map[string]int{customer: n}}}}}
}

func decided(window int64, counts map[string]int) Record {
	return Record{Decided: &Decided{Report: WindowCounts{window, counts}}}
}

// An append gets no answer, so the daemon appends the same counts again, and both copies are
// in the log. If both counted, the customer would be billed for requests that never ran.
func TestDuplicateRecordsCountOnce(t *testing.T) {
	g := NewWithT(t)
	state := NewState()
	state.Apply(counted("w", 1, 100, "a", 2))
	state.Apply(counted("w", 1, 100, "a", 2))
	state.Apply(counted("x", 1, 100, "a", 3))
	state.Apply(counted("w", 2, 100, "a", 1))
	state.Apply(counted("w", 1, 100, "a", 2))
	g.Expect(state.Counts(100)).To(Equal(map[string]int{"a": 6}))
}

// Two holders decide the same window concurrently, each with the counts that it has read.
// Reports of one window with different counts would be an accounting error, so the first
// decision in the log is valid for both.
func TestFirstDecisionWins(t *testing.T) {
	g := NewWithT(t)
	state := NewState()
	state.Apply(counted("w", 1, 100, "a", 2))
	state.Apply(decided(100, map[string]int{"a": 2}))
	state.Apply(counted("w", 2, 100, "a", 1))
	state.Apply(decided(100, map[string]int{"a": 3}))
	report, ok := state.Report(100)
	g.Expect(ok).To(BeTrue())
	g.Expect(report).To(Equal(map[string]int{"a": 2}))
	state.Apply(decided(101, nil))
	report, ok = state.Report(101)
	g.Expect(ok).To(BeTrue(), "a decision without counts is valid")
	g.Expect(report).To(BeEmpty())
}

func TestNextAction(t *testing.T) {
	good := Conditions{UpToDate: true, ContactDuration: time.Minute}
	withCounts := func(s *State) { s.Apply(counted("w", 1, 100, "a", 2)) }
	withDecision := func(s *State) { withCounts(s); s.Apply(decided(100, map[string]int{"a": 2})) }
	report := WindowCounts{100, map[string]int{"a": 2}}
	for _, c := range []struct {
		name    string
		prepare func(*State)
		second  float64 // since the window's start
		change  func(*Conditions)
		want    Action
	}{
		{"no records", func(*State) {}, 20, nil, Wait{}},
		{"the window hasn't ended", withCounts, 4.9, nil, Wait{}},
		{"counts may still be appended", withCounts, 7.9, nil, Wait{}},
		{"counts settled", withCounts, 8.1, nil, Decide{report}},
		{"decided", withDecision, 8.1, nil, Send{report}},
		{"decided early", withDecision, 5.1, nil, Send{report}},
		{"log not read to its end", withCounts, 8.1, func(c *Conditions) { c.UpToDate = false }, Wait{}},
		{"just after an outage of the store", withCounts, 9, func(c *Conditions) { c.ContactDuration = time.Second }, Wait{}},
		{"just after an outage of the store, no time left to wait", withCounts, 12.1, func(c *Conditions) { c.ContactDuration = time.Second }, Decide{report}},
		{"rank 1 leaves it to rank 0", withCounts, 11.2, func(c *Conditions) { c.Rank = 1 }, Wait{}},
		{"rank 0 is overdue", withCounts, 11.4, func(c *Conditions) { c.Rank = 1 }, Decide{report}},
		{"rank 1 is overdue too", withCounts, 11.7, func(c *Conditions) { c.Rank = 2 }, Decide{report}},
		{"late, but not too late", withCounts, 30, nil, Decide{report}},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := NewState()
			c.prepare(state)
			conditions := good
			conditions.Now = atSecond(c.second)
			if c.change != nil {
				c.change(&conditions)
			}
			NewWithT(t).Expect(state.NextAction(timing, conditions)).To(Equal(c.want))
		})
	}
}

// There are no calls in some windows, then there is one. The windows without calls are
// reported as empty, or the reader of the reports would wait for them forever.
func TestEmptyWindowsAreReported(t *testing.T) {
	g := NewWithT(t)
	state := NewState()
	state.StartAt(100)
	state.Apply(counted("w", 1, 103, "a", 1))
	var got []WindowCounts
	for range 20 {
		switch action := state.NextAction(timing, Conditions{Now: atSecond(24), UpToDate: true, ContactDuration: time.Minute}).(type) {
		case Decide:
			state.Apply(Record{Decided: &Decided{action.Report}})
		case Send:
			got = append(got, action.Report)
			state.Apply(Record{Sent: &Sent{action.Report.Window}})
		}
	}
	g.Expect(got).To(Equal([]WindowCounts{{100, map[string]int{}}, {101, map[string]int{}}, {102, map[string]int{}}, {103, map[string]int{"a": 1}}}))
}

// A VM's clock is wrong by days, so its counts are in a window of last week, or of next week.
// This must not cause reports of windows that are long past, of which there would be a
// hundred thousand.
func TestCountsOfADistantWindow(t *testing.T) {
	g := NewWithT(t)
	state := NewState()
	state.Apply(counted("w", 1, 100, "a", 1))
	state.Apply(counted("behind", 1, 100-120_000, "a", 1))
	state.Apply(counted("ahead", 1, 100+120_000, "a", 1))
	action := state.NextAction(timing, Conditions{Now: atSecond(8.1), UpToDate: true, ContactDuration: time.Minute})
	first, ok := action.(Decide)
	g.Expect(ok).To(BeTrue())
	g.Expect(first.Report.Window).To(BeNumerically(">=", 93), "windows that are too old aren't reported")
}

func TestDropBefore(t *testing.T) {
	g := NewWithT(t)
	state := NewState()
	state.Apply(counted("w", 1, 100, "a", 1))
	state.Apply(Record{Sent: &Sent{100}})
	last, ok := state.LastSent()
	g.Expect(ok).To(BeTrue())
	g.Expect(last).To(Equal(int64(100)))
	state.DropBefore(101)
	state.Apply(counted("w", 2, 100, "a", 1))
	g.Expect(state.Counts(100)).To(BeEmpty())
	g.Expect(state.NextAction(timing, Conditions{Now: atSecond(9), UpToDate: true, ContactDuration: time.Minute})).To(Equal(Wait{}))
	_, ok = state.LastSent()
	g.Expect(ok).To(BeFalse())
}

// reporter is a daemon with its own copy of the state.
type reporter struct {
	state *State
	read  int // number of log records applied
	rank  int
}

// Several daemons act at once, each on a state that lags behind the log by some records, and
// reports that get no answer are sent again. All reports of a window must have the same
// counts, those of the window's first decision in the log.
func TestReportsOfAWindowAreIdentical(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		var log []Record
		reporters := []*reporter{{NewState(), 0, 0}, {NewState(), 0, 0}, {NewState(), 0, 1}}
		sent := map[int64]string{}
		sequences := map[string]int64{}
		for now := 0.0; now < 40; now += 0.05 {
			if random.IntN(3) == 0 {
				w := fmt.Sprint("w", random.IntN(4))
				sequences[w]++
				r := counted(w, sequences[w], windows.IndexAt(atSecond(now-random.Float64())), fmt.Sprint("c", random.IntN(3)), 1)
				log = append(log, r)
				if random.IntN(4) == 0 {
					log = append(log, r) // a copy
				}
			}
			for _, p := range reporters {
				for p.read < len(log) && random.IntN(5) != 0 {
					p.state.Apply(log[p.read])
					p.read++
				}
				switch action := p.state.NextAction(timing, Conditions{Now: atSecond(now), UpToDate: random.IntN(3) != 0, ContactDuration: time.Minute, Rank: p.rank}).(type) {
				case Decide:
					log = append(log, Record{Decided: &Decided{action.Report}})
				case Send:
					text := fmt.Sprint(action.Report.Counts)
					if before, ok := sent[action.Report.Window]; ok {
						g.Expect(text).To(Equal(before), "window %d, seed %d", action.Report.Window, seed)
					}
					sent[action.Report.Window] = text
					if random.IntN(3) != 0 {
						log = append(log, Record{Sent: &Sent{action.Report.Window}})
					}
				}
			}
		}
		g.Expect(len(sent)).To(BeNumerically(">=", 6), "windows are reported, seed %d", seed)
		for k, text := range sent {
			if windows.End(k).After(atSecond(36)) || k < 100 {
				continue
			}
			g.Expect(text).To(Equal(fmt.Sprint(firstDecision(log, k))), "window %d, seed %d", k, seed)
		}
	}
}

// firstDecision returns the counts of the first decision of a window in the log.
func firstDecision(log []Record, k int64) map[string]int {
	for _, r := range log {
		if r.Decided != nil && r.Decided.Report.Window == k {
			return r.Decided.Report.Counts
		}
	}
	return nil
}
