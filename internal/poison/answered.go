package poison

import "time"

const (
	// answeredTTL is the minimum time for which an answered request is remembered.
	answeredTTL = 5 * time.Minute
	// maxAnswered bounds the requests that are remembered from one answeredTTL.
	maxAnswered = 16384
)

// AnsweredRequests is the set of requests that an upstream has answered recently. A request that
// a service answers again and again needs no protection against crashes. AnsweredRequests does
// no I/O and reads no clock; it is not safe for concurrent use.
type AnsweredRequests struct {
	current, previous map[Fingerprint]struct{} // generations, see rotate
	currentSince      time.Time
}

// NewAnsweredRequests returns an empty set.
func NewAnsweredRequests() *AnsweredRequests {
	return &AnsweredRequests{current: map[Fingerprint]struct{}{}, previous: map[Fingerprint]struct{}{}}
}

// Add records that an upstream answered the request.
func (a *AnsweredRequests) Add(fp Fingerprint, now time.Time) {
	a.rotate(now)
	a.current[fp] = struct{}{}
}

// Has reports whether an upstream answered the request recently.
func (a *AnsweredRequests) Has(fp Fingerprint, now time.Time) bool {
	a.rotate(now)
	_, inCurrent := a.current[fp]
	_, inPrevious := a.previous[fp]
	return inCurrent || inPrevious
}

// rotate starts a new generation if the current one is full or answeredTTL old. The
// current one becomes the previous one, which is kept until the next rotation.
func (a *AnsweredRequests) rotate(now time.Time) {
	if now.Sub(a.currentSince) < answeredTTL && len(a.current) < maxAnswered {
		return
	}
	a.previous, a.current = a.current, map[Fingerprint]struct{}{}
	a.currentSince = now
}
