package crashes

import "time"

const (
	// trialAt is how many upstreams in a row a sample may lose without getting further
	// before it runs alone. One is chance for most that shared it; the samples that moved
	// on with the one to blame get further at the next upstream, and are free of it.
	trialAt = 2
	// trialAfterAll is how many upstreams in all make it run alone however far it got: it
	// may crash them at no fixed point.
	trialAfterAll = 4
	// proven is how many events past the point of a crash show that it isn't the sample's:
	// more than an upstream may have made and not sent.
	proven = 2
	// CrasherPause passes between two runs of a sample that crashed an upstream alone. It
	// may not be given up, nor be kept off upstreams for five seconds, the time until it
	// has a place included.
	CrasherPause = 4 * time.Second
)

// Standing says how a sample may run.
type Standing int

// The standings.
const (
	Ordinary Standing = iota // among others
	Trial                    // alone, until it got past the point where upstreams crashed
	Crasher                  // alone, and with a pause after each upstream that it crashed
)

// String names the standing.
func (s Standing) String() string { return [...]string{"ordinary", "trial", "crasher"}[s] }

// Samples judges samples by the upstreams that crashed under them. Unlike a caller's
// request, a sample that crashes its upstream can't be refused: its batch keeps it until
// its retention ends. It does no I/O and has no lock or clock; time is passed in.
//
// Invariants:
//   - a sample that crashes each upstream at one point loses two among others, and from
//     the third on it runs alone;
//   - a sample that got proven events past its last crash is ordinary again, until it has
//     lost trialAfterAll.
type Samples[K comparable] struct {
	known map[K]*sample
}

// sample is what is known of one that lost an upstream.
type sample struct {
	inRow    int           // upstreams lost without getting further
	all      int           // upstreams lost
	point    int           // events had at the last crash
	upstream string        // incarnation that crashed last
	last     time.Duration // when that was
	alone    bool          // it was alone on one of them
}

// NewSamples returns an empty set.
func NewSamples[K comparable]() *Samples[K] { return &Samples[K]{known: map[K]*sample{}} }

// Crashed notes that an upstream crashed under a sample that had so many events. The end
// of one process counts once.
func (s *Samples[K]) Crashed(key K, upstream string, events int, alone bool, now time.Duration) {
	x := s.known[key]
	if x == nil {
		x = &sample{}
		s.known[key] = x
	}
	if x.upstream == upstream {
		return
	}
	x.upstream = upstream
	if x.all > 0 && events >= x.point+proven {
		x.inRow = 0
	}
	x.inRow++
	x.all++
	x.point = max(x.point, events)
	x.last = now
	x.alone = x.alone || alone
}

// Progressed notes how far a running sample is, and reports whether that ends a trial.
func (s *Samples[K]) Progressed(key K, events int) bool {
	x := s.known[key]
	if x == nil || x.inRow == 0 || x.all >= trialAfterAll || events < x.point+proven {
		return false
	}
	tried := x.inRow >= trialAt
	x.inRow, x.alone = 0, false
	return tried
}

// Standing returns how a sample may run, and from when on.
func (s *Samples[K]) Standing(key K) (Standing, time.Duration) {
	x := s.known[key]
	switch {
	case x == nil || x.inRow < trialAt && x.all < trialAfterAll:
		return Ordinary, 0
	case !x.alone:
		return Trial, 0
	}
	return Crasher, x.last + CrasherPause
}

// Crashes returns how many upstreams a sample has lost, and when it lost the last one.
func (s *Samples[K]) Crashes(key K) (n int, last time.Duration) {
	if x := s.known[key]; x != nil {
		return x.all, x.last
	}
	return 0, 0
}

// Keep forgets all samples but those wanted.
func (s *Samples[K]) Keep(wanted func(K) bool) {
	for key := range s.known {
		if !wanted(key) {
			delete(s.known, key)
		}
	}
}
