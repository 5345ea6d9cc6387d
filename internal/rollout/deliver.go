package rollout

import (
	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// observeVersion raises the newest known version to v. It never lowers it.
func (s *Step) observeVersion(v ident.Version) {
	if v <= s.newestVersion {
		return
	}
	s.newestVersion = v
	s.dropStale()
}

// dropStale discards the completions that contain a version older than the staleness
// bound allows and cancels the attempts whose first token is from such a version.
// Their slots are waiting again. Samples become stale while they are being scored and
// while they wait for a pull, so this runs on every change of the newest version or
// the bound, and again before each answer.
func (s *Step) dropStale() {
	for st := generating; st <= ready; st++ {
		if s.index.counts[st] == 0 {
			continue
		}
		for _, i := range s.index.list(st) {
			s.dropIfStale(int(i))
		}
	}
}

func (s *Step) dropIfStale(i int) {
	sl := &s.slots[i]
	if !sl.state.hasCompletion() {
		if sl.firstVersion != 0 && sl.firstVersion < s.oldestAllowed() {
			s.tally.Stale++
			s.emit(CancelAttempt{ID: s.sampleID(i), Attempt: sl.runningAttempt})
			s.endAttempt(i)
		}
		return
	}
	if sl.completion.oldestVersion >= s.oldestAllowed() {
		return
	}
	s.tally.Stale++
	s.discardWork(i)
	s.setState(i, waiting)
}

// applyCursor adopts the trainer's cursor. The memory of a group in the cursor is
// freed, even if another owner delivered the group. A group that is no longer in the
// cursor is generated again, because the trainer lost it, for example in a restart.
func (s *Step) applyCursor(have *roaring.Bitmap) {
	for rank, group := range s.groupByRank {
		inCursor := have != nil && have.Contains(uint32(group))
		switch {
		case inCursor && !s.heldRanks.Contains(uint32(rank)):
			s.heldRanks.Add(uint32(rank))
			s.closeGroup(rank)
		case !inCursor && s.heldRanks.Contains(uint32(rank)):
			s.heldRanks.Remove(uint32(rank))
			s.reopenGroup(rank)
		}
	}
}

// reopenGroup makes the samples of a closed group waiting again, unless the group failed.
func (s *Step) reopenGroup(rank int) {
	if s.failedRanks.Contains(uint32(rank)) {
		return
	}
	first := rank * s.spec.GroupSize
	for i := first; i < first+s.spec.GroupSize; i++ {
		s.slots[i].failures = 0
		s.setState(i, waiting)
	}
}

// DeliverableGroups returns the number of groups that a pull without limits would get now.
func (s *Step) DeliverableGroups() int {
	failed := s.failedRanks.GetCardinality() - s.failedRanks.AndCardinality(s.heldRanks)
	return int(s.readyRanks.GetCardinality() + failed)
}

// Whole reports whether every group is deliverable or held by the trainer.
func (s *Step) Whole() bool {
	return s.DeliverableGroups()+int(s.heldRanks.GetCardinality()) == len(s.groupByRank)
}

// answerPull emits the answer to a pull. It doesn't mark the groups as delivered: the
// answer may be cut off, and only the next cursor shows whether it arrived.
func (s *Step) answerPull(p Pull) {
	s.dropStale()
	answer := Deliver{JudgedBy: s.newestVersion}
	bytes := 0
	for rank := range s.groupByRank {
		if p.MaxGroups > 0 && len(answer.Groups) >= p.MaxGroups {
			break
		}
		if p.MaxBytes > 0 && bytes >= p.MaxBytes {
			break
		}
		group, ok := s.deliverableGroup(rank)
		if !ok {
			continue
		}
		answer.Groups = append(answer.Groups, group)
		for _, sample := range group.Samples {
			bytes += len(sample.Prompt) + len(sample.Completion)
		}
	}
	answer.Remaining = len(s.groupByRank) - int(s.heldRanks.GetCardinality()) - len(answer.Groups)
	answer.Whole = answer.Remaining == 0
	s.tally.Offered += len(answer.Groups)
	s.emit(answer)
}

// deliverableGroup returns a group in the form sent to the trainer. ok is false if the
// group isn't deliverable.
func (s *Step) deliverableGroup(rank int) (group Group, ok bool) {
	if s.heldRanks.Contains(uint32(rank)) {
		return Group{}, false
	}
	number := s.groupByRank[rank]
	if s.failedRanks.Contains(uint32(rank)) {
		return Group{Number: number, Failed: true, Reason: s.failureReasons[rank]}, true
	}
	if !s.readyRanks.Contains(uint32(rank)) {
		return Group{}, false
	}
	group = Group{Number: number, Samples: make([]Sample, s.spec.GroupSize)}
	for index := range group.Samples {
		completion := s.slots[rank*s.spec.GroupSize+index].completion
		group.Samples[index] = Sample{
			Group:      number,
			Index:      index,
			Prompt:     s.spec.Prompts[number].Text,
			Completion: completion.text,
			Reward:     completion.reward,
			Segments:   completion.segments,
		}
	}
	return group, true
}
