package host

import (
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// LeavingPath is the path at which a checker sets and reads the leaving state.
const LeavingPath = "/_standin/leaving"

// LeavingState says whether an upstream is leaving. It also records the work that still arrives
// afterwards, for checkers. It is safe for concurrent use.
type LeavingState struct {
	mu           sync.Mutex
	leavingSince time.Time // zero: not leaving
	lastStart    time.Time // start of the last work since leavingSince
	started      int       // pieces of work started since leavingSince
}

// LeavingReport describes the work that an upstream started while it was leaving.
type LeavingReport struct {
	Leaving bool `json:"leaving"`
	// StartedSince is the number of pieces of work started since the upstream began to
	// leave, LastStartMillis the time from then to the last start, in ms.
	StartedSince    int   `json:"begun_since"`
	LastStartMillis int64 `json:"last_begun_after_ms"`
}

// Set sets whether the upstream is leaving, and clears the record of work.
func (l *LeavingState) Set(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince, l.lastStart, l.started = time.Time{}, time.Time{}, 0
	if leaving {
		l.leavingSince = time.Now()
	}
}

// IsLeaving reports whether the upstream is leaving.
func (l *LeavingState) IsLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.leavingSince.IsZero()
}

// RecordStart records the start of a piece of work if the upstream is leaving.
func (l *LeavingState) RecordStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leavingSince.IsZero() {
		return
	}
	l.lastStart = time.Now()
	l.started++
}

// Report returns the work started since the upstream began to leave.
func (l *LeavingState) Report() LeavingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := LeavingReport{Leaving: !l.leavingSince.IsZero(), StartedSince: l.started}
	if l.started > 0 {
		report.LastStartMillis = l.lastStart.Sub(l.leavingSince).Milliseconds()
	}
	return report
}

// Wrap returns a handler that adds the leaving state and the request's id to the headers of
// every response, and serves LeavingPath.
func (l *LeavingState) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == LeavingPath {
			l.serve(w, r)
			return
		}
		if l.IsLeaving() {
			w.Header().Set(wire.HeaderLeaving, "true")
		}
		if id := r.Header.Get(wire.HeaderRequestID); id != "" {
			w.Header().Set(wire.HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// serve sets the leaving state (POST) and responds with the report. A POST without a body
// starts leaving.
func (l *LeavingState) serve(w http.ResponseWriter, r *http.Request) {
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
