package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// CrashTracker records which requests crash the upstreams that run them.
type CrashTracker interface {
	// Blocked reports whether a request has crashed so many upstreams that it must not be
	// sent.
	Blocked(request poison.Fingerprint) bool
	// RetryDelay returns how long a blocked request must wait that is never refused for good, 0:
	// it may be sent now.
	RetryDelay(request poison.Fingerprint) time.Duration
	// RecordCrash records that an upstream, named by its incarnation, crashed while it ran a
	// request.
	RecordCrash(ctx context.Context, request poison.Fingerprint, upstream string)
	// RecordSuccess drops all crashes recorded for a request.
	RecordSuccess(ctx context.Context, request poison.Fingerprint)
}

const (
	// retryAfterCrash is the Retry-After time of requests that are blocked.
	retryAfterCrash = time.Second
	// crashCheckDelay is the time between a broken connection and the check whether the
	// upstream crashed. A crashed upstream is down for seconds, so the check still finds
	// it down. Meanwhile a request that succeeds on a retry shows that it is harmless, and
	// no crash is recorded for it.
	crashCheckDelay = 300 * time.Millisecond
	// crashCheckTime is the time from a crash until it is recorded, unless the check hangs.
	crashCheckTime = 2 * crashCheckDelay
	// crashCheckTimeout bounds the check and the recording of a crash together.
	crashCheckTimeout = 3 * time.Second
)

// computeFingerprint identifies a request by its host, method, target and body,
// independent of the caller and of the call's ID.
func (c *Call) computeFingerprint() poison.Fingerprint {
	return poison.FingerprintOf(c.Host, c.Method, c.Target, string(c.Body))
}

// refuseCrasher refuses a request that has crashed too many upstreams. Otherwise each retry by its
// caller would take down another upstream that other callers need. A durable one is only
// delayed, and then run by one upstream at most.
func (g *Gateway) refuseCrasher(call *Call) *Refusal {
	call.requestFingerprint = call.computeFingerprint()
	if !g.crashes.Blocked(call.requestFingerprint) {
		return nil
	}
	retryAfter := retryAfterCrash
	if call.Durable {
		if retryAfter = g.crashes.RetryDelay(call.requestFingerprint); retryAfter == 0 {
			call.runOnce = true
			return nil
		}
	}
	callsRefused.Add(1)
	g.log.Warn().Str("request", call.ID).Uint64("fingerprint", uint64(call.requestFingerprint)).Int("status", http.StatusServiceUnavailable).
		Bool("durable", call.Durable).Dur("retry_after", retryAfter).Msg("request blocked: it crashed upstreams")
	return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: "request crashed upstreams"}
}

// checkForCrash checks, after a delay, whether an upstream whose connection broke has
// crashed. If only the connection was reset, the upstream still accepts new ones.
func (g *Gateway) checkForCrash(ctx context.Context, u registry.Upstream, call *Call, f *exchange.Failure) {
	if !f.Sent || (f.Kind != exchange.Reset && f.Kind != exchange.Truncated) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	time.AfterFunc(crashCheckDelay, func() {
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		if call.succeeded.Load() || g.upstreams.Reachable(ctx, u) {
			return
		}
		g.crashes.RecordCrash(ctx, call.requestFingerprint, u.Incarnation())
	})
}

// clearCrashes drops the crashes recorded for a request once an upstream that ran it has
// responded: a request that crashes upstreams never gets a response.
func (g *Gateway) clearCrashes(ctx context.Context, call *Call, response *Response) {
	if response.NotRun || call.succeeded.Swap(true) {
		return
	}
	g.crashes.RecordSuccess(context.WithoutCancel(ctx), call.requestFingerprint)
}
