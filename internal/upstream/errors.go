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

// maxRetryAfter bounds what an upstream may ask for.
const maxRetryAfter = time.Hour

// Bounds of an error answer: what is read at all, and what goes into an error's text.
const (
	maxErrorBody = 8 << 10
	maxErrorText = 512
)

// faults maps what the exchange saw to this package's faults.
var faults = map[exchange.Kind]Fault{
	exchange.Dial:      Refused,
	exchange.Reset:     Reset,
	exchange.Truncated: Truncated,
	exchange.Silent:    Silent,
	exchange.Malformed: Malformed,
	exchange.Cancelled: Cancelled,
}

// unsent is the error of a request that can't be sent at all.
func unsent(t Target, err error) *Error {
	return &Error{Fault: Malformed, Outcome: outcome.NotRun, Upstream: t.Name, Err: err}
}

// fromExchange turns a failure before the answer began.
func (k *call) fromExchange(err error) *Error {
	e := &Error{Fault: Malformed, Outcome: outcome.Unknown, Upstream: k.target.Name, Err: err}
	var f *exchange.Failure
	if !errors.As(err, &f) {
		return e
	}
	e.Fault = faults[f.Kind]
	if !f.Sent {
		e.Outcome = outcome.NotRun
	}
	return e
}

// fromAnswer turns a failure while the answer was read.
func (k *call) fromAnswer(answer *exchange.Answer, err error) *Error {
	e := k.fromExchange(err)
	e.Outcome = outcome.Unknown
	e.Leaving = isLeaving(answer.Header)
	e.Code = answer.Status
	return e
}

// fail is a fault that this package found in an answer.
func (k *call) fail(f Fault, answer *exchange.Answer, err error) *Error {
	e := k.fromAnswer(answer, err)
	e.Fault = f
	return e
}

// refusal is the error of an answer whose status isn't a success. "Not run" is
// believed only when the upstream says it in so many words: a bare 503 may come
// from a worker that failed half-way.
func (k *call) refusal(answer *exchange.Answer) *Error {
	e := k.fail(Status, answer, fmt.Errorf("status %d: %s", answer.Status, errorText(answer)))
	e.Outcome = outcome.Ran
	if saysNotRun(answer.Header) {
		e.Fault = Rejected
		e.Outcome = outcome.NotRun
	}
	e.RetryAfter = retryAfter(answer.Header)
	return e
}

// errorText reads the start of an error answer, as far as it comes.
func errorText(answer *exchange.Answer) string {
	data, err := answer.Whole(maxErrorBody)
	if err != nil {
		return "(no readable text)"
	}
	return strconv.QuoteToASCII(string(data[:min(len(data), maxErrorText)]))
}

func saysNotRun(h http.Header) bool { return h.Get(wire.HeaderNotRun) == "true" }

func isLeaving(h http.Header) bool { return h.Get(wire.HeaderLeaving) == "true" }

// retryAfter reads both forms of Retry-After. A date counts from the answer's
// own Date, so the two clocks needn't agree.
func retryAfter(h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if seconds, err := strconv.ParseInt(text, 10, 32); err == nil {
		return clamp(time.Duration(seconds) * time.Second)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return clamp(until.Sub(date))
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, 0), maxRetryAfter)
}
