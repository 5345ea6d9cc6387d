package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// naiveSample keeps all that happened to one sample and reads its standing from it anew.
type naiveSample struct{ past []happening }

type happening struct {
	events       int
	crash, alone bool
	at           time.Duration
}

func (n *naiveSample) standing() (Standing, time.Duration) {
	var all, inRow, point int
	var last time.Duration
	alone := false
	for _, h := range n.past {
		further := all > 0 && h.events >= point+proven
		if further && (h.crash || all < trialAfterAll) {
			inRow = 0
		}
		if further && !h.crash && all < trialAfterAll {
			alone = false
		}
		if h.crash {
			all, inRow, last = all+1, inRow+1, h.at
			point = max(point, h.events)
			alone = alone || h.alone
		}
	}
	switch {
	case inRow < trialAt && all < trialAfterAll:
		return Ordinary, 0
	case !alone:
		return Trial, 0
	}
	return Crasher, last + CrasherPause
}

func standingOf(s *Samples[string]) Standing {
	at, _ := s.Standing("x")
	return at
}

// A sample ends its engine at one event of its text, each time.
func TestCrasherRunsAloneFromItsThirdEngineOn(t *testing.T) {
	g := NewWithT(t)
	s := NewSamples[string]()
	s.Crashed("x", "a", 7, false, time.Second)
	g.Expect(standingOf(s)).To(Equal(Ordinary))
	s.Crashed("x", "b", 7, false, 2*time.Second)
	g.Expect(standingOf(s)).To(Equal(Trial))
	s.Crashed("x", "b", 7, true, 3*time.Second)
	g.Expect(standingOf(s)).To(Equal(Trial), "known already")
	s.Crashed("x", "c", 7, true, 3*time.Second)
	at, from := s.Standing("x")
	g.Expect(at).To(Equal(Crasher))
	g.Expect(from).To(Equal(3*time.Second + CrasherPause))
}

// Samples that shared an engine with such a one move on with it and share the next.
func TestSampleIsClearedPastThePointOfItsCrash(t *testing.T) {
	g := NewWithT(t)
	s := NewSamples[string]()
	s.Crashed("x", "a", 7, false, time.Second)
	g.Expect(s.Progressed("x", 7+proven)).To(BeFalse(), "it was in no trial")
	s.Crashed("x", "b", 9, false, 2*time.Second)
	g.Expect(standingOf(s)).To(Equal(Ordinary))
	s.Crashed("x", "c", 9, false, 3*time.Second)
	g.Expect(standingOf(s)).To(Equal(Trial))
	g.Expect(s.Progressed("x", 9+proven-1)).To(BeFalse())
	g.Expect(s.Progressed("x", 9+proven)).To(BeTrue())
	g.Expect(standingOf(s)).To(Equal(Ordinary))
}

func TestSampleThatGetsFurtherEachTimeRunsAloneInTheEnd(t *testing.T) {
	g := NewWithT(t)
	s := NewSamples[string]()
	for n := range trialAfterAll {
		g.Expect(standingOf(s)).To(Equal(Ordinary))
		s.Crashed("x", fmt.Sprint(n), 10*n, false, time.Second)
	}
	g.Expect(standingOf(s)).To(Equal(Trial))
	g.Expect(s.Progressed("x", 100)).To(BeFalse())
	n, last := s.Crashes("x")
	g.Expect(n).To(Equal(trialAfterAll))
	g.Expect(last).To(Equal(time.Second))
}

func TestSamplesNotWantedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	s := NewSamples[string]()
	s.Crashed("x", "a", 1, false, 0)
	s.Keep(func(string) bool { return false })
	n, _ := s.Crashes("x")
	g.Expect(n).To(BeZero())
}

func TestSamplesAgainstNaive(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 3))
		s, n := NewSamples[string](), &naiveSample{}
		now, events := time.Duration(0), 0
		for range 12 {
			now += time.Duration(random.IntN(1000)) * time.Millisecond
			events += random.IntN(4)
			h := happening{events: events, crash: random.IntN(2) == 0, alone: random.IntN(3) == 0, at: now}
			n.past = append(n.past, h)
			if h.crash {
				s.Crashed("x", fmt.Sprint(len(n.past)), h.events, h.alone, now)
			} else {
				s.Progressed("x", h.events)
			}
			at, from := s.Standing("x")
			wantAt, wantFrom := n.standing()
			g.Expect(at).To(Equal(wantAt), "seed %d", seed)
			g.Expect(from).To(Equal(wantFrom), "seed %d", seed)
		}
	}
}
