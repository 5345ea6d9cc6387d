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

// maxBody is the largest accepted request body, in bytes.
const maxBody = 32 << 20

// WrapHandler returns a handler that serves the fault API on Path and applies the active
// faults to all other requests.
func (in *Injector) WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			in.serveFaultAPI(w, r)
			return
		}
		if isCheckerPath(r.URL.Path) {
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
		if !in.applyRequestFaults(w, r, texts) {
			return
		}
		in.runWithResponseFault(w, r, next, texts)
	})
}

// isCheckerPath reports whether a path is used by test checkers and isn't part of the
// simulated API. Faults don't apply to these paths.
func isCheckerPath(path string) bool {
	return path == "/counts" || path == "/truth" || strings.HasPrefix(path, "/_standin/")
}

// applyRequestFaults applies the faults that take effect before a request is executed.
// It returns false if the request must not be executed. texts are the request line and
// the body, for Spec.Match.
func (in *Injector) applyRequestFaults(w http.ResponseWriter, r *http.Request, texts []string) bool {
	if _, hit := in.Consume(Crash, texts...); hit {
		in.crash()
		panic(http.ErrAbortHandler)
	}
	if _, hit := in.Consume(Outage, texts...); hit {
		http.Error(w, "stand-in: injected outage", http.StatusServiceUnavailable)
		return false
	}
	if _, hit := in.Consume(Refuse, texts...); hit {
		w.Header().Set(wire.HeaderNotRun, "true")
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		http.Error(w, "stand-in: injected refusal", http.StatusServiceUnavailable)
		return false
	}
	if _, hit := in.Consume(Reset, texts...); hit {
		abortConnection(w, true)
	}
	if s, hit := in.Consume(Slow, texts...); hit {
		sleep(r, s.delay(0))
	}
	return true
}

// runWithResponseFault executes the request and applies at most one fault to its
// response.
func (in *Injector) runWithResponseFault(w http.ResponseWriter, r *http.Request, next http.Handler, texts []string) {
	if s, hit := in.Consume(Crossed, texts...); hit {
		in.swapResponse(w, r, next, s)
		return
	}
	if _, hit := in.Consume(AnswerLost, texts...); hit {
		recordResponse(next, r)
		abortConnection(w, true)
	}
	if s, hit := in.Consume(Late, texts...); hit {
		const defaultDelay = time.Second
		response := recordResponse(next, r)
		sleep(r, s.delay(defaultDelay))
		response.writeTo(w)
		return
	}
	if s, hit := in.Consume(ResetBody, texts...); hit {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, remaining: s.bodyBytes(), onLimit: func() { abortConnection(w, true) }}, r)
		return
	}
	if s, hit := in.Consume(Truncate, texts...); hit {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, remaining: s.bodyBytes(), onLimit: func() { abortConnection(w, false) }}, r)
		return
	}
	if s, hit := in.Consume(EndEarly, texts...); hit {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, remaining: s.bodyBytes()}, r)
		return
	}
	next.ServeHTTP(w, r)
}

// serveFaultAPI adds a fault (POST), removes all (DELETE) or lists them (GET).
func (in *Injector) serveFaultAPI(w http.ResponseWriter, r *http.Request) {
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
		_ = in.applyExcept(spec, connOf(r.Context()))
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		in.Clear()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(in.Active())
	default:
		http.Error(w, "method not allowed: use POST, GET or DELETE", http.StatusMethodNotAllowed)
	}
}

// sleep waits for d, or until the client cancels the request.
func sleep(r *http.Request, d time.Duration) {
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
