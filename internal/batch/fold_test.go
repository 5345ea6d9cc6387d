package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

// naiveFold answers questions about a batch from the whole list of records each
// time, in the plainest way.
type naiveFold struct{ records []any }

func (n *naiveFold) accepted(id string) (items []Item, at int) {
	copies := map[string][]Item{}
	next := map[string]int{}
	for i, r := range n.records {
		a, ok := r.(Accepted)
		if !ok || a.Batch != id {
			continue
		}
		if a.Part == 0 {
			clear(copies) // a copy that begins before the other is whole replaces it
			clear(next)
			copies[a.Copy] = nil
			next[a.Copy] = 0
		}
		if want, begun := next[a.Copy]; !begun || want != a.Part {
			continue
		}
		copies[a.Copy] = append(copies[a.Copy], a.Items...)
		next[a.Copy]++
		if next[a.Copy] == a.Parts {
			return copies[a.Copy], i
		}
	}
	return nil, -1
}

// naiveSample is what the plainest reading of the records makes of a sample.
type naiveSample struct {
	Events int
	Writer string
	State  State
	Whole  bool
	Score  string
}

// sample tells a sample's kept text, state and score. A piece belongs to the text if the
// place that it names was reached by the pieces before it.
func (n *naiveFold) sample(id string, item int) (out naiveSample) {
	items, from := n.accepted(id)
	if from < 0 {
		return out
	}
	scored := items[item].Reward != ""
	type place struct {
		writer string
		events int
	}
	reached := []place{{"", 0}}
	take := func(l Link, s Segment) bool {
		to := place{l.Writer, l.From + s.Events}
		known := slices.Contains(reached, place{l.Writer, l.From}) || l.From == l.Base && slices.Contains(reached, place{l.After, l.Base})
		if !known || s.Events > 0 && slices.Contains(reached, to) {
			return false
		}
		reached = append(reached, to)
		return true
	}
	for _, r := range n.records[from+1:] {
		switch r := r.(type) {
		case Progress:
			if r.Batch != id || r.Item != item || out.Whole || !take(r.Link, r.Segment) {
				continue
			}
			if events := r.Link.From + r.Segment.Events; r.Whole || events > out.Events {
				out.Events, out.Writer = events, r.Link.Writer
			}
			out.Whole = r.Whole
		case Result:
			here := r.Link.From == out.Events && (r.Link.Writer == out.Writer || r.Link.After == out.Writer && r.Link.Base == r.Link.From)
			switch {
			case r.Batch != id || r.Item != item:
			case r.State == Dead:
				out.State = Dead
				return out
			case scored && out.Whole && r.Score != "" && here:
				out.State, out.Score = Completed, r.Score
				return out
			case !scored && out.Whole:
				out.State = Completed
				return out
			case !scored && take(r.Link, r.Segment):
				out.Events, out.Writer, out.State = r.Link.From+r.Segment.Events, r.Link.Writer, Completed
				return out
			}
		}
	}
	return out
}

// session makes a random session of copies, crashes and two owners.
func session(random *rand.Rand) []any {
	var out []any
	writers := []string{"a", "b"}
	kept := map[string]int{}
	for range 300 {
		id := fmt.Sprint("b", random.IntN(3))
		item := random.IntN(4)
		writer := writers[random.IntN(2)]
		link := Link{From: random.IntN(4), Writer: writer}
		switch random.IntN(3) {
		case 0:
			link.After, link.Base = writers[random.IntN(2)], link.From
		case 1:
			link.After, link.Base = "", random.IntN(2)
		}
		segment := Segment{At: int64(len(out)), Events: random.IntN(3), Versions: []VersionRun{{Version: 1, Events: 1}}}
		switch random.IntN(9) {
		case 0, 1:
			out = append(out, acceptance(random, id)...)
		case 2, 3, 4, 5:
			kept[id] += segment.Events
			out = append(out, Progress{Batch: id, Item: item, Link: link, Segment: segment, Whole: random.IntN(8) == 0})
		case 6:
			out = append(out, Result{Batch: id, Item: item, State: Completed, Link: link, Segment: segment, Score: []string{"", fmt.Sprint("score", len(out))}[random.IntN(2)]})
		case 7:
			out = append(out, Failed{Batch: id, Item: item, Attempt: fmt.Sprint(random.IntN(5))})
		case 8:
			if random.IntN(8) == 0 {
				out = append(out, Result{Batch: id, Item: item, State: Dead})
			}
		}
	}
	return out
}

