package batch

import (
	"slices"
	"time"
)

// Fold is the state that follows from the records of one partition, applied in the log's
// order. Daemons that have read the same records have the same state, except for times, which
// are on each daemon's own clock. Not safe for concurrent use.
//
// Each batch has a list of results. A sample is listed once it has one. Of the texts that its
// owners write, the kept text is the one that counts.
//
// Invariants:
//   - a batch is accepted once: later records of its acceptance change nothing;
//   - a listed sample keeps its place in the list and its content;
//   - the kept text of a sample is one chain of segments, each of which was generated as a
//     continuation of the ones before; it is the longest chain until one is complete, and
//     that one from then on, unless a part of it is retracted;
//   - no kept text has a segment that was retracted before the sample was listed;
//   - a score belongs to the text that it is listed with: the reward call began
//     after that text's last event.
type Fold struct {
	batches map[string]*Batch
	order   []*Batch                 // in order of acceptance
	pending map[string]*pendingBatch // some parts were read, by the key of the batch
	latest  map[string]sampleRef     // where a sample ID was last in a batch, for reuse of its text
}

// sampleRef names a sample of a batch.
type sampleRef struct {
	batch *Batch
	index int
}

// pendingBatch holds the parts of a batch whose last part wasn't read yet.
type pendingBatch struct {
	submissionID string
	head         *Header
	items        []Item
	nextPart     int // number of the part that must come next
}

// Batch is one accepted batch.
type Batch struct {
	ID string // key of the batch
	Header
	Samples []Sample
	Listed  []int // indices of the samples with a result, in the order of the results
	Ended   bool  // the trainer needs no further results
	// ReadAt is when this daemon read that the batch is accepted, on its own clock.
	ReadAt time.Duration
	// AcceptedAt is this daemon's estimate of when the batch was accepted: when it read that, or
	// earlier if the record was old by then. It is used to order samples but not to give any
	// up, because the clocks of VMs may differ.
	AcceptedAt time.Duration
}

// Sample is an item of a batch and the state of its run.
type Sample struct {
	Item
	State          State
	Text           Text // the text kept so far
	TextComplete   bool // Text is complete
	Failures       int  // how many responses of upstreams say that the sample failed
	RewardFailures int  // how many responses of upstreams say that its reward call failed
	// Score is the score of the result, or one that the same reward call returned for the
	// same text in an earlier batch.
	Score          string
	failedAttempts []string      // IDs of the counted failures, since a record may be read twice
	chains         segmentChains // empty once the sample is listed
}

// Stage is the step of its processing that a sample needs next.
type Stage int

// The stages of an open sample, in order.
const (
	Generating Stage = iota // its text isn't complete
	Scoring                 // its text is complete, its score is missing
	Ready                   // its result can be written
)

// Stage returns the sample's stage according to the log. It has no meaning for a listed
// sample.
func (s *Sample) Stage() Stage {
	switch {
	case !s.TextComplete:
		return Generating
	case s.RewardCallID != "" && s.Score == "":
		return Scoring
	}
	return Ready
}

// Text is a sample's text in the form of the segments that hold it.
type Text struct {
	Segments []Segment
	Events   int    // number of events in all segments
	Writer   string // of the last segment, "" if that comes from an earlier batch or there is none
}

// AwaitsScores reports whether the batch waits only for scores: too few groups are complete for
// the trainer, and enough would be if the samples with complete text had their scores.
func (b *Batch) AwaitsScores() bool {
	awaitingResult := map[string]bool{} // groups with a sample that isn't listed
	generating := map[string]bool{}     // groups with a sample whose text isn't complete
	groups := map[string]bool{}
	for i := range b.Samples {
		s := &b.Samples[i]
		groups[s.Group] = true
		if s.State != Open {
			continue
		}
		awaitingResult[s.Group] = true
		if s.Stage() == Generating {
			generating[s.Group] = true
		}
	}
	complete, scorable := len(groups)-len(awaitingResult), len(groups)-len(generating)
	return complete < b.WantedGroups && scorable >= b.WantedGroups
}

// Clip returns the text without spare capacity for segments, so that appending to the result
// doesn't change the original's array.
func (t Text) Clip() Text {
	t.Segments = slices.Clip(t.Segments)
	return t
}

// FirstVersion returns the weights version of the text's first event, 0 if it has none.
func (t Text) FirstVersion() int64 {
	for _, segment := range t.Segments {
		if len(segment.Versions) > 0 {
			return segment.Versions[0].Version
		}
	}
	return 0
}

