package batch

import (
	"slices"
	"time"
)

// Fold is the state that the records of one partition make, in the log's order.
// Every daemon that has read the same records has the same state, times aside.
// Not safe for concurrent use.
//
// Invariants:
//   - a batch is accepted once: later copies change nothing;
//   - a listed sample keeps its position and content;
//   - a sample's kept text is one chain of pieces, each of which was asked for where
//     the one before had ended; it is the longest one until a chain is whole, and then
//     that one for good;
//   - a score belongs to the text that it is listed with: the reward call began
//     after that text's last event.
type Fold struct {
	batches map[string]*Batch
	order   []*Batch // in order of acceptance
	pending map[string]*pending
	// newest is the last batch in which a sample's ID came, for text that may be
	// used again.
	newest map[string]sampleRef
}

type sampleRef struct {
	batch *Batch
	index int
}

type pending struct {
	copyID string
	head   *Head
	items  []Item
	next   int
}

// Batch is one accepted batch.
type Batch struct {
	ID string
	Head
	Samples []Sample
	Listed  []int // indices of the samples with a result, in the order of their positions
	Ended   bool
	// Seen is when this daemon read of the batch; the batch is older.
	Seen time.Duration
	// Since is when it was accepted, as far as this daemon can tell: Seen, or earlier if
	// the record was read long after. Samples are ordered by it, nothing is given up by it:
	// VMs' clocks may differ.
	Since time.Duration
}

// Sample is an item and what is known of its run.
type Sample struct {
	Item
	State    State
	Text     Text // kept text; all of it once Completed
	Whole    bool // Text is complete
	Failures int  // answers of upstreams that it failed
	// RewardFailures are answers of upstreams that its reward call failed.
	RewardFailures int
	// Score is that of the result, or one that the same reward call gave the same
	// text in an earlier batch.
	Score string
	// attempts that failed, so that a second copy of a record counts once.
	failedAttempts []string
	chains         chains // until the sample is listed
}

// Stage is what a sample needs next.
type Stage int

// The stages of an open sample, in order.
const (
	Generating Stage = iota
	Scoring          // its text is whole, its score is wanted
	Ready            // only its result is to be written
)

// Stage returns what the sample needs next by what the log holds. It has no
// meaning for a listed sample.
func (s *Sample) Stage() Stage {
	switch {
	case !s.Whole:
		return Generating
	case s.Reward != "" && s.Score == "":
		return Scoring
	}
	return Ready
}

// Text is where a sample's text lies.
type Text struct {
	Segments []Segment
	Events   int
	Writer   string // of the last segment, "" for none of this batch
}

// Closing reports whether the trainer's step is about to end: too few groups are
// complete, and enough would be once the samples whose text is whole have their scores.
func (b *Batch) Closing() bool {
	open := map[string]bool{}       // groups with a sample that isn't listed
	unfinished := map[string]bool{} // groups with a sample whose text isn't whole
	groups := map[string]bool{}
	for i := range b.Samples {
		s := &b.Samples[i]
		groups[s.Group] = true
		if s.State != Open {
			continue
		}
		open[s.Group] = true
		if s.Stage() == Generating {
			unfinished[s.Group] = true
		}
	}
	complete, near := len(groups)-len(open), len(groups)-len(unfinished)
	return complete < b.WantedGroups && near >= b.WantedGroups
}

// Clip returns the text without room for others to append in place.
func (t Text) Clip() Text {
	t.Segments = slices.Clip(t.Segments)
	return t
}

// Fits reports whether the text may be part of a result of the batch.
func (t Text) Fits(h Head) bool {
	first := int64(0)
	for _, s := range t.Segments {
		for _, run := range s.Versions {
			if first == 0 {
				first = run.Version
			}
			if run.Version < h.MinVersion || h.SingleVersion && run.Version != first {
				return false
			}
		}
	}
	return true
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{batches: map[string]*Batch{}, pending: map[string]*pending{}, newest: map[string]sampleRef{}}
}

// Apply takes the next record. It returns the batch that changed, nil if none did.
func (f *Fold) Apply(record any, now time.Duration) *Batch {
	switch r := record.(type) {
	case Accepted:
		return f.accepted(r, now)
	case Progress:
		return f.progress(r)
	case Result:
		return f.result(r)
	case Failed:
		return f.failed(r)
	case Ended:
		return f.ended(r)
	}
	return nil
}

func (f *Fold) accepted(r Accepted, now time.Duration) *Batch {
	if _, known := f.batches[r.Batch]; known {
		return nil
	}
	p := f.pending[r.Batch]
	if r.Part == 0 && r.Head != nil {
		p = &pending{copyID: r.Copy, head: r.Head}
		f.pending[r.Batch] = p
	}
	if p == nil || p.copyID != r.Copy || p.next != r.Part {
		return nil
	}
	p.items = append(p.items, r.Items...)
	p.next++
	if p.next < r.Parts {
		return nil
	}
	delete(f.pending, r.Batch)
	return f.accept(r.Batch, p, now)
}

