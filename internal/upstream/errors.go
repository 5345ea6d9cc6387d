package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// maxRetryAfter limits the wait that an upstream may ask for.
const maxRetryAfter = time.Hour

// Limits for the body of an error response: a longer body isn't read, and a longer text is cut
// off in the error.
const (
	maxErrorBodyBytes = 8 << 10
	maxErrorTextBytes = 512
)

// faultByKind maps the kinds of failure of an exchange to faults.
var faultByKind = map[exchange.Kind]Fault{
	exchange.Dial:      Refused,
	exchange.Reset:     Reset,
	exchange.Truncated: Truncated,
	exchange.Silent:    Silent,
	exchange.Malformed: Malformed,
	exchange.Cancelled: Cancelled,
	exchange.NoRoom:    Malformed,
}

// unsentError returns the error for a request that is invalid and was not sent.
func unsentError(t Target, err error) *Error {
	return &Error{Fault: Malformed, Outcome: outcome.NotRun, Upstream: t.Name, Err: err}
}

// exchangeError returns the error for a failure before the response header.
func (k *call) exchangeError(err error) *Error {
	e := &Error{Fault: Malformed, Outcome: outcome.Unknown, Upstream: k.target.Name, Err: err}
	var f *exchange.Failure
	if !errors.As(err, &f) {
		return e
	}
	e.Fault = faultByKind[f.Kind]
	if !f.Sent {
		e.Outcome = outcome.NotRun
	}
	return e
}

// responseError returns the error for a failure while the body was read.
func (k *call) responseError(resp *exchange.Response, err error) *Error {
	e := k.exchangeError(err)
	e.Outcome = outcome.Unknown
	e.Leaving = reportsLeaving(resp.Header)
	e.StatusCode = resp.Status
	return e
}

// responseFault returns the error for a fault that this package found in a response.
func (k *call) responseFault(f Fault, resp *exchange.Response, err error) *Error {
	e := k.responseError(resp, err)
	e.Fault = f
	return e
}

// statusError returns the error for a response whose status isn't a success. The outcome is
// NotRun only if the response has "X-Not-Run: true": a 503 without it may come from a worker
// that failed while it ran the request.
func (k *call) statusError(resp *exchange.Response) *Error {
	e := k.responseFault(Status, resp, fmt.Errorf("status %d: %s", resp.Status, bodyExcerpt(resp)))
	e.Outcome = outcome.Ran
	if reportsNotRun(resp.Header) {
		e.Fault = Rejected
		e.Outcome = outcome.NotRun
	}
	e.RetryAfter = parseRetryAfter(resp.Header)
	return e
}

// bodyExcerpt returns the start of the body of an error response, quoted, for the text of an
// error.
func bodyExcerpt(resp *exchange.Response) string {
	data, err := resp.ReadAll(maxErrorBodyBytes)
	if err != nil {
		return "(body not readable)"
	}
	return strconv.QuoteToASCII(string(data[:min(len(data), maxErrorTextBytes)]))
}

// reportsNotRun reports whether a response states that the request was not run.
func reportsNotRun(h http.Header) bool { return h.Get(wire.HeaderNotRun) == "true" }

// reportsLeaving reports whether the upstream announces in a response that it is shutting
// down.
func reportsLeaving(h http.Header) bool { return h.Get(wire.HeaderLeaving) == "true" }

// parseRetryAfter returns the wait in a Retry-After header, which is a number of seconds or a
// date, 0 if there is none. A date is compared with the Date of the response, so that the
// clocks of the two hosts needn't agree.
func parseRetryAfter(h http.Header) time.Duration {
	value := h.Get("Retry-After")
	if seconds, err := strconv.ParseInt(value, 10, 32); err == nil {
		return limitRetryAfter(time.Duration(seconds) * time.Second)
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return limitRetryAfter(until.Sub(date))
}

// limitRetryAfter limits a wait to the range from 0 to maxRetryAfter.
func limitRetryAfter(d time.Duration) time.Duration {
	return min(max(d, 0), maxRetryAfter)
}