// acceptance is the append of a batch in two parts, at times broken off as if its
// log had lost the rest.
func acceptance(random *rand.Rand, id string) []any {
	copyID := fmt.Sprint(random.IntN(1000))
	head := Head{Model: "m", MaxAttempts: 3}
	items := make([]Item, 4)
	for i := range items {
		items[i].ID = fmt.Sprint(id, "-", i)
		if i%2 == 1 {
			items[i].Reward = "reward of " + items[i].ID
		}
	}
	parts := []any{
		Accepted{Batch: id, Copy: copyID, Part: 0, Parts: 2, Head: &head, Items: items[:2]},
		Accepted{Batch: id, Copy: copyID, Part: 1, Parts: 2, Items: items[2:]},
	}
	return parts[:1+random.IntN(2)]
}

// Two daemons run one batch for a while, records come twice, appends stop half way:
// a trainer must find the same results wherever it asks, so the fold has to make of
// every session what the plainest reading of the rules makes of it.
func TestFoldAgainstNaive(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		naive := &naiveFold{}
		fold := NewFold()
		for _, r := range session(rand.New(rand.NewPCG(seed, 0))) {
			naive.records = append(naive.records, r)
			fold.Apply(r, 0)
		}
		for _, id := range []string{"b0", "b1", "b2"} {
			items, _ := naive.accepted(id)
			b := fold.Get(id)
			g.Expect(b != nil).To(Equal(items != nil), "seed %d batch %s", seed, id)
			for i := range items {
				want := naive.sample(id, i)
				s := b.Samples[i]
				got := naiveSample{s.Text.Events, s.Text.Writer, s.State, s.Whole, s.Score}
				g.Expect(got).To(Equal(want), "seed %d %s item %d", seed, id, i)
				g.Expect(slices.Contains(b.Listed, i)).To(Equal(want.State != Open))
			}
		}
	}
}

func accept(f *Fold, id string, h Head, ids ...string) *Batch {
	var items []Item
	for _, i := range ids {
		items = append(items, Item{ID: i})
	}
	for _, part := range Split(id, "c", h, items, 4096) {
		f.Apply(part, 0)
	}
	return f.Get(id)
}

func progress(batch string, item, from, events int, version int64) Progress {
	return Progress{Batch: batch, Item: item, Link: Link{From: from, Writer: "w"},
		Segment: Segment{At: int64(from), Events: events, Versions: []VersionRun{{Version: version, Events: events}}}}
}

// Samples left behind by one step come again in the next: text whose weights have
// become too old there would be a stale sample.
func TestReusedTextFitsTheLaterBatch(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	accept(f, "one", Head{Model: "m", MinVersion: 1}, "fresh", "old", "done")
	f.Apply(progress("one", 0, 0, 2, 2), 0)
	f.Apply(progress("one", 1, 0, 2, 1), 0)
	f.Apply(Result{Batch: "one", Item: 2, State: Completed, Link: Link{Writer: "w"}, Segment: Segment{At: 9, Events: 3, Versions: []VersionRun{{Version: 2, Events: 3}}}}, 0)
	b := accept(f, "two", Head{Model: "m", MinVersion: 2}, "fresh", "old", "done")
	g.Expect(b.Samples[0].Text.Events).To(Equal(2))
	g.Expect(b.Samples[1].Text.Events).To(BeZero())
	g.Expect(b.Samples[2].Whole).To(BeTrue())
	f.Apply(progress("one", 0, 2, 1, 2), 0)
	g.Expect(b.Samples[0].Text.Events).To(Equal(2), "the earlier batch's text grows on its own")
	other := accept(f, "three", Head{Model: "other"}, "fresh")
	g.Expect(other.Samples[0].Text.Events).To(BeZero())
}

// An engine fails a sample once, and the record of it stands twice in the log, since
// the first append's answer was lost. Counted twice, the sample would be given up early.
func TestFailureRecordCountsOnce(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	b := accept(f, "b", Head{MaxAttempts: 2}, "s")
	f.Apply(Failed{Batch: "b", Item: 0, Attempt: "x"}, 0)
	f.Apply(Failed{Batch: "b", Item: 0, Attempt: "x"}, 0)
	g.Expect(b.Samples[0].Failures).To(Equal(1))
	f.Apply(Failed{Batch: "b", Item: 0, Attempt: "y"}, 0)
	g.Expect(b.Samples[0].Failures).To(Equal(2))
}

func TestForgetKeepsOpenBatches(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	accept(f, "open", Head{}, "s1")
	accept(f, "over", Head{}, "s2")
	f.Apply(Ended{Batch: "over"}, 0)
	f.Forget(time.Second)
	g.Expect(f.Get("open")).NotTo(BeNil())
	g.Expect(f.Get("over")).To(BeNil())
	g.Expect(f.All()).To(HaveLen(1))
}

