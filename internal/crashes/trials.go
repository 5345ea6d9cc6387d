package crashes

import (
	"cmp"
	"slices"
	"time"
)

// IsolateSuspects reports whether samples that lost engines have to run alone, given how many
// wait or run that haven't got past the crash, and the slots of an engine.
//
// A sample that crashes its engines shares each with fewer others than an engine has slots, so it
// leaves at most so many suspects. More than that were crashed by something else; run one after
// the other, sound samples would wait for the trials of all before them.
func IsolateSuspects(suspects, slots int) bool { return suspects <= slots }

// TrialCandidate is a waiting sample that has to run alone.
type TrialCandidate[K comparable] struct {
	Key         K
	NotBefore   time.Duration
	LastCrash   time.Duration // when it lost an engine last
	MinVersion  int64         // oldest weights version that may run it
	AvoidEngine string        // incarnation that runs it only if no other one can
}

// TrialEngine is an engine on which a sample may run alone.
type TrialEngine struct {
	ID      string // incarnation
	Version int64  // of the weights
	Running int    // runs in progress
	InTrial bool   // a sample runs alone on it
}

// TrialStart starts a sample alone on an engine.
type TrialStart[K comparable] struct {
	Key    K
	Engine string // incarnation
}

// TrialPlan is what PlanTrials decides.
type TrialPlan[K comparable] struct {
	Start []TrialStart[K]
	Evict []string // incarnations whose runs move elsewhere, so that a trial can start there
}

// PlanTrials decides which samples start alone on which engines. engines are those that are up
// and accept samples, ordinary is the number of samples that run or wait beside others.
//
// The engines are divided between trials and other samples by the numbers of both, and at least
// one stays for the other samples. Where a trial would take the last one, it waits as long after
// its last crash as a known crasher does.
func PlanTrials[K comparable](candidates []TrialCandidate[K], engines []TrialEngine, ordinary int, now time.Duration) TrialPlan[K] {
	var plan TrialPlan[K]
	free := slices.DeleteFunc(slices.Clone(engines), func(e TrialEngine) bool { return e.InTrial })
	running := len(engines) - len(free)
	limit := trialLimit(len(engines), running+len(candidates), ordinary)
	due := slices.DeleteFunc(slices.Clone(candidates), func(c TrialCandidate[K]) bool { return c.NotBefore > now })
	slices.SortStableFunc(due, func(a, b TrialCandidate[K]) int { return cmp.Compare(a.NotBefore, b.NotBefore) })
	for _, c := range due {
		if running >= limit {
			break
		}
		i, ok := c.pickEngine(free, now)
		if !ok {
			continue
		}
		if e := free[i]; e.Running > 0 {
			plan.Evict = append(plan.Evict, e.ID) // the trial starts once its runs have ended
		} else {
			plan.Start = append(plan.Start, TrialStart[K]{c.Key, e.ID})
		}
		free = slices.Delete(free, i, i+1)
		running++
	}
	return plan
}

// trialLimit returns how many engines may have a trial at the same time.
func trialLimit(engines, suspects, ordinary int) int {
	if suspects == 0 {
		return 0
	}
	return max(1, min(engines-1, engines*suspects/(suspects+ordinary)))
}

// pickEngine returns the index of the engine for a candidate's trial: of those with weights that
// are new enough the one with the fewest runs.
func (c TrialCandidate[K]) pickEngine(free []TrialEngine, now time.Duration) (best int, ok bool) {
	rank := func(e TrialEngine) int {
		rank := 2 * e.Running
		if e.ID == c.AvoidEngine {
			rank++
		}
		return rank
	}
	usable := 0
	for i, e := range free {
		if e.Version < c.MinVersion {
			continue
		}
		usable++
		if !ok || rank(e) < rank(free[best]) {
			best, ok = i, true
		}
	}
	return best, ok && (usable > 1 || now >= c.LastCrash+CrasherPause)
}