// VersionsAllowed reports whether a result of the batch may contain text by the weights
// versions that generated this one.
func (t Text) VersionsAllowed(head Header) bool {
	first := int64(0)
	for _, segment := range t.Segments {
		for _, run := range segment.Versions {
			if first == 0 {
				first = run.Version
			}
			if run.Version < head.MinVersion || head.SingleVersion && run.Version != first {
				return false
			}
		}
	}
	return true
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{batches: map[string]*Batch{}, pending: map[string]*pendingBatch{}, latest: map[string]sampleRef{}}
}

// Apply applies the next record. now is the time on the daemon's clock. Apply returns the
// batch that changed, nil if none did.
func (f *Fold) Apply(record any, now time.Duration) *Batch {
	switch r := record.(type) {
	case Accepted:
		return f.applyAccepted(r, now)
	case Progress:
		return f.applyProgress(r)
	case Result:
		return f.applyResult(r)
	case Failed:
		return f.applyFailed(r)
	case Ended:
		return f.applyEnded(r)
	case Retracted:
		return f.applyRetracted(r)
	}
	return nil
}

// applyAccepted adds a part of a batch. Once all parts were read in order, the batch is accepted.
func (f *Fold) applyAccepted(r Accepted, now time.Duration) *Batch {
	if _, known := f.batches[r.Batch]; known {
		return nil
	}
	p := f.pending[r.Batch]
	if r.Part == 0 && r.Header != nil {
		p = &pendingBatch{submissionID: r.SubmissionID, head: r.Header}
		f.pending[r.Batch] = p
	}
	if p == nil || p.submissionID != r.SubmissionID || p.nextPart != r.Part {
		return nil
	}
	p.items = append(p.items, r.Items...)
	p.nextPart++
	if p.nextPart < r.Parts {
		return nil
	}
	delete(f.pending, r.Batch)
	return f.addBatch(r.Batch, p, now)
}

// addBatch adds a batch whose parts were all read.
func (f *Fold) addBatch(id string, p *pendingBatch, now time.Duration) *Batch {
	b := &Batch{ID: id, Header: *p.head, Samples: make([]Sample, len(p.items)), ReadAt: now, AcceptedAt: now}
	for i, item := range p.items {
		b.Samples[i] = Sample{Item: item}
		f.reuseText(b, &b.Samples[i])
		f.latest[item.ID] = sampleRef{b, i}
	}
	f.batches[id] = b
	f.order = append(f.order, b)
	return b
}

// reuseText copies to s the text that the sample with the same ID has in the latest earlier
// batch, if that batch has the same customer and model and b allows the text's weights
// versions. The score is copied only together with the complete text that it was returned for,
// and only if both batches ask for the same reward call.
func (f *Fold) reuseText(b *Batch, s *Sample) {
	ref, ok := f.latest[s.ID]
	if !ok || ref.batch.Model != b.Model || ref.batch.Customer != b.Customer {
		return
	}
	earlier := &ref.batch.Samples[ref.index]
	if !earlier.Text.VersionsAllowed(b.Header) {
		return
	}
	s.Text = earlier.Text.Clip()
	s.Text.Writer = ""
	s.TextComplete = earlier.TextComplete || earlier.State == Completed
	if s.TextComplete && earlier.RewardCallID == s.RewardCallID {
		s.Score = earlier.Score
	}
}

// sample returns a sample and its batch, nil if there is no such sample.
func (f *Fold) sample(batch string, index int) (*Batch, *Sample) {
	b := f.batches[batch]
	if b == nil || index < 0 || index >= len(b.Samples) {
		return nil, nil
	}
	return b, &b.Samples[index]
}

func (f *Fold) applyProgress(r Progress) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || s.TextComplete {
		return nil
	}
	node := s.chains.add(s.Text, r.Position, r.Segment)
	if node == nil {
		return nil
	}
	if r.TextComplete || node.events > s.Text.Events {
		s.Text = node.text()
	}
	s.TextComplete = r.TextComplete
	return b
}

func (f *Fold) applyResult(r Result) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || r.State == Open {
		return nil
	}
	if r.State == Completed && !s.applyCompletion(r) {
		return nil
	}
	s.State = r.State
	s.chains = segmentChains{}
	b.Listed = append(b.Listed, r.Item)
	return b
}

