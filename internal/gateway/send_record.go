package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// sendRecord describes one send in the log line of a call that was refused or sent more
// than once.
type sendRecord struct {
	upstream  string        // incarnation
	load      int           // load last reported by the upstream before the send, -1: unknown
	loadAge   time.Duration // age of that report
	startedAt time.Time
	outcome   string        // "": none yet
	duration  time.Duration // until the outcome
}

// String formats the record for the log field "tried".
func (r sendRecord) String() string {
	outcome, duration := r.outcome, r.duration
	if outcome == "" {
		outcome, duration = "no answer", time.Since(r.startedAt)
	}
	return fmt.Sprintf("%s load=%d age=%dms %s after %dms", r.upstream, r.load, r.loadAge.Milliseconds(), outcome, duration.Milliseconds())
}

// loadForLog returns the reported load as a number for logs, -1 if it is unknown.
func loadForLog(r *loadreport.Report) int {
	if r == nil {
		return -1
	}
	return r.Load()
}

// recordOutcome adds the outcome of a send to its record.
func (a *activeCall) recordOutcome(r sendResult) {
	for i := range a.sendRecords {
		record := &a.sendRecords[i]
		if record.upstream == r.upstream.Incarnation() && record.outcome == "" {
			record.outcome, record.duration = r.outcome(), r.duration
			return
		}
	}
}

// sendSummaries returns the records of all sends as text.
func (a *activeCall) sendSummaries() []string {
	out := make([]string, len(a.sendRecords))
	for i, record := range a.sendRecords {
		out[i] = record.String()
	}
	return out
}

// outcome returns a short text for the log: the kind of failure, "refused" or the status.
func (r sendResult) outcome() string {
	var f *exchange.Failure
	switch {
	case errors.As(r.err, &f):
		return f.Kind.String()
	case r.err != nil:
		return r.err.Error()
	case r.response.NotRun:
		return "refused"
	}
	return strconv.Itoa(r.response.Status)
}
