package poison

import "time"

const (
	// answeredLife is how long an answer speaks for a request at least.
	answeredLife = 5 * time.Minute
	// maxAnswered bounds the requests of one answeredLife that are remembered.
	maxAnswered = 16384
)

// Answered holds the requests that an upstream has lately answered: what a service is
// asked again and again needs no care. It is pure and not safe for concurrent use.
type Answered struct {
	recent, former map[Fingerprint]struct{}
	since          time.Time // when recent began
}

// NewAnswered returns an empty set.
func NewAnswered() *Answered {
	return &Answered{recent: map[Fingerprint]struct{}{}, former: map[Fingerprint]struct{}{}}
}

// Add notes an answer.
func (a *Answered) Add(fp Fingerprint, now time.Time) {
	a.forget(now)
	a.recent[fp] = struct{}{}
}

// Has says whether a request was answered lately.
func (a *Answered) Has(fp Fingerprint, now time.Time) bool {
	a.forget(now)
	_, recent := a.recent[fp]
	_, former := a.former[fp]
	return recent || former
}

// forget starts anew when recent is full or old; what was in it lasts as long again.
func (a *Answered) forget(now time.Time) {
	if now.Sub(a.since) < answeredLife && len(a.recent) < maxAnswered {
		return
	}
	a.former, a.recent = a.recent, map[Fingerprint]struct{}{}
	a.since = now
}
