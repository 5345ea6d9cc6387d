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

// referenceFold computes the state of a batch from the list of all records each time, in the
// simplest way.
type referenceFold struct{ records []any }

// accepted returns the items of a batch and the index of the record that completed its
// acceptance, -1 if it isn't accepted.
func (n *referenceFold) accepted(id string) (items []Item, at int) {
	copies := map[string][]Item{}
	next := map[string]int{}
	for i, r := range n.records {
		a, ok := r.(Accepted)
		if !ok || a.Batch != id {
			continue
		}
		if a.Part == 0 {
			clear(copies) // a submission replaces an earlier one that isn't complete
			clear(next)
			copies[a.SubmissionID] = nil
			next[a.SubmissionID] = 0
		}
		if want, begun := next[a.SubmissionID]; !begun || want != a.Part {
			continue
		}
		copies[a.SubmissionID] = append(copies[a.SubmissionID], a.Items...)
		next[a.SubmissionID]++
		if next[a.SubmissionID] == a.Parts {
			return copies[a.SubmissionID], i
		}
	}
	return nil, -1
}

// referenceSample is the state of a sample.
type referenceSample struct {
	Events int
	Writer string
	State  State
	Whole  bool
	Score  string
}

// sample returns a sample's kept text, state and score. A segment counts if its position is the
// end of a segment before.
func (n *referenceFold) sample(id string, item int) (out referenceSample) {
	items, from := n.accepted(id)
	if from < 0 {
		return out
	}
	scored := items[item].RewardCallID != ""
	type textEnd struct {
		writer string
		events int
	}
	reached := []textEnd{{"", 0}}
	extend := func(l TextPosition, s Segment) bool {
		to := textEnd{l.Writer, l.Events + s.Events}
		known := slices.Contains(reached, textEnd{l.Writer, l.Events}) || l.Events == l.BaseEvents && slices.Contains(reached, textEnd{l.BaseWriter, l.BaseEvents})
		if !known || s.Events > 0 && slices.Contains(reached, to) {
			return false
		}
		reached = append(reached, to)
		return true
	}
	for _, r := range n.records[from+1:] {
		switch r := r.(type) {
		case Progress:
			if r.Batch != id || r.Item != item || out.Whole || !extend(r.Position, r.Segment) {
				continue
			}
			if events := r.Position.Events + r.Segment.Events; r.TextComplete || events > out.Events {
				out.Events, out.Writer = events, r.Position.Writer
			}
			out.Whole = r.TextComplete
		case Result:
			here := r.Position.Events == out.Events && (r.Position.Writer == out.Writer || r.Position.BaseWriter == out.Writer && r.Position.BaseEvents == r.Position.Events)
			switch {
			case r.Batch != id || r.Item != item:
			case r.State == GivenUp:
				out.State = GivenUp
				return out
			case scored && out.Whole && r.Score != "" && here:
				out.State, out.Score = Completed, r.Score
				return out
			case !scored && out.Whole:
				out.State = Completed
				return out
			case !scored && extend(r.Position, r.Segment):
				out.Events, out.Writer, out.State = r.Position.Events+r.Segment.Events, r.Position.Writer, Completed
				return out
			}
		}
	}
	return out
}

// randomRecords returns records of batches that are submitted more than once and partly lost,
// and whose samples are run by two owners.
func randomRecords(random *rand.Rand) []any {
	var out []any
	writers := []string{"a", "b"}
	kept := map[string]int{}
	for range 300 {
		id := fmt.Sprint("b", random.IntN(3))
		item := random.IntN(4)
		writer := writers[random.IntN(2)]
		link := TextPosition{Events: random.IntN(4), Writer: writer}
		switch random.IntN(3) {
		case 0:
			link.BaseWriter, link.BaseEvents = writers[random.IntN(2)], link.Events
		case 1:
			link.BaseWriter, link.BaseEvents = "", random.IntN(2)
		}
		segment := Segment{Offset: int64(len(out)), Events: random.IntN(3), Versions: []VersionRun{{Version: 1, Events: 1}}}
		switch random.IntN(9) {
		case 0, 1:
			out = append(out, randomAccepted(random, id)...)
		case 2, 3, 4, 5:
			kept[id] += segment.Events
			out = append(out, Progress{Batch: id, Item: item, Position: link, Segment: segment, TextComplete: random.IntN(8) == 0})
		case 6:
			out = append(out, Result{Batch: id, Item: item, State: Completed, Position: link, Segment: segment, Score: []string{"", fmt.Sprint("score", len(out))}[random.IntN(2)]})
		case 7:
			out = append(out, Failed{Batch: id, Item: item, AttemptID: fmt.Sprint(random.IntN(5))})
		case 8:
			if random.IntN(8) == 0 {
				out = append(out, Result{Batch: id, Item: item, State: GivenUp})
			}
		}
	}
	return out
}