func TestRecordsKeepTheirContent(t *testing.T) {
	for _, r := range []any{
		Accepted{Batch: "b", Copy: "c", Parts: 1, Head: &Head{Host: "h", Model: "m", RequestCounts: []int{1}}, Items: []Item{{ID: "i", Group: "g", Expected: 3, Reward: "r"}}},
		progress("b", 1, 2, 3, 4),
		Result{Batch: "b", Item: 1, State: Completed, Link: Link{From: 1, Writer: "w", After: "v", Base: 1}, Segment: Segment{At: 2, Events: 1, Versions: []VersionRun{{1, 1}}}},
		Result{Batch: "b", Item: 1, State: Completed, Link: Link{From: 1, Writer: "w"}, Segment: Segment{At: -1}, Score: "s"},
		Failed{Batch: "b", Item: 2, Attempt: "a", Reward: true},
		Ended{Batch: "b"},
		Loaded{Engine: "e", Model: "m", Version: 3, Started: 7},
	} {
		g := NewWithT(t)
		data, err := Encode(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Decode(data)).To(Equal(r))
		_, err = Decode(data[:len(data)-1])
		g.Expect(err).To(MatchError(ErrMalformed))
	}
	g := NewWithT(t)
	_, err := Decode(nil)
	g.Expect(err).To(MatchError(ErrMalformed))
	_, err = Decode([]byte{99})
	g.Expect(err).To(MatchError(ErrMalformed))
	_, err = Encode("no record")
	g.Expect(err).To(HaveOccurred())
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(progress("b", 1, 2, 3, 4))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			return
		}
		fold := NewFold()
		accept(fold, "b", Head{}, "s")
		fold.Apply(record, 0) // any record that can be read can be applied
	})
}

func TestPackRequestsSplitsAndFindsThem(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	for n := range 20 {
		requests = append(requests, Request{Path: fmt.Sprint("/", n), Header: map[string]string{"a": "b"}, Body: make([]byte, 300)})
	}
	blobs, counts, err := PackRequests(requests, 2000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(blobs)).To(BeNumerically(">", 3))
	head := Head{RequestsAt: 7, RequestCounts: counts}
	for n := range requests {
		at, index := head.RequestBlob(n)
		got, err := UnpackRequests(blobs[at-7])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got[index].Path).To(Equal(fmt.Sprint("/", n)))
		g.Expect(len(blobs[at-7])).To(BeNumerically("<=", 2000))
	}
	_, _, err = PackRequests([]Request{{Body: make([]byte, 3000)}}, 2000)
	g.Expect(err).To(HaveOccurred())
}

func whole(batch string, item, events int, writer string) Progress {
	return Progress{Batch: batch, Item: item, Link: Link{Writer: writer}, Whole: true,
		Segment: Segment{Events: events, Versions: []VersionRun{{Version: 1, Events: events}}}}
}

// A trainer reads a completed sample and finds no score, or the score of a call that
// was made while its text was still being generated. Two owners generated two texts
// for a moment; the first one's reward call was answered before the second one's text,
// which the log kept, had ended. Only a score that names the kept text may count.
func TestScoreBelongsToTheKeptText(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	var items []Item
	for _, id := range []string{"s0", "s1"} {
		items = append(items, Item{ID: id, Reward: "reward of " + id})
	}
	for _, part := range Split("b", "c", Head{Model: "m"}, items, 4096) {
		f.Apply(part, 0)
	}
	s := &f.Get("b").Samples[0]
	link := Link{From: 3, Writer: "mine"}
	f.Apply(Result{Batch: "b", State: Completed, Link: link, Score: "early"}, 0)
	g.Expect(s.State).To(Equal(Open), "no text is kept yet")
	f.Apply(whole("b", 0, 3, "other"), 0)
	g.Expect(s.Stage()).To(Equal(Scoring))
	f.Apply(Result{Batch: "b", State: Completed, Link: link, Score: "of another text"}, 0)
	g.Expect(s.State).To(Equal(Open))
	f.Apply(Result{Batch: "b", State: Completed, Link: Link{From: 3, Writer: "other"}}, 0)
	g.Expect(s.State).To(Equal(Open), "a result without a score")
	f.Apply(Result{Batch: "b", State: Completed, Link: Link{From: 3, Writer: "next", After: "other", Base: 3}, Score: "right"}, 0)
	g.Expect(s.State).To(Equal(Completed))
	g.Expect(s.Score).To(Equal("right"))
}

