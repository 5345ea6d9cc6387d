package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// referenceSample keeps the whole history of one sample and computes from all of it each
// time how the sample may run.
type referenceSample struct{ history []sampleEvent }

type sampleEvent struct {
	events       int
	crash, alone bool
	at           time.Duration
}

func (r *referenceSample) runMode() (RunMode, time.Duration) {
	var total, consecutive, furthest int
	var lastCrash time.Duration
	crashedAlone := false
	for _, e := range r.history {
		margin := min(maxTrialMargin, progressMargin<<max(0, total-trialAfterTotal+1))
		advanced := total > 0 && e.events >= furthest+margin
		if advanced && !e.crash && consecutive > 0 {
			crashedAlone = false
		}
		if advanced {
			consecutive = 0
		}
		if e.crash {
			total, consecutive, lastCrash = total+1, consecutive+1, e.at
			furthest = max(furthest, e.events)
			crashedAlone = crashedAlone || e.alone
		}
	}
	switch {
	case consecutive == 0 || consecutive < trialAfterConsecutive && total < trialAfterTotal:
		return Ordinary, 0
	case !crashedAlone:
		return Trial, 0
	}
	return Crasher, lastCrash + CrasherPause
}

func runModeOf(s *SampleTracker[string]) RunMode {
	mode, _ := s.RunMode("x")
	return mode
}

// A sample crashes each engine at the same event of its text.
func TestCrasherRunsAloneFromItsThirdEngineOn(t *testing.T) {
	g := NewWithT(t)
	s := NewSampleTracker[string]()
	s.Crashed("x", "a", 7, false, time.Second)
	g.Expect(runModeOf(s)).To(Equal(Ordinary))
	s.Crashed("x", "b", 7, false, 2*time.Second)
	g.Expect(runModeOf(s)).To(Equal(Trial))
	s.Crashed("x", "b", 7, true, 3*time.Second)
	g.Expect(runModeOf(s)).To(Equal(Trial), "the crash of this engine is known already")
	s.Crashed("x", "c", 7, true, 3*time.Second)
	mode, notBefore := s.RunMode("x")
	g.Expect(mode).To(Equal(Crasher))
	g.Expect(notBefore).To(Equal(3*time.Second + CrasherPause))
}

// Samples that share an engine with one that crashes it move on to the next engine together
// with it, and lose that one too. Past the position of their crashes they must be ordinary
// again.
func TestSampleLeavesItsTrialPastThePositionOfItsCrash(t *testing.T) {
	g := NewWithT(t)
	s := NewSampleTracker[string]()
	s.Crashed("x", "a", 7, false, time.Second)
	g.Expect(s.Progressed("x", 7+progressMargin)).To(BeFalse(), "it had no trial")
	s.Crashed("x", "b", 9, false, 2*time.Second)
	g.Expect(runModeOf(s)).To(Equal(Ordinary))
	s.Crashed("x", "c", 9, false, 3*time.Second)
	g.Expect(runModeOf(s)).To(Equal(Trial))
	g.Expect(s.Progressed("x", 9+progressMargin-1)).To(BeFalse())
	g.Expect(s.Progressed("x", 9+progressMargin)).To(BeTrue())
	g.Expect(runModeOf(s)).To(Equal(Ordinary))
}

// A sample that crashes upstreams at no fixed position must run alone after each crash from the
// fourth on, for more events each time.
func TestSampleThatGetsFurtherEachTimeRunsAloneAfterFourCrashes(t *testing.T) {
	g := NewWithT(t)
	s := NewSampleTracker[string]()
	for n := range trialAfterTotal {
		g.Expect(runModeOf(s)).To(Equal(Ordinary))
		s.Crashed("x", fmt.Sprint(n), 10*n, false, time.Second)
	}
	n, last := s.CrashCount("x")
	g.Expect(n).To(Equal(trialAfterTotal))
	g.Expect(last).To(Equal(time.Second))
	position := 30
	for _, margin := range []int{4, 8, 8} {
		g.Expect(runModeOf(s)).To(Equal(Trial))
		g.Expect(s.Progressed("x", position+margin-1)).To(BeFalse())
		g.Expect(s.Progressed("x", position+margin)).To(BeTrue())
		g.Expect(runModeOf(s)).To(Equal(Ordinary))
		position += 20
		s.Crashed("x", fmt.Sprint(position), position, false, time.Second)
	}
}

// Engines die in a burst under a sound sample; once they are up again it must not run alone to its
// end, nor stay paused as a crasher.
func TestSoundSampleIsOrdinaryAgainAfterManyCrashes(t *testing.T) {
	g := NewWithT(t)
	s := NewSampleTracker[string]()
	for n := range 15 {
		s.Crashed("x", fmt.Sprint(n), 7, n%3 == 2, time.Second)
	}
	g.Expect(runModeOf(s)).To(Equal(Crasher))
	g.Expect(s.Progressed("x", 7+maxTrialMargin)).To(BeTrue())
	g.Expect(runModeOf(s)).To(Equal(Ordinary))
}

func TestSamplesNotWantedAreDropped(t *testing.T) {
	g := NewWithT(t)
	s := NewSampleTracker[string]()
	s.Crashed("x", "a", 1, false, 0)
	s.RetainOnly(func(string) bool { return false })
	n, _ := s.CrashCount("x")
	g.Expect(n).To(BeZero())
}

func TestSamplesAgainstReferenceModel(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 3))
		s, reference := NewSampleTracker[string](), &referenceSample{}
		now, events := time.Duration(0), 0
		for range 12 {
			now += time.Duration(random.IntN(1000)) * time.Millisecond
			events += random.IntN(4)
			e := sampleEvent{events: events, crash: random.IntN(2) == 0, alone: random.IntN(3) == 0, at: now}
			reference.history = append(reference.history, e)
			if e.crash {
				s.Crashed("x", fmt.Sprint(len(reference.history)), e.events, e.alone, now)
			} else {
				s.Progressed("x", e.events)
			}
			mode, notBefore := s.RunMode("x")
			wantMode, wantNotBefore := reference.runMode()
			g.Expect(mode).To(Equal(wantMode), "seed %d", seed)
			g.Expect(notBefore).To(Equal(wantNotBefore), "seed %d", seed)
		}
	}
}