// randomAccepted returns the acceptance of a batch in two parts. At random the second part is
// missing, as if the log had lost it.
func randomAccepted(random *rand.Rand, id string) []any {
	copyID := fmt.Sprint(random.IntN(1000))
	head := Header{Model: "m", MaxAttempts: 3}
	items := make([]Item, 4)
	for i := range items {
		items[i].ID = fmt.Sprint(id, "-", i)
		if i%2 == 1 {
			items[i].RewardCallID = "reward of " + items[i].ID
		}
	}
	parts := []any{
		Accepted{Batch: id, SubmissionID: copyID, Part: 0, Parts: 2, Header: &head, Items: items[:2]},
		Accepted{Batch: id, SubmissionID: copyID, Part: 1, Parts: 2, Items: items[2:]},
	}
	return parts[:1+random.IntN(2)]
}

// Two daemons run one batch for a while, records are duplicated and appends are incomplete. A
// trainer must get the same results from every daemon, so for any records Fold must have the
// state of the reference implementation.
func TestFoldAgainstReference(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		reference := &referenceFold{}
		fold := NewFold()
		for _, r := range randomRecords(rand.New(rand.NewPCG(seed, 0))) {
			reference.records = append(reference.records, r)
			fold.Apply(r, 0)
		}
		for _, id := range []string{"b0", "b1", "b2"} {
			items, _ := reference.accepted(id)
			b := fold.Get(id)
			g.Expect(b != nil).To(Equal(items != nil), "seed %d batch %s", seed, id)
			for i := range items {
				want := reference.sample(id, i)
				s := b.Samples[i]
				got := referenceSample{s.Text.Events, s.Text.Writer, s.State, s.TextComplete, s.Score}
				g.Expect(got).To(Equal(want), "seed %d %s item %d", seed, id, i)
				g.Expect(slices.Contains(b.Listed, i)).To(Equal(want.State != Open))
			}
		}
	}
}

func acceptBatch(f *Fold, id string, h Header, ids ...string) *Batch {
	var items []Item
	for _, i := range ids {
		items = append(items, Item{ID: i})
	}
	for _, part := range SplitAccepted(id, "c", h, items, 4096) {
		f.Apply(part, 0)
	}
	return f.Get(id)
}

func progress(batch string, item, from, events int, version int64) Progress {
	return Progress{Batch: batch, Item: item, Position: TextPosition{Events: from, Writer: "w"},
		Segment: Segment{Offset: int64(from), Events: events, Versions: []VersionRun{{Version: version, Events: events}}}}
}

// Samples that a step left unfinished are submitted again with the next step. Text by weights
// that are too old for the next step must not be reused, or the sample would be stale.
func TestReusedTextHasAllowedVersions(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	acceptBatch(f, "one", Header{Model: "m", MinVersion: 1}, "fresh", "old", "done")
	f.Apply(progress("one", 0, 0, 2, 2), 0)
	f.Apply(progress("one", 1, 0, 2, 1), 0)
	f.Apply(Result{Batch: "one", Item: 2, State: Completed, Position: TextPosition{Writer: "w"}, Segment: Segment{Offset: 9, Events: 3, Versions: []VersionRun{{Version: 2, Events: 3}}}}, 0)
	b := acceptBatch(f, "two", Header{Model: "m", MinVersion: 2}, "fresh", "old", "done")
	g.Expect(b.Samples[0].Text.Events).To(Equal(2))
	g.Expect(b.Samples[1].Text.Events).To(BeZero())
	g.Expect(b.Samples[2].TextComplete).To(BeTrue())
	f.Apply(progress("one", 0, 2, 1, 2), 0)
	g.Expect(b.Samples[0].Text.Events).To(Equal(2), "progress in the earlier batch doesn't change the later one")
	other := acceptBatch(f, "three", Header{Model: "other"}, "fresh")
	g.Expect(other.Samples[0].Text.Events).To(BeZero())
}

// A sample fails once on an engine, and the record of the failure is in the log twice, because
// the response to the first append was lost. If both counted, the sample would be given up too
// early.
func TestDuplicateFailureRecordCountsOnce(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	b := acceptBatch(f, "b", Header{MaxAttempts: 2}, "s")
	f.Apply(Failed{Batch: "b", Item: 0, AttemptID: "x"}, 0)
	f.Apply(Failed{Batch: "b", Item: 0, AttemptID: "x"}, 0)
	g.Expect(b.Samples[0].Failures).To(Equal(1))
	f.Apply(Failed{Batch: "b", Item: 0, AttemptID: "y"}, 0)
	g.Expect(b.Samples[0].Failures).To(Equal(2))
}

