package gateway

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// waitEstimator estimates how long requests wait in the queues of upstreams.
type waitEstimator interface {
	// expectedWait returns how long a request that is sent now to an incarnation of an upstream
	// waits there before it runs. It reports false if that is unknown.
	expectedWait(incarnation string, now time.Duration) (time.Duration, bool)
}

var (
	// Of the customers' sends without an answer, those that were taken not to have begun, and
	// those that were counted without knowledge of the upstream's queue.
	sendsNotBegun    = metrics.Counter("usage_sends_not_begun")
	sendsWaitUnknown = metrics.Counter("usage_sends_wait_unknown")
)

// beginTransmission returns a transmission to an upstream that starts now. It must be called
// before the request is sent, since the wait that an upstream reports later includes the request.
func (g *Gateway) beginTransmission(u registry.Upstream) usage.Transmission {
	now := g.now()
	wait, known := g.waits.expectedWait(u.Incarnation(), now)
	return usage.Transmission{SentAt: now, ExpectedWait: wait, WaitKnown: known}
}

// countRun counts the run of a customer's request if a transmission with this outcome led to one.
func (g *Gateway) countRun(call *Call, t usage.Transmission, response *Response, err error) {
	if g.usage == nil || call.Customer == "" {
		return
	}
	t.EndedAt, t.Outcome = g.now(), transmissionOutcome(response, err)
	at, begun := t.RunStart()
	if begun {
		g.recordRun(call, t.EndedAt-at)
	}
	switch {
	case t.Outcome != usage.Unanswered:
	case !begun:
		sendsNotBegun.Add(1)
	case !t.WaitKnown:
		sendsWaitUnknown.Add(1)
	}
}

// recordRun counts a run of a customer's request that began the given time ago.
func (g *Gateway) recordRun(call *Call, ago time.Duration) {
	if g.usage != nil && call.Customer != "" {
		g.usage.RecordRun(call.Customer, ago)
	}
}

func transmissionOutcome(response *Response, err error) usage.Outcome {
	switch {
	case !mayHaveRun(response, err):
		return usage.NotRun
	case foundNoRoom(err): // for the answer, whose header arrived
		return usage.Answered
	case err != nil:
		return usage.Unanswered
	}
	return usage.Answered
}
