package crashes

import "time"

const (
	// trialAfterConsecutive is the number of upstreams that a sample may lose in a row,
	// without getting further, before it runs alone. One lost upstream is a coincidence
	// for most of the samples that shared it. Those that shared it with the sample to
	// blame, and move on with it, get further on their next upstream, which clears them.
	trialAfterConsecutive = 2
	// trialAfterTotal is the number of upstreams lost in total from which each further one
	// leads to a trial, however far the sample got: it may crash them at no fixed position.
	trialAfterTotal = 4
	// progressMargin is how many events past the position of a crash show that the sample
	// didn't cause it: more than an upstream may have produced and not yet sent.
	progressMargin = 2
	// maxTrialMargin bounds the same for samples that lost trialAfterTotal upstreams or more.
	// Each sample waits for the trials of those before it, so a trial must be short.
	maxTrialMargin = 8
	// CrasherPause is the pause between two runs of a sample that crashed an upstream
	// while it ran alone. Such a sample may not be given up, nor be kept off upstreams for
	// five seconds, which include the time until it has a slot.
	CrasherPause = 4 * time.Second
)

// RunMode says how a sample may run.
type RunMode int

// The ways to run.
const (
	Ordinary RunMode = iota // beside other samples
	Trial                   // alone, until it is past the position where upstreams crashed
	Crasher                 // alone, and with a pause after each upstream that it crashed
)

// String returns the name used in logs.
func (s RunMode) String() string { return [...]string{"ordinary", "trial", "crasher"}[s] }

// SampleTracker tracks the upstreams that crashed under samples and decides how each sample may
// run. Unlike a caller's request, a sample that crashes its upstreams can't be refused: its
// batch keeps it until the batch's retention ends. SampleTracker does no I/O and has no lock or
// clock; the caller passes the time in.
//
// Invariants:
//   - a sample that crashes each upstream at the same position loses two that it shares
//     with other samples, and runs alone from the third one on;
//   - a sample that got its margin of events past its last crash is ordinary again, however many
//     upstreams it has lost: a burst of crashes that had other causes keeps no sample waiting.
type SampleTracker[K comparable] struct {
	byKey map[K]*sampleState // samples that lost an upstream
}

// sampleState is what is known of a sample that lost an upstream.
type sampleState struct {
	consecutive  int           // upstreams lost in a row without getting further
	total        int           // upstreams lost
	furthest     int           // position: the most events that it had at one of the crashes
	lastUpstream string        // incarnation that crashed last
	lastCrash    time.Duration // when that was
	crashedAlone bool          // it was alone on one of the upstreams
}

// needsTrial reports whether the sample must run alone.
func (s *sampleState) needsTrial() bool {
	return s.consecutive >= trialAfterConsecutive || s.consecutive > 0 && s.total >= trialAfterTotal
}

// margin returns how many events past the position of its last crash clear the sample. It doubles
// with each upstream from the fourth on.
func (s *sampleState) margin() int {
	margin := progressMargin
	for n := trialAfterTotal; n <= s.total && margin < maxTrialMargin; n++ {
		margin *= 2
	}
	return margin
}

// NewSampleTracker returns an empty set.
func NewSampleTracker[K comparable]() *SampleTracker[K] {
	return &SampleTracker[K]{byKey: map[K]*sampleState{}}
}

// Crashed records that an upstream crashed while a sample ran on it and had this many
// events. alone says that no other sample ran there. The crash of one process counts once.
func (s *SampleTracker[K]) Crashed(key K, upstream string, events int, alone bool, now time.Duration) {
	state := s.byKey[key]
	if state == nil {
		state = &sampleState{}
		s.byKey[key] = state
	}
	if state.lastUpstream == upstream {
		return
	}
	state.lastUpstream = upstream
	if state.total > 0 && events >= state.furthest+state.margin() {
		state.consecutive = 0
	}
	state.consecutive++
	state.total++
	state.furthest = max(state.furthest, events)
	state.lastCrash = now
	state.crashedAlone = state.crashedAlone || alone
}

// Progressed takes the number of events that a running sample has, and reports whether that
// ends its trial.
func (s *SampleTracker[K]) Progressed(key K, events int) bool {
	state := s.byKey[key]
	if state == nil || state.consecutive == 0 || events < state.furthest+state.margin() {
		return false
	}
	inTrial := state.needsTrial()
	state.consecutive, state.crashedAlone = 0, false
	return inTrial
}

// RunMode returns how a sample may run, and from what time on.
func (s *SampleTracker[K]) RunMode(key K) (RunMode, time.Duration) {
	state := s.byKey[key]
	switch {
	case state == nil || !state.needsTrial():
		return Ordinary, 0
	case !state.crashedAlone:
		return Trial, 0
	}
	return Crasher, state.lastCrash + CrasherPause
}

// CrashCount returns how many upstreams a sample has lost, and when it lost the last one.
func (s *SampleTracker[K]) CrashCount(key K) (n int, last time.Duration) {
	if state := s.byKey[key]; state != nil {
		return state.total, state.lastCrash
	}
	return 0, 0
}

// RetainOnly drops the samples that aren't wanted.
func (s *SampleTracker[K]) RetainOnly(wanted func(K) bool) {
	for key := range s.byKey {
		if !wanted(key) {
			delete(s.byKey, key)
		}
	}
}