func TestForgetKeepsOpenBatches(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	acceptBatch(f, "open", Header{}, "s1")
	acceptBatch(f, "over", Header{}, "s2")
	f.Apply(Ended{Batch: "over"}, 0)
	f.Forget(time.Second)
	g.Expect(f.Get("open")).NotTo(BeNil())
	g.Expect(f.Get("over")).To(BeNil())
	g.Expect(f.All()).To(HaveLen(1))
}

func TestRecordsRoundTrip(t *testing.T) {
	for _, r := range []any{
		Accepted{Batch: "b", SubmissionID: "c", Parts: 1, Header: &Header{Host: "h", Model: "m", RequestCounts: []int{1}}, Items: []Item{{ID: "i", Group: "g", ExpectedTokens: 3, RewardCallID: "r"}}},
		progress("b", 1, 2, 3, 4),
		Result{Batch: "b", Item: 1, State: Completed, Position: TextPosition{Events: 1, Writer: "w", BaseWriter: "v", BaseEvents: 1}, Segment: Segment{Offset: 2, Events: 1, Versions: []VersionRun{{1, 1}}}},
		Result{Batch: "b", Item: 1, State: Completed, Position: TextPosition{Events: 1, Writer: "w"}, Segment: Segment{Offset: -1}, Score: "s"},
		Failed{Batch: "b", Item: 2, AttemptID: "a", InRewardCall: true},
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
	_, err = Encode("not a record type")
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
		acceptBatch(fold, "b", Header{}, "s")
		fold.Apply(record, 0) // every record that can be decoded can be applied
	})
}

