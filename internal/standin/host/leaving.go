package host

import (
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// LeavingPath is where an upstream is told that it leaves.
const LeavingPath = "/_standin/leaving"

// Leaving is the state of an upstream that may be leaving. It also remembers
// when the last work came in after that, for proofs. Safe for concurrent use.
type Leaving struct {
	mu    sync.Mutex
	since time.Time // zero: not leaving
	last  time.Time // last work begun since then
	begun int
}

// LeavingReport says what came in after an upstream began to leave.
type LeavingReport struct {
	Leaving bool `json:"leaving"`
	// Begun counts the work begun since, LastMillis says how long after the
	// beginning of leaving the last of it came in.
	Begun      int   `json:"begun_since"`
	LastMillis int64 `json:"last_begun_after_ms"`
}

// Set begins or ends leaving.
func (l *Leaving) Set(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since, l.last, l.begun = time.Time{}, time.Time{}, 0
	if leaving {
		l.since = time.Now()
	}
}

// Active says whether the upstream is leaving.
func (l *Leaving) Active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero()
}

// Begin notes that a piece of work begins now.
func (l *Leaving) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return
	}
	l.last = time.Now()
	l.begun++
}

// Report returns what came in since leaving began.
func (l *Leaving) Report() LeavingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := LeavingReport{Leaving: !l.since.IsZero(), Begun: l.begun}
	if l.begun > 0 {
		report.LastMillis = l.last.Sub(l.since).Milliseconds()
	}
	return report
}

// Wrap names the leaving state and the request's id in every answer, and
// serves LeavingPath.
func (l *Leaving) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == LeavingPath {
			l.serve(w, r)
			return
		}
		if l.Active() {
			w.Header().Set(wire.HeaderLeaving, "true")
		}
		if id := r.Header.Get(wire.HeaderRequestID); id != "" {
			w.Header().Set(wire.HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Leaving) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body := struct {
			Leaving bool `json:"leaving"`
		}{Leaving: true}
		if r.ContentLength != 0 && !ReadJSON(w, r, &body) {
			return
		}
		l.Set(body.Leaving)
	}
	WriteJSON(w, http.StatusOK, l.Report())
}