func (f *Fold) accept(id string, p *pending, now time.Duration) *Batch {
	b := &Batch{ID: id, Head: *p.head, Samples: make([]Sample, len(p.items)), Seen: now, Since: now}
	for i, item := range p.items {
		b.Samples[i] = Sample{Item: item}
		f.reuse(b, &b.Samples[i])
		f.newest[item.ID] = sampleRef{b, i}
	}
	f.batches[id] = b
	f.order = append(f.order, b)
	return b
}

// reuse takes over the text of the same sample in an earlier batch of its customer if its
// weights are new enough for this one. A score is taken over only with the whole text that it was
// given to, and if this batch asks for the same reward call.
func (f *Fold) reuse(b *Batch, s *Sample) {
	ref, ok := f.newest[s.ID]
	if !ok || ref.batch.Model != b.Model || ref.batch.Customer != b.Customer {
		return
	}
	earlier := &ref.batch.Samples[ref.index]
	if !earlier.Text.Fits(b.Head) {
		return
	}
	s.Text = earlier.Text.Clip()
	s.Text.Writer = ""
	s.Whole = earlier.Whole || earlier.State == Completed
	if s.Whole && earlier.Reward == s.Reward {
		s.Score = earlier.Score
	}
}

func (f *Fold) sample(batch string, index int) (*Batch, *Sample) {
	b := f.batches[batch]
	if b == nil || index < 0 || index >= len(b.Samples) {
		return nil, nil
	}
	return b, &b.Samples[index]
}

func (f *Fold) progress(r Progress) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || s.Whole {
		return nil
	}
	end := s.chains.add(s.Text, r.Link, r.Segment)
	if end == nil {
		return nil
	}
	if r.Whole || end.events > s.Text.Events {
		s.Text = end.text()
	}
	s.Whole = r.Whole
	return b
}

func (f *Fold) result(r Result) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || r.State == Open {
		return nil
	}
	if r.State == Completed && !s.complete(r) {
		return nil
	}
	s.State = r.State
	s.chains = chains{}
	b.Listed = append(b.Listed, r.Item)
	return b
}

// complete takes the text's last piece, or the score of a whole text. It reports
// false if the result belongs to another text than the kept one.
func (s *Sample) complete(r Result) bool {
	switch {
	case s.Reward != "":
		// Two owners may have generated two texts. A score given to the one that the
		// log didn't keep was asked for before the kept one ended.
		if !s.Whole || r.Score == "" || !s.Text.endsWith(r.Link) {
			return false
		}
		s.Score = r.Score
	case !s.Whole:
		end := s.chains.add(s.Text, r.Link, r.Segment)
		if end == nil {
			return false
		}
		s.Text = end.text()
	}
	return true
}

// endsWith reports whether a link names the end of the text: its writer's, or that of an
// owner who read the text from the log.
func (t Text) endsWith(l Link) bool {
	return l.From == t.Events && (l.Writer == t.Writer || l.After == t.Writer && l.Base == l.From)
}

func (f *Fold) failed(r Failed) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || slices.Contains(s.failedAttempts, r.Attempt) {
		return nil
	}
	s.failedAttempts = append(s.failedAttempts, r.Attempt)
	if r.Reward {
		s.RewardFailures++
	} else {
		s.Failures++
	}
	return b
}

func (f *Fold) ended(r Ended) *Batch {
	b := f.batches[r.Batch]
	if b == nil || b.Ended {
		return nil
	}
	b.Ended = true
	return b
}

// Get returns a batch, nil if none of that ID was accepted.
func (f *Fold) Get(id string) *Batch { return f.batches[id] }

// Backdate notes that a batch was accepted some time before it was read.
func (b *Batch) Backdate(age time.Duration) { b.Since = b.Seen - age }

// Open returns the batches that still want samples, in order of acceptance.
func (f *Fold) Open() []*Batch {
	var out []*Batch
	for _, b := range f.order {
		if !b.Ended && len(b.Listed) < len(b.Samples) {
			out = append(out, b)
		}
	}
	return out
}

// All returns every batch that is kept, in order of acceptance.
func (f *Fold) All() []*Batch { return f.order }

// Forget drops batches that this daemon read of before the time and that need no
// more work.
func (f *Fold) Forget(before time.Duration) {
	kept := f.order[:0]
	for _, b := range f.order {
		if b.Seen >= before || (!b.Ended && len(b.Listed) < len(b.Samples)) {
			kept = append(kept, b)
			continue
		}
		delete(f.batches, b.ID)
		for i := range b.Samples {
			if ref := f.newest[b.Samples[i].ID]; ref.batch == b {
				delete(f.newest, b.Samples[i].ID)
			}
		}
	}
	clear(f.order[len(kept):])
	f.order = kept
}
