package rollout

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// state is where a slot stands. A slot of a group that the trainer holds, or
// that failed, is idle.
type state uint8

const (
	idle         state = iota
	waiting            // may start
	delayed            // failed, starts again at notBefore
	generating         // one attempt runs, or two when hedged
	scoreWaiting       // generated, may be scored
	scoreDelayed       // scoring failed, tried again at notBefore
	scoring            // at the scorer
	ready              // finished
	stateCount
)

// slot is what is known of one sample. A step of 16,384 samples keeps 16,384 of
// these, some 80 bytes each, in one slice.
type slot struct {
	state     state
	failures  uint8 // in a row
	last      uint32
	running   uint32        // live attempt, 0 none
	began     ident.Version // first token's version of the running attempt, 0 unknown
	probe     uint32        // round of the hold that the running attempt is a probe of, see hold
	notBefore time.Duration // when delayed, since the step's start
	made      *completion
}

// completion is a whole generated text, until its group is held by the trainer.
type completion struct {
	attempt  uint32
	text     string
	segments []Segment
	oldest   ident.Version
	reward   float64
}

// live says whether results of the attempt are still wanted.
func (sl *slot) live(attempt uint32) bool {
	return attempt != 0 && attempt == sl.running
}

// hasCompletion says whether the slot's state keeps a completion.
func (st state) hasCompletion() bool { return st >= scoreWaiting }

// slotIndex maps states to slots. Slots are numbered in the order in which they
// should start, so the smallest of a set is the next one.
type slotIndex struct {
	sets   [stateCount]*roaring.Bitmap
	counts [stateCount]int
}

func newSlotIndex() slotIndex {
	var x slotIndex
	for i := range x.sets {
		x.sets[i] = roaring.New()
	}
	return x
}

func (x *slotIndex) add(i int, st state) {
	x.sets[st].Add(uint32(i))
	x.counts[st]++
}

func (x *slotIndex) move(i int, from, to state) {
	x.sets[from].Remove(uint32(i))
	x.counts[from]--
	x.add(i, to)
}

// first returns the smallest slot in a state; ok is false when there is none.
func (x *slotIndex) first(st state) (i int, ok bool) {
	if x.counts[st] == 0 {
		return 0, false
	}
	return int(x.sets[st].Minimum()), true
}

// list returns a copy, so that the caller may move slots while it iterates.
func (x *slotIndex) list(st state) []uint32 { return x.sets[st].ToArray() }
