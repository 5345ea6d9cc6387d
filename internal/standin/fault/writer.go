package fault

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// abortConnection ends the connection in the middle of the response, by a reset or by a
// normal close. It doesn't return.
func abortConnection(w http.ResponseWriter, reset bool) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		if c, ok := raw.(*faultyConn); ok && reset {
			c.resetOnClose()
		}
		_ = raw.Close()
	}
	panic(http.ErrAbortHandler)
}

// limitedWriter passes on a limited number of bytes of the body. At the limit it calls
// onLimit, which doesn't return; without onLimit it discards the rest.
type limitedWriter struct {
	http.ResponseWriter
	remaining     int // bytes still to pass on
	onLimit       func()
	headerWritten bool
}

func (w *limitedWriter) WriteHeader(status int) {
	w.headerWritten = true
	if w.onLimit == nil {
		// With a declared length the client would notice that the body is incomplete.
		w.Header().Del("Content-Length")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *limitedWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	n := min(len(p), w.remaining)
	w.remaining -= n
	if _, err := w.ResponseWriter.Write(p[:n]); err != nil {
		return 0, err
	}
	if w.remaining == 0 && w.onLimit != nil {
		w.Flush()
		w.onLimit()
	}
	return len(p), nil
}

// Flush implements http.Flusher.
func (w *limitedWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// recordedResponse is a complete response that is kept in memory, to be sent later or to
// another client.
type recordedResponse struct {
	header http.Header
	status int
	body   []byte
}

// recordResponse executes a request to its end, even if the client cancels it.
func recordResponse(next http.Handler, r *http.Request) *recordedResponse {
	response := &recordedResponse{header: http.Header{}, status: http.StatusOK}
	next.ServeHTTP(response, r.WithContext(context.WithoutCancel(r.Context())))
	return response
}

func (r *recordedResponse) Header() http.Header    { return r.header }
func (r *recordedResponse) WriteHeader(status int) { r.status = status }
func (r *recordedResponse) Flush()                 {}
func (r *recordedResponse) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

func (r *recordedResponse) writeTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// pendingSwap is the first response of a Crossed pair, waiting for the second.
type pendingSwap struct {
	own     *recordedResponse
	partner chan *recordedResponse // receives the second response
}

// swapResponse swaps the response of this request with that of the next request that a
// Crossed fault affects. If none arrives in time, the response is sent with a wrong
// request id.
func (in *Injector) swapResponse(w http.ResponseWriter, r *http.Request, next http.Handler, s Spec) {
	const defaultWait = 2 * time.Second
	swap := pendingSwap{own: recordResponse(next, r), partner: make(chan *recordedResponse, 1)}
	timer := time.NewTimer(s.delay(defaultWait))
	defer timer.Stop()
	select {
	case in.swaps <- swap:
		(<-swap.partner).writeTo(w)
	case first := <-in.swaps:
		first.partner <- swap.own
		first.own.writeTo(w)
	case <-timer.C:
		swap.own.header.Set(wire.HeaderRequestID, "crossed-without-partner")
		swap.own.writeTo(w)
	}
}