// applyRetracted takes back a part of an open sample's text, also where a later batch has reused it.
func (f *Fold) applyRetracted(r Retracted) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open {
		return nil
	}
	removed := s.chains.retract(s.Text, r.End, r.Kept)
	if len(removed) == 0 {
		return nil
	}
	if s.chains.ends[textEnd{s.Text.Writer, s.Text.Events}] == nil {
		s.setText(s.chains.longest().text())
	}
	if ref, ok := f.latest[s.ID]; ok && ref.batch != b {
		ref.batch.Samples[ref.index].dropReused(removed)
	}
	return b
}

// setText replaces a text of which a part was retracted.
func (s *Sample) setText(t Text) {
	s.Text, s.TextComplete, s.Score = t, false, ""
}

// dropReused takes segments that were retracted in an earlier batch out of an open sample's text,
// together with all that follows them.
func (s *Sample) dropReused(retracted []Segment) {
	if s.State != Open {
		return
	}
	kept := 0
	for _, segment := range s.Text.Segments {
		if slices.ContainsFunc(retracted, func(r Segment) bool { return r.Events > 0 && r.Offset == segment.Offset }) {
			s.chains = segmentChains{}
			s.setText(s.Text.firstEvents(kept))
			return
		}
		kept += segment.Events
	}
}

// applyCompletion adds the text's last segment, or sets the score of a complete text. It
// returns false, and changes nothing, if the segment continues none of the sample's texts or
// the score isn't one of the kept text.
func (s *Sample) applyCompletion(r Result) bool {
	switch {
	case s.RewardCallID != "":
		// Two owners may have generated two texts. The score of the one that wasn't kept
		// doesn't belong to the kept text: its call may have begun before that one was
		// complete.
		if !s.TextComplete || r.Score == "" || !s.Text.endsWith(r.Position) {
			return false
		}
		s.Score = r.Score
	case !s.TextComplete:
		node := s.chains.add(s.Text, r.Position, r.Segment)
		if node == nil {
			return false
		}
		s.Text = node.text()
	}
	return true
}

// endsWith reports whether a position is the end of this text: as its writer names it, or as
// an owner names it that resumed the text from the log.
func (t Text) endsWith(link TextPosition) bool {
	return link.Events == t.Events && (link.Writer == t.Writer || link.BaseWriter == t.Writer && link.BaseEvents == link.Events)
}

func (f *Fold) applyFailed(r Failed) *Batch {
	b, s := f.sample(r.Batch, r.Item)
	if s == nil || s.State != Open || slices.Contains(s.failedAttempts, r.AttemptID) {
		return nil
	}
	s.failedAttempts = append(s.failedAttempts, r.AttemptID)
	if r.InRewardCall {
		s.RewardFailures++
	} else {
		s.Failures++
	}
	return b
}

func (f *Fold) applyEnded(r Ended) *Batch {
	b := f.batches[r.Batch]
	if b == nil || b.Ended {
		return nil
	}
	b.Ended = true
	return b
}

// Get returns a batch by its key, nil if no such batch was accepted.
func (f *Fold) Get(id string) *Batch { return f.batches[id] }

// Backdate sets the estimate of when the batch was accepted to age before it was read.
func (b *Batch) Backdate(age time.Duration) { b.AcceptedAt = b.ReadAt - age }

// Open returns the batches that need further results, in order of acceptance.
func (f *Fold) Open() []*Batch {
	var out []*Batch
	for _, b := range f.order {
		if !b.Ended && len(b.Listed) < len(b.Samples) {
			out = append(out, b)
		}
	}
	return out
}

// All returns every batch that isn't forgotten, in order of acceptance. The caller must not
// change the slice.
func (f *Fold) All() []*Batch { return f.order }

// Forget removes the batches that this daemon read before the given time and that need no
// further results.
func (f *Fold) Forget(before time.Duration) {
	kept := f.order[:0]
	for _, b := range f.order {
		if b.ReadAt >= before || (!b.Ended && len(b.Listed) < len(b.Samples)) {
			kept = append(kept, b)
			continue
		}
		delete(f.batches, b.ID)
		for i := range b.Samples {
			if ref := f.latest[b.Samples[i].ID]; ref.batch == b {
				delete(f.latest, b.Samples[i].ID)
			}
		}
	}
	clear(f.order[len(kept):])
	f.order = kept
}
