// Package httpapi serves the three HTTP ports: production callers, trainers and
// administration. It checks and decodes requests, calls internal/command or
// internal/query and writes their results; it decides nothing else.
package httpapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// Problem is an error document of RFC 9457. Outcome says whether the request
// ran; RetryAfter repeats the header in seconds.
type Problem struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail,omitempty"`
	Outcome    outcome.Outcome `json:"outcome"`
	RetryAfter int             `json:"retry_after,omitempty"`
	RequestID  string          `json:"request_id,omitempty"`
}

var statusOf = map[command.Kind]int{
	command.Invalid:     http.StatusUnprocessableEntity,
	command.TooLarge:    http.StatusRequestEntityTooLarge,
	command.Forbidden:   http.StatusForbidden,
	command.NotFound:    http.StatusNotFound,
	command.Conflict:    http.StatusConflict,
	command.Overloaded:  http.StatusTooManyRequests,
	command.Unavailable: http.StatusServiceUnavailable,
	command.Failed:      http.StatusBadGateway,
	command.TimedOut:    http.StatusGatewayTimeout,
	command.Poisonous:   http.StatusServiceUnavailable,
	command.InProgress:  http.StatusConflict,
}

// problemOf describes an error to a client. What isn't a *command.Error is an
// internal fault, whose text stays inside.
func problemOf(err error) Problem {
	var e *command.Error
	if !errors.As(err, &e) {
		return Problem{Type: "about:blank", Title: http.StatusText(http.StatusInternalServerError), Status: http.StatusInternalServerError}
	}
	status := statusOf[e.Kind]
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: e.Detail, Outcome: e.Outcome, RetryAfter: seconds(e.RetryAfter),
	}
}

// seconds rounds up, since Retry-After has no fractions and too early is worse.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// defaultRetrySeconds is when to come back where the layers below don't say.
const defaultRetrySeconds = 1

// refusal is refuse for those that return it.
func refusal(status int, detail string) *Problem {
	p := refuse(status, detail)
	return &p
}

// refuse is a problem found before anything ran.
func refuse(status int, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: outcome.NotRun}
}

func (p Problem) write(w http.ResponseWriter) {
	metrics.Counter("http_problem_" + strconv.Itoa(p.Status)).Add(1)
	p.RequestID = w.Header().Get(headerRequestID)
	if p.RetryAfter <= 0 && asksToComeBack(p.Status) {
		p.RetryAfter = defaultRetrySeconds
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	data, _ := json.Marshal(p) // plain fields: it can't fail
	writeBody(w, p.Status, problemType, data)
}

// asksToComeBack is true of the statuses that promise a Retry-After; a poisonous
// request's 503 is among them.
func asksToComeBack(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeBody(w, status, "application/json", data)
}

// writeBody states the length, so that an answer that is cut off shows as such.
func writeBody(w http.ResponseWriter, status int, mediaType string, data []byte) {
	data = append(data, '\n')
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
