package rollout

import (
	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// observe moves the newest known version, which never falls.
func (s *Step) observe(v ident.Version) {
	if v <= s.newest {
		return
	}
	s.newest = v
	s.dropStale()
}

// dropStale gives up every completion, and every attempt known to be on such a
// version, that is older than the bound allows; their slots wait again. Samples
// age while they are scored and while they wait for their pull, so this runs
// whenever the newest version moves, and again before each answer.
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
		if sl.began != 0 && sl.began < s.oldestAllowed() {
			s.tally.Stale++
			s.emit(CancelAttempt{ID: s.idOf(i), Attempt: sl.running})
			s.endAttempt(i)
		}
		return
	}
	if sl.made.oldest >= s.oldestAllowed() {
		return
	}
	s.tally.Stale++
	s.stopAttempts(i)
	s.setState(i, waiting)
}

// applyCursor makes the trainer's cursor ours. A group that it names is freed,
// also when another owner delivered it. A group that it no longer names is made
// again: the trainer lost it (it was restarted, say).
func (s *Step) applyCursor(have *roaring.Bitmap) {
	for rank, group := range s.groupAt {
		names := have != nil && have.Contains(uint32(group))
		switch {
		case names && !s.held.Contains(uint32(rank)):
			s.held.Add(uint32(rank))
			s.stopGroup(rank)
		case !names && s.held.Contains(uint32(rank)):
			s.held.Remove(uint32(rank))
			s.reopenGroup(rank)
		}
	}
}

// reopenGroup lets a freed group be made again, unless it can't be.
func (s *Step) reopenGroup(rank int) {
	if s.failed.Contains(uint32(rank)) {
		return
	}
	first := rank * s.spec.GroupSize
	for i := first; i < first+s.spec.GroupSize; i++ {
		s.slots[i].failures = 0
		s.setState(i, waiting)
	}
}

// Deliverable counts the groups that a pull would get now.
func (s *Step) Deliverable() int {
	failed := s.failed.GetCardinality() - s.failed.AndCardinality(s.held)
	return int(s.complete.GetCardinality() + failed)
}

// Whole says that every group is deliverable or held by the trainer.
func (s *Step) Whole() bool {
	return s.Deliverable()+int(s.held.GetCardinality()) == len(s.groupAt)
}

// deliver answers a pull. Nothing is marked as sent: an answer can be cut, and
// only the next cursor tells.
func (s *Step) deliver(p Pull) {
	s.dropStale()
	answer := Deliver{JudgedBy: s.newest}
	bytes := 0
	for rank := range s.groupAt {
		if p.MaxGroups > 0 && len(answer.Groups) >= p.MaxGroups {
			break
		}
		if p.MaxBytes > 0 && bytes >= p.MaxBytes {
			break
		}
		group, ok := s.group(rank)
		if !ok {
			continue
		}
		answer.Groups = append(answer.Groups, group)
		for _, sample := range group.Samples {
			bytes += len(sample.Prompt) + len(sample.Completion)
		}
	}
	answer.Remaining = len(s.groupAt) - int(s.held.GetCardinality()) - len(answer.Groups)
	answer.Whole = answer.Remaining == 0
	s.tally.Offered += len(answer.Groups)
	s.emit(answer)
}

// group returns a group as the trainer gets it; ok is false when it isn't deliverable.
func (s *Step) group(rank int) (group Group, ok bool) {
	if s.held.Contains(uint32(rank)) {
		return Group{}, false
	}
	number := s.groupAt[rank]
	if s.failed.Contains(uint32(rank)) {
		return Group{Number: number, Failed: true, Reason: s.reasons[rank]}, true
	}
	if !s.complete.Contains(uint32(rank)) {
		return Group{}, false
	}
	group = Group{Number: number, Samples: make([]Sample, s.spec.GroupSize)}
	for index := range group.Samples {
		made := s.slots[rank*s.spec.GroupSize+index].made
		group.Samples[index] = Sample{
			Group:      number,
			Index:      index,
			Prompt:     s.spec.Prompts[number].Text,
			Completion: made.text,
			Reward:     made.reward,
			Segments:   made.segments,
		}
	}
	return group, true
}
