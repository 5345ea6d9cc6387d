package rollout

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// state is the state of a slot. The order matters to hasCompletion and dropStale.
type state uint8

const (
	closed       state = iota // needs no work: the trainer holds the group, or the group failed
	waiting                   // ready to start
	delayed                   // the last attempt failed; starts again at notBefore
	generating                // one attempt runs; dispatch may hedge it with a second copy
	scoreWaiting              // generated, ready to be scored
	scoreDelayed              // scoring failed; retried at notBefore
	scoring                   // being scored
	ready                     // generated and scored
	stateCount
)

// slot tracks one sample of the step. A step of 16,384 samples keeps 16,384 slots
// of about 80 bytes each in one slice.
type slot struct {
	state          state
	failures       uint8         // consecutive failures, at most maxFailures
	lastAttempt    uint32        // number of the latest attempt; attempts are numbered from 1
	runningAttempt uint32        // attempt that is generating, 0 if none
	firstVersion   ident.Version // version of the running attempt's first token, 0 if unknown
	probeTrip      uint32        // breaker.trip for which the running attempt is a probe, 0 if it isn't one
	notBefore      time.Duration // when the backoff ends, since the step's start; valid in a delayed state
	completion     *completion   // nil unless state.hasCompletion
}

// completion is a generated text. It is kept until the trainer holds its group.
type completion struct {
	attempt       uint32
	text          string
	segments      []Segment
	oldestVersion ident.Version // oldest version that generated a token
	reward        float64       // valid once the slot is ready
}

// isRunning reports whether the attempt is the one that the slot is generating.
// Results of any other attempt are ignored.
func (sl *slot) isRunning(attempt uint32) bool {
	return attempt != 0 && attempt == sl.runningAttempt
}

// hasCompletion reports whether a slot in this state keeps a completion.
func (st state) hasCompletion() bool { return st >= scoreWaiting }

// slotIndex maps states to the slots in them. Slots are numbered in the order in
// which they should start, so the smallest number in a set is the next slot to start.
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

// first returns the lowest slot number in a state. ok is false if there is none.
func (x *slotIndex) first(st state) (i int, ok bool) {
	if x.counts[st] == 0 {
		return 0, false
	}
	return int(x.sets[st].Minimum()), true
}

// list returns a copy of a state's slot numbers, so the caller may move slots while
// iterating over it.
func (x *slotIndex) list(st state) []uint32 { return x.sets[st].ToArray() }