// A sample that a step left behind comes again. Its whole text serves the later batch
// too; its score does only if that batch asks for the same reward call, since another
// call's signature would be wrong.
func TestScoreIsReusedWithItsCall(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	again := func(id, reward string) *Sample {
		for _, part := range Split(id, "c", Head{Model: "m"}, []Item{{ID: "s", Reward: reward}}, 4096) {
			f.Apply(part, 0)
		}
		return &f.Get(id).Samples[0]
	}
	again("b1", "r1")
	f.Apply(whole("b1", 0, 2, "w"), 0)
	g.Expect(again("b2", "r1").Stage()).To(Equal(Scoring), "the text is reused, it has no score yet")
	f.Apply(Result{Batch: "b2", State: Completed, Link: Link{From: 2, Writer: "v", Base: 2}, Score: "x"}, 0)
	g.Expect(f.Get("b2").Samples[0].State).To(Equal(Completed))
	third := again("b3", "r1")
	g.Expect(third.Stage()).To(Equal(Ready))
	g.Expect(third.Score).To(Equal("x"))
	g.Expect(again("b4", "r2").Stage()).To(Equal(Scoring))
	g.Expect(again("b5", "").Stage()).To(Equal(Ready))
}

// A daemon of the version before writes records without a word on rewards. They mean
// what they meant: samples that are listed with their last piece of text.
func TestRecordsWithoutRewardsDecode(t *testing.T) {
	g := NewWithT(t)
	type oldResult struct {
		Batch string `cbor:"1,keyasint"`
		Item  int    `cbor:"2,keyasint"`
		State State  `cbor:"3,keyasint"`
	}
	data, err := cbor.Marshal(oldResult{Batch: "b", State: Completed})
	g.Expect(err).NotTo(HaveOccurred())
	record, err := Decode(append([]byte{byte(kindResult)}, data...))
	g.Expect(err).NotTo(HaveOccurred())
	f := NewFold()
	b := accept(f, "b", Head{Model: "m"}, "s")
	f.Apply(record, 0)
	g.Expect(b.Samples[0].State).To(Equal(Completed))
}

// An owner stops while the store is away; its last text reaches the log just behind the
// first piece of the next owner, who began anew. Both texts are true, and the first one
// that is whole has to count: if the next owner's whole text counted for nothing since the
// log had the other's piece first, the sample would run a third time.
func TestFirstWholeTextCounts(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	b := accept(f, "b", Head{Model: "m"}, "s")
	s := &b.Samples[0]
	piece := func(writer string, from, events int) Progress {
		return Progress{Batch: "b", Link: Link{From: from, Writer: writer},
			Segment: Segment{At: int64(100*from + len(writer)), Events: events, Versions: []VersionRun{{Version: 1, Events: events}}}}
	}
	f.Apply(piece("next", 0, 3), 0)
	f.Apply(piece("last-owner", 0, 8), 0)
	g.Expect(s.Text.Writer).To(Equal("last-owner"), "an owner goes on behind the longer text")
	f.Apply(piece("next", 3, 4), 0)
	g.Expect(f.Apply(piece("next", 3, 4), 0)).To(BeNil(), "a second copy")
	g.Expect(s.Text.Events).To(Equal(8))
	f.Apply(Progress{Batch: "b", Link: Link{From: 8, Writer: "third", After: "last-owner", Base: 8}, Segment: Segment{At: 1, Events: 1}}, 0)
	g.Expect(s.Text.Events).To(Equal(9))
	f.Apply(Result{Batch: "b", State: Completed, Link: Link{From: 7, Writer: "next"}, Segment: Segment{At: 2, Events: 5}}, 0)
	g.Expect(s.State).To(Equal(Completed))
	g.Expect(s.Text.Events).To(Equal(12))
	g.Expect(s.Text.Segments).To(HaveLen(3))
	g.Expect([]int64{s.Text.Segments[0].At, s.Text.Segments[1].At, s.Text.Segments[2].At}).To(Equal([]int64{4, 304, 2}))
}

// Two customers name a sample alike. The text of the one's must not show up in the
// other's batch.
func TestTextIsNotReusedAcrossCustomers(t *testing.T) {
	for _, c := range []struct {
		customer string
		events   int
	}{{"a", 3}, {"b", 0}} {
		g := NewWithT(t)
		f := NewFold()
		accept := func(id, customer string) {
			f.Apply(Accepted{Batch: Key(customer, id), Parts: 1, Head: &Head{Model: "m", Customer: customer}, Items: []Item{{ID: "s"}}}, 0)
		}
		accept("first", "a")
		f.Apply(Progress{Batch: Key("a", "first"), Link: Link{Writer: "w"}, Segment: Segment{Events: 3}}, 0)
		accept("second", c.customer)
		g.Expect(f.Get(Key(c.customer, "second")).Samples[0].Text.Events).To(Equal(c.events), "customer %s", c.customer)
	}
}