func TestPackRequests(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	for n := range 20 {
		requests = append(requests, Request{Path: fmt.Sprint("/", n), Header: map[string]string{"a": "b"}, Body: make([]byte, 300)})
	}
	blobs, counts, err := PackRequests(requests, 2000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(blobs)).To(BeNumerically(">", 3))
	head := Header{RequestsOffset: 7, RequestCounts: counts}
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

func completeText(batch string, item, events int, writer string) Progress {
	return Progress{Batch: batch, Item: item, Position: TextPosition{Writer: writer}, TextComplete: true,
		Segment: Segment{Events: events, Versions: []VersionRun{{Version: 1, Events: events}}}}
}

// A trainer would read a completed sample without a score, or with the score of a call that
// was made while its text was still being generated. This happens when two owners generate a
// text for a moment and the reward call of the first one returns before the second one's text,
// which is kept, is complete. Only a score for the kept text may count.
func TestScoreBelongsToTheKeptText(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	var items []Item
	for _, id := range []string{"s0", "s1"} {
		items = append(items, Item{ID: id, RewardCallID: "reward of " + id})
	}
	for _, part := range SplitAccepted("b", "c", Header{Model: "m"}, items, 4096) {
		f.Apply(part, 0)
	}
	s := &f.Get("b").Samples[0]
	link := TextPosition{Events: 3, Writer: "mine"}
	f.Apply(Result{Batch: "b", State: Completed, Position: link, Score: "early"}, 0)
	g.Expect(s.State).To(Equal(Open), "no text is kept yet")
	f.Apply(completeText("b", 0, 3, "other"), 0)
	g.Expect(s.Stage()).To(Equal(Scoring))
	f.Apply(Result{Batch: "b", State: Completed, Position: link, Score: "of another text"}, 0)
	g.Expect(s.State).To(Equal(Open))
	f.Apply(Result{Batch: "b", State: Completed, Position: TextPosition{Events: 3, Writer: "other"}}, 0)
	g.Expect(s.State).To(Equal(Open), "a result without a score")
	f.Apply(Result{Batch: "b", State: Completed, Position: TextPosition{Events: 3, Writer: "next", BaseWriter: "other", BaseEvents: 3}, Score: "right"}, 0)
	g.Expect(s.State).To(Equal(Completed))
	g.Expect(s.Score).To(Equal("right"))
}

// A sample that a step left unfinished is submitted again. Its complete text is reused. Its
// score is reused only if the later batch asks for the same reward call, since the signature of
// another call would be wrong.
func TestScoreIsReusedForTheSameRewardCall(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	acceptWithReward := func(id, reward string) *Sample {
		for _, part := range SplitAccepted(id, "c", Header{Model: "m"}, []Item{{ID: "s", RewardCallID: reward}}, 4096) {
			f.Apply(part, 0)
		}
		return &f.Get(id).Samples[0]
	}
	acceptWithReward("b1", "r1")
	f.Apply(completeText("b1", 0, 2, "w"), 0)
	g.Expect(acceptWithReward("b2", "r1").Stage()).To(Equal(Scoring), "the text is reused, it has no score yet")
	f.Apply(Result{Batch: "b2", State: Completed, Position: TextPosition{Events: 2, Writer: "v", BaseEvents: 2}, Score: "x"}, 0)
	g.Expect(f.Get("b2").Samples[0].State).To(Equal(Completed))
	third := acceptWithReward("b3", "r1")
	g.Expect(third.Stage()).To(Equal(Ready))
	g.Expect(third.Score).To(Equal("x"))
	g.Expect(acceptWithReward("b4", "r2").Stage()).To(Equal(Scoring))
	g.Expect(acceptWithReward("b5", "").Stage()).To(Equal(Ready))
}

// Daemons of the version before rewards write records without their fields. Such a result must
// still mean that the sample is listed with its last segment of text.
func TestRecordsOfOlderDaemonsWithoutRewards(t *testing.T) {
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
	b := acceptBatch(f, "b", Header{Model: "m"}, "s")
	f.Apply(record, 0)
	g.Expect(b.Samples[0].State).To(Equal(Completed))
}

// An owner stops during an outage of the store. Its last text reaches the log just after the
// first segment of the next owner, which started the sample from the beginning. Both texts are
// valid, and the first one that is complete must count. If the next owner's complete text were
// ignored because the log has segments of the other owner, the sample would run a third time.
func TestFirstCompleteTextCounts(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	b := acceptBatch(f, "b", Header{Model: "m"}, "s")
	s := &b.Samples[0]
	segment := func(writer string, from, events int) Progress {
		return Progress{Batch: "b", Position: TextPosition{Events: from, Writer: writer},
			Segment: Segment{Offset: int64(100*from + len(writer)), Events: events, Versions: []VersionRun{{Version: 1, Events: events}}}}
	}
	f.Apply(segment("next", 0, 3), 0)
	f.Apply(segment("last-owner", 0, 8), 0)
	g.Expect(s.Text.Writer).To(Equal("last-owner"), "an owner resumes from the longer text")
	f.Apply(segment("next", 3, 4), 0)
	g.Expect(f.Apply(segment("next", 3, 4), 0)).To(BeNil(), "a duplicate record")
	g.Expect(s.Text.Events).To(Equal(8))
	f.Apply(Progress{Batch: "b", Position: TextPosition{Events: 8, Writer: "third", BaseWriter: "last-owner", BaseEvents: 8}, Segment: Segment{Offset: 1, Events: 1}}, 0)
	g.Expect(s.Text.Events).To(Equal(9))
	f.Apply(Result{Batch: "b", State: Completed, Position: TextPosition{Events: 7, Writer: "next"}, Segment: Segment{Offset: 2, Events: 5}}, 0)
	g.Expect(s.State).To(Equal(Completed))
	g.Expect(s.Text.Events).To(Equal(12))
	g.Expect(s.Text.Segments).To(HaveLen(3))
	g.Expect([]int64{s.Text.Segments[0].Offset, s.Text.Segments[1].Offset, s.Text.Segments[2].Offset}).To(Equal([]int64{4, 304, 2}))
}

// Two customers use the same sample ID. The text of one customer's sample must not appear in
// the other customer's batch.
func TestTextIsNotReusedAcrossCustomers(t *testing.T) {
	for _, c := range []struct {
		customer string
		events   int
	}{{"a", 3}, {"b", 0}} {
		g := NewWithT(t)
		f := NewFold()
		accept := func(id, customer string) {
			f.Apply(Accepted{Batch: Key(customer, id), Parts: 1, Header: &Header{Model: "m", Customer: customer}, Items: []Item{{ID: "s"}}}, 0)
		}
		accept("first", "a")
		f.Apply(Progress{Batch: Key("a", "first"), Position: TextPosition{Writer: "w"}, Segment: Segment{Events: 3}}, 0)
		accept("second", c.customer)
		g.Expect(f.Get(Key(c.customer, "second")).Samples[0].Text.Events).To(Equal(c.events), "customer %s", c.customer)
	}
}

// retractionFold returns a fold with a batch of one sample, to which writer a has saved events 1 to 5
// and 6 to 9, and whose text writer b has resumed behind event 9.
func retractionFold() *Fold {
	f := NewFold()
	f.Apply(Accepted{Batch: "b", Parts: 1, Header: &Header{Model: "m"}, Items: []Item{{ID: "s"}}}, 0)
	progress := func(offset int64, events int, at TextPosition) {
		f.Apply(Progress{Batch: "b", Position: at, Segment: Segment{Offset: offset, Events: events, Versions: []VersionRun{{1, events}}}}, 0)
	}
	progress(10, 5, TextPosition{Writer: "a"})
	progress(11, 4, TextPosition{Writer: "a", Events: 5})
	progress(12, 2, TextPosition{Writer: "b", Events: 9, BaseWriter: "a", BaseEvents: 9})
	return f
}

// Guards against bytes of a response that proved malformed after a checkpoint: they must be neither
// listed nor resumed behind, by whichever owner.
func TestRetractedTextCountsNoMore(t *testing.T) {
	endOfA := TextPosition{Writer: "a", Events: 9}
	for _, c := range []struct {
		name     string
		end      TextPosition
		kept     int
		segments []int64 // offsets of the text's blobs
	}{
		{"the last part and what continues it", endOfA, 5, []int64{10}},
		{"the whole text", endOfA, 0, nil},
		{"what continues it", TextPosition{Writer: "b", Events: 11}, 9, []int64{10, 11}},
		{"a part by the position of a writer that has saved nothing", TextPosition{Writer: "c", Events: 11, BaseWriter: "b", BaseEvents: 11}, 5, []int64{10}},
		{"a text that isn't in the log", TextPosition{Writer: "d", Events: 4}, 0, []int64{10, 11, 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := retractionFold()
			f.Apply(Retracted{Batch: "b", End: c.end, Kept: c.kept}, 0)
			s := &f.Get("b").Samples[0]
			var offsets []int64
			for _, segment := range s.Text.Segments {
				offsets = append(offsets, segment.Offset)
			}
			g.Expect(offsets).To(Equal(c.segments))
			// A new text from there on is complete by itself.
			at := TextPosition{Writer: "e", Events: s.Text.Events, BaseWriter: s.Text.Writer, BaseEvents: s.Text.Events}
			f.Apply(Result{Batch: "b", State: Completed, Position: at, Segment: Segment{Offset: 20, Events: 3}}, 0)
			g.Expect(s.State).To(Equal(Completed))
			g.Expect(s.Text.Segments).To(HaveLen(len(c.segments) + 1))
		})
	}
}

// Guards against a result whose text continues a retracted one.
func TestResultBehindARetractedTextIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := retractionFold()
	f.Apply(Retracted{Batch: "b", End: TextPosition{Writer: "a", Events: 9}, Kept: 5}, 0)
	f.Apply(Result{Batch: "b", State: Completed, Position: TextPosition{Writer: "b", Events: 11, BaseWriter: "a", BaseEvents: 9}, Segment: Segment{Offset: 20, Events: 1}}, 0)
	g.Expect(f.Get("b").Samples[0].State).To(Equal(Open))
}

