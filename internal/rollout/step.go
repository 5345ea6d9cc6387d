package rollout

import (
	"sort"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Step is the state of one training step at the daemon that owns it.
type Step struct {
	spec      Spec
	options   Options
	startTime time.Time

	// Groups are ranked by the order in which they start, from rank 0.
	groupByRank []int // group number for each rank
	rankByGroup []int // rank for each group number

	slots      []slot // at rank*GroupSize + index of the sample
	index      slotIndex
	readyCount []int // number of ready slots for each rank

	readyRanks     *roaring.Bitmap // ranks whose slots are all ready
	heldRanks      *roaring.Bitmap // ranks of the groups in the trainer's latest cursor
	failedRanks    *roaring.Bitmap // ranks of the groups that can't be generated
	failureReasons map[int]string  // for each failed rank

	newestVersion  ident.Version // newest version known from any source
	stalenessBound int64         // in versions
	bufferedBytes  int           // size of the completions kept
	memoryFull     bool          // the memory for all steps of the daemon is full
	breaker        breaker
	cancelled      bool
	tally          Tally

	pendingActions []Action // emitted for the event being handled
}

// New returns a step in which every sample is waiting. The first event starts its
// attempts. If the spec is invalid, the error is ErrInvalidSpec.
func New(spec Spec, options Options, now time.Time) (*Step, error) {
	if err := spec.validate(); err != nil {
		return nil, err
	}
	groups := len(spec.Prompts)
	s := &Step{
		spec:           spec,
		options:        options.withDefaults(),
		startTime:      now,
		groupByRank:    longestFirst(spec.Prompts),
		rankByGroup:    make([]int, groups),
		slots:          make([]slot, spec.Samples()),
		index:          newSlotIndex(),
		readyCount:     make([]int, groups),
		readyRanks:     roaring.New(),
		heldRanks:      roaring.New(),
		failedRanks:    roaring.New(),
		failureReasons: map[int]string{},
		newestVersion:  spec.TrainerVersion,
		stalenessBound: spec.StalenessBound,
	}
	for rank, group := range s.groupByRank {
		s.rankByGroup[group] = rank
	}
	for i := range s.slots {
		s.slots[i].state = waiting
		s.index.add(i, waiting)
	}
	return s, nil
}

// longestFirst returns the group numbers in descending order of expected length
// (longest processing time first, LPT). If the longest groups started late, the end
// of the step would have to wait for them alone. Groups without an expected length
// come last.
func longestFirst(prompts []Prompt) []int {
	order := make([]int, len(prompts))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return prompts[order[a]].ExpectedTokens > prompts[order[b]].ExpectedTokens
	})
	return order
}

// Handle processes an event and returns the actions to run, in order. After Cancel
// it returns no actions.
func (s *Step) Handle(now time.Time, event Event) []Action {
	if s.cancelled {
		return nil
	}
	s.pendingActions = nil
	elapsed := now.Sub(s.startTime)
	s.apply(elapsed, event)
	if !s.cancelled {
		s.startWork(elapsed)
	}
	actions := s.pendingActions
	s.pendingActions = nil
	return actions
}

// apply changes the state according to an event. Here and in every method that Handle
// calls, now is the time since the step's start.
func (s *Step) apply(now time.Duration, event Event) {
	switch e := event.(type) {
	case Tick:
		s.endBackoffs(now)
	case Began:
		s.handleBegan(now, e)
	case Generated:
		s.handleGenerated(now, e)
	case GenerateFailed:
		s.handleGenerateFailed(now, e)
	case Scored:
		s.handleScored(e)
	case ScoreFailed:
		s.handleScoreFailed(now, e)
	case NewestVersion:
		s.observeVersion(e.Version)
	case SetStalenessBound:
		s.stalenessBound = e.Bound
		s.dropStale()
	case MemoryPressure:
		s.memoryFull = e.Full
	case Cursor:
		s.observeVersion(e.TrainerVersion)
		s.applyCursor(e.Have)
	case Pull:
		s.observeVersion(e.TrainerVersion)
		s.applyCursor(e.Have)
		s.answerPull(e)
	case Cancel:
		s.cancel()
	}
}

func (s *Step) cancel() {
	for rank := range s.groupByRank {
		s.closeGroup(rank)
	}
	s.cancelled = true
}

func (s *Step) emit(a Action) { s.pendingActions = append(s.pendingActions, a) }

// slotOf returns the slot number of a sample, or false if the step has no such sample.
func (s *Step) slotOf(id SampleID) (int, bool) {
	inRange := id.Group >= 0 && id.Group < len(s.rankByGroup) && id.Index >= 0 && id.Index < s.spec.GroupSize
	if !inRange {
		return 0, false
	}
	return s.rankByGroup[id.Group]*s.spec.GroupSize + id.Index, true
}

// sampleID returns which sample slot i belongs to.
func (s *Step) sampleID(i int) SampleID {
	return SampleID{Group: s.groupByRank[i/s.spec.GroupSize], Index: i % s.spec.GroupSize}
}

// setState changes the state of slot i and keeps the index and the counts up to date.
// Nothing else may change a slot's state.
func (s *Step) setState(i int, to state) {
	from := s.slots[i].state
	if from == to {
		return
	}
	s.slots[i].state = to
	s.index.move(i, from, to)
	rank := i / s.spec.GroupSize
	if from == ready {
		s.readyCount[rank]--
		s.readyRanks.Remove(uint32(rank))
	}
	if to == ready {
		s.readyCount[rank]++
		if s.readyCount[rank] == s.spec.GroupSize {
			s.readyRanks.Add(uint32(rank))
		}
	}
}
