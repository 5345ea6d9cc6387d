package fault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// maxBody bounds what a stand-in reads of a request, in bytes.
const maxBody = 32 << 20

// Wrap returns a handler that takes faults on Path and brings them about on
// every other request.
func (in *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			in.serveFaults(w, r)
			return
		}
		if isProof(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		texts := []string{r.Method + " " + r.URL.RequestURI(), string(body)}
		if !in.before(w, r, texts) {
			return
		}
		in.run(w, r, next, texts)
	})
}

// isProof says whether a path belongs to the checkers and not to the system
// played; those answer also under faults.
func isProof(path string) bool {
	return path == "/counts" || path == "/truth" || strings.HasPrefix(path, "/_standin/")
}

// before brings about the faults that come before a request runs; it returns
// false when the request isn't to run.
func (in *Injector) before(w http.ResponseWriter, r *http.Request, texts []string) bool {
	if _, hit := in.Take(Crash, texts...); hit {
		in.crash()
		panic(http.ErrAbortHandler)
	}
	if _, hit := in.Take(Outage, texts...); hit {
		http.Error(w, "stand-in: outage", http.StatusServiceUnavailable)
		return false
	}
	if _, hit := in.Take(Refuse, texts...); hit {
		w.Header().Set(wire.HeaderNotRun, "true")
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		http.Error(w, "stand-in: refused", http.StatusServiceUnavailable)
		return false
	}
	if _, hit := in.Take(Reset, texts...); hit {
		abort(w, true)
	}
	if s, hit := in.Take(Slow, texts...); hit {
		pause(r, s.delay(0))
	}
	return true
}

// run runs the request under at most one of the faults of its answer.
func (in *Injector) run(w http.ResponseWriter, r *http.Request, next http.Handler, texts []string) {
	if s, hit := in.Take(Crossed, texts...); hit {
		in.cross(w, r, next, s)
		return
	}
	if _, hit := in.Take(AnswerLost, texts...); hit {
		record(next, r)
		abort(w, true)
	}
	if s, hit := in.Take(Late, texts...); hit {
		const usual = time.Second
		kept := record(next, r)
		pause(r, s.delay(usual))
		kept.writeTo(w)
		return
	}
	if s, hit := in.Take(ResetBody, texts...); hit {
		next.ServeHTTP(&cutWriter{ResponseWriter: w, left: s.bytes(), end: func() { abort(w, true) }}, r)
		return
	}
	if s, hit := in.Take(Truncate, texts...); hit {
		next.ServeHTTP(&cutWriter{ResponseWriter: w, left: s.bytes(), end: func() { abort(w, false) }}, r)
		return
	}
	if s, hit := in.Take(EndEarly, texts...); hit {
		next.ServeHTTP(&cutWriter{ResponseWriter: w, left: s.bytes()}, r)
		return
	}
	next.ServeHTTP(w, r)
}

func (in *Injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		spec, err := ParseSpec(raw)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = in.set(spec, connOf(r.Context()))
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		in.Clear()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(in.Active())
	default:
		http.Error(w, "POST, GET or DELETE", http.StatusMethodNotAllowed)
	}
}

// pause waits, or until the caller goes away.
func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
