package rollout

import (
	"sort"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Step is the state of one training step at its owner.
type Step struct {
	spec    Spec
	options Options
	start   time.Time

	groupAt []int // group number by rank; rank 0 starts first
	rankOf  []int // its inverse

	slots   []slot // by rank*GroupSize + index
	index   slotIndex
	readyIn []int // ready slots by rank

	complete *roaring.Bitmap // ranks whose slots are all ready
	held     *roaring.Bitmap // ranks that the trainer's cursor names
	failed   *roaring.Bitmap // ranks that can't be made
	reasons  map[int]string  // of failed ranks

	newest    ident.Version // newest version known from anywhere
	bound     int64
	bytes     int // of completions kept
	pressed   bool
	hold      hold
	cancelled bool
	tally     Tally

	out []Action
}

// New returns a step with every sample waiting. It starts with the first event.
// Error: ErrSpec.
func New(spec Spec, options Options, now time.Time) (*Step, error) {
	if err := spec.check(); err != nil {
		return nil, err
	}
	groups := len(spec.Prompts)
	s := &Step{
		spec:     spec,
		options:  options.withDefaults(),
		start:    now,
		groupAt:  longestFirst(spec.Prompts),
		rankOf:   make([]int, groups),
		slots:    make([]slot, spec.Samples()),
		index:    newSlotIndex(),
		readyIn:  make([]int, groups),
		complete: roaring.New(),
		held:     roaring.New(),
		failed:   roaring.New(),
		reasons:  map[int]string{},
		newest:   spec.TrainerVersion,
		bound:    spec.Bound,
	}
	for rank, group := range s.groupAt {
		s.rankOf[group] = rank
	}
	for i := range s.slots {
		s.slots[i].state = waiting
		s.index.add(i, waiting)
	}
	return s, nil
}

// longestFirst returns the group numbers by falling expected length (LPT, the
// longest processing time rule): what takes longest must start first, or the
// step's end waits for it alone. Groups without an expectation come last.
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

// Step takes an event in and returns what is to be done, in order. After
// Cancel it returns nothing.
func (s *Step) Step(now time.Time, event Event) []Action {
	if s.cancelled {
		return nil
	}
	s.out = nil
	elapsed := now.Sub(s.start)
	s.apply(elapsed, event)
	if !s.cancelled {
		s.startWork(elapsed)
	}
	actions := s.out
	s.out = nil
	return actions
}

func (s *Step) apply(now time.Duration, event Event) {
	switch e := event.(type) {
	case Tick:
		s.wakeDelayed(now)
	case Began:
		s.began(now, e)
	case Generated:
		s.generated(now, e)
	case GenerateFailed:
		s.generateFailed(now, e)
	case Scored:
		s.scored(e)
	case ScoreFailed:
		s.scoreFailed(now, e)
	case NewestVersion:
		s.observe(e.Version)
	case SetBound:
		s.bound = e.Bound
		s.dropStale()
	case Pressure:
		s.pressed = e.Full
	case Cursor:
		s.observe(e.TrainerVersion)
		s.applyCursor(e.Have)
	case Pull:
		s.observe(e.TrainerVersion)
		s.applyCursor(e.Have)
		s.deliver(e)
	case Cancel:
		s.cancel()
	}
}

func (s *Step) cancel() {
	for rank := range s.groupAt {
		s.stopGroup(rank)
	}
	s.cancelled = true
}

func (s *Step) emit(a Action) { s.out = append(s.out, a) }

func (s *Step) slotOf(id SampleID) (int, bool) {
	inRange := id.Group >= 0 && id.Group < len(s.rankOf) && id.Index >= 0 && id.Index < s.spec.GroupSize
	if !inRange {
		return 0, false
	}
	return s.rankOf[id.Group]*s.spec.GroupSize + id.Index, true
}

func (s *Step) idOf(i int) SampleID {
	return SampleID{Group: s.groupAt[i/s.spec.GroupSize], Index: i % s.spec.GroupSize}
}

// setState is the only place where a slot's state changes.
func (s *Step) setState(i int, to state) {
	from := s.slots[i].state
	if from == to {
		return
	}
	s.slots[i].state = to
	s.index.move(i, from, to)
	rank := i / s.spec.GroupSize
	if from == ready {
		s.readyIn[rank]--
		s.complete.Remove(uint32(rank))
	}
	if to == ready {
		s.readyIn[rank]++
		if s.readyIn[rank] == s.spec.GroupSize {
			s.complete.Add(uint32(rank))
		}
	}
}