// Guards against a retracted text that lives on in a later batch, which has taken it over, or as the
// complete text of a sample that waits for its score.
func TestRetractionReachesReusedAndCompleteTexts(t *testing.T) {
	g := NewWithT(t)
	f := retractionFold()
	f.Apply(Progress{Batch: "b", Position: TextPosition{Writer: "b", Events: 11, BaseWriter: "a", BaseEvents: 9}, Segment: Segment{Offset: -1}, TextComplete: true}, 0)
	f.Apply(Accepted{Batch: "later", Parts: 1, Header: &Header{Model: "m"}, Items: []Item{{ID: "s"}}}, 0)
	first, later := &f.Get("b").Samples[0], &f.Get("later").Samples[0]
	g.Expect(first.TextComplete).To(BeTrue())
	g.Expect(later.Text.Events).To(Equal(11))
	f.Apply(Retracted{Batch: "b", End: TextPosition{Writer: "a", Events: 9}, Kept: 5}, 0)
	for _, s := range []*Sample{first, later} {
		g.Expect(s.TextComplete).To(BeFalse())
		g.Expect(s.Text.Events).To(Equal(5))
	}
}

// Guards against a listed result that changes.
func TestRetractionLeavesListedTextsAlone(t *testing.T) {
	g := NewWithT(t)
	f := retractionFold()
	f.Apply(Result{Batch: "b", State: Completed, Position: TextPosition{Writer: "b", Events: 11, BaseWriter: "a", BaseEvents: 9}, Segment: Segment{Offset: 20, Events: 1}}, 0)
	f.Apply(Retracted{Batch: "b", End: TextPosition{Writer: "a", Events: 9}, Kept: 5}, 0)
	g.Expect(f.Get("b").Samples[0].Text.Events).To(Equal(12))
}
