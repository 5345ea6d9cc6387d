package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

const (
	// deadlineMargin is subtracted from the caller's deadline, as time to deliver the
	// response to the caller.
	deadlineMargin = 20 * time.Millisecond
	// maxSends bounds the sends of one call, those refused by upstreams included.
	maxSends = 5
	// retryAfterNotRun is the Retry-After time of calls that were not run: long enough for
	// an upstream to get a free slot.
	retryAfterNotRun = 50 * time.Millisecond
)

// UsageRecorder counts the requests of customers that upstreams began to run.
type UsageRecorder interface {
	// RecordRun counts one request of a customer that began to run the given time ago.
	RecordRun(customer string, ago time.Duration)
}

// Options configures a Gateway.
type Options struct {
	View       *fleet.View
	Upstreams  UpstreamClient
	Crashes    CrashTracker
	Usage      UsageRecorder    // nil: requests are not counted
	Suspects   *health.Suspects // shared with all other senders to upstreams
	DataCentre string           // of this VM
	// Policy tells which optional mechanisms are switched off; the zero value has all on.
	Policy policy.Set
	// Now is a monotonic clock that keeps running while the VM is suspended.
	Now    func() time.Duration
	Logger zerolog.Logger
}

// Gateway forwards calls to upstreams. It is safe for concurrent use.
type Gateway struct {
	view      *fleet.View
	upstreams UpstreamClient
	crashes   CrashTracker
	usage     UsageRecorder
	balancer  *balancer
	waits     waitEstimator
	policy    policy.Set
	hedges    *hedgeBudget
	now       func() time.Duration
	log       zerolog.Logger

	admissions *admissions
}

// hedgeBudget limits the hedged requests of all calls together. It is safe for concurrent
// use.
type hedgeBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newHedgeBudget() *hedgeBudget {
	return &hedgeBudget{budget: retry.NewBudget(retry.CallHedgeBudget(), time.Now())}
}

func (h *hedgeBudget) tryTake() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Take(time.Now())
}

func (h *hedgeBudget) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Succeeded(time.Now())
}

// sendRule returns the limits on the sends of one call.
func sendRule(route routes.Route, repeatable bool) retry.Limits {
	return retry.Limits{Repeatable: repeatable, MaxRuns: route.MaxAttempts, MaxSends: maxSends}
}

// New returns a Gateway.
func New(o Options) *Gateway {
	b := newBalancer(o.DataCentre, o.Policy, o.Suspects)
	return &Gateway{view: o.View, upstreams: o.Upstreams, crashes: o.Crashes, usage: o.Usage, balancer: b, waits: b, policy: o.Policy, hedges: newHedgeBudget(), now: o.Now, log: o.Logger, admissions: newAdmissions()}
}

// limitDeadline brings the deadline of a call that started at startedAt within the timeout
// of its route, and subtracts deadlineMargin. It also notes the latency target of the route.
func limitDeadline(call *Call, route routes.Route, startedAt time.Time) {
	if route.Timeout > 0 && call.Deadline.After(startedAt.Add(route.Timeout)) {
		call.Deadline = startedAt.Add(route.Timeout)
	}
	call.Deadline = call.Deadline.Add(-deadlineMargin)
	call.latencyTarget = route.LatencyTarget
}

// Do sends a call and returns either the upstream's response or a refusal.
func (g *Gateway) Do(ctx context.Context, route routes.Route, call *Call) (*Response, *Refusal) {
	startedAt := time.Now()
	if refusal := g.refuseCrasher(call); refusal != nil {
		return nil, refusal
	}
	limitDeadline(call, route, startedAt)
	service := route.Pick(rand.Float64())
	place, refusal := g.admit(ctx, call, route, service)
	if refusal != nil {
		return nil, refusal
	}
	defer g.leavePlace(&place)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a := &activeCall{g: g, route: route, call: call, service: service, tried: map[string]bool{}, results: make(chan sendResult, maxSends),
		rule: sendRule(route, route.Kind == routes.Safe)}
	if call.runOnce {
		a.rule.MaxRuns = 1
	}
	response, refusal := a.run(ctx)
	place.answered = response != nil
	if response != nil {
		response.ServerErrors = a.serverErrors
	} else {
		refusal.ServerErrors = a.serverErrors
		if call.runOnce {
			refusal.RetryAfter = max(refusal.RetryAfter, crashCheckTime) // the crash isn't recorded before
		}
	}
	a.report(response, refusal, time.Since(startedAt))
	return response, refusal
}

// sendResult is the outcome of one send: a response or an error.
type sendResult struct {
	upstream registry.Upstream
	response *Response
	err      error
	duration time.Duration
}

// activeCall is a call in progress.
type activeCall struct {
	g       *Gateway
	route   routes.Route
	call    *Call
	service string // chosen for this call

	tried        map[string]bool // incarnations of the upstreams that it was sent to
	results      chan sendResult // has room for all sends
	rule         retry.Limits
	sends        retry.Sends
	inFlight     int       // sends without an outcome yet
	serverErrors int       // responses with status 500 from upstreams that ran the call
	lastResponse *Response // the last response that did not end the call
	sendRecords  []sendRecord
}

func (a *activeCall) run(ctx context.Context) (*Response, *Refusal) {
	if !a.send(ctx) {
		reason := "no upstream"
		if a.call.needsRoom {
			reason = "no upstream with room"
		}
		return nil, a.g.refuseNotRun(a.call, a.route, a.service, reason)
	}
	hedge := time.NewTimer(a.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-a.results:
			a.inFlight--
			a.recordOutcome(r)
			if response := a.handleResult(r); response != nil {
				return response, nil
			}
			if answerFoundNoRoom(r.err) {
				return nil, refuseNoRoom()
			}
			if a.maySendAgain() && a.g.worthSendingAgain(a.route, a.service, a.sends, a.tried) && a.send(ctx) {
				continue
			}
			if a.inFlight == 0 {
				return a.finalResult()
			}
		case <-hedge.C:
			if a.rule.Repeatable && a.maySendAgain() && !a.g.contended(a.service) && a.g.hedges.tryTake() {
				a.send(ctx)
			}
		case <-ctx.Done():
			return nil, &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}
		}
	}
}

// hedgeDisabledDelay is longer than any call.
const hedgeDisabledDelay = time.Hour

// hedgeDelay returns the time without a response after which a hedged request is sent.
func (a *activeCall) hedgeDelay() time.Duration {
	delay, ok := retry.HedgeAfter(a.route.LatencyTarget)
	if !ok || !a.g.policy.Enabled(policy.Hedge) {
		return hedgeDisabledDelay
	}
	return delay
}

// worthSendingAgain reports false if a call was refused and the upstreams that it has not been
// sent to are known to be full. Sending it to each of them in turn would only load them with
// refusals.
func (g *Gateway) worthSendingAgain(route routes.Route, service string, sends retry.Sends, tried map[string]bool) bool {
	if sends.Runs > 0 || !g.policy.Enabled(policy.Admission) || route.LatencyTarget <= 0 {
		return true
	}
	return g.balancer.hasRoom(g.view.ByService(service), tried, g.now())
}

func (a *activeCall) maySendAgain() bool { return a.rule.StopCause(a.sends) == retry.None }

// pick returns the upstream for the next send of a call, which is not in tried.
func (g *Gateway) pick(call *Call, service string, tried map[string]bool) (registry.Upstream, bool) {
	needsRoom := call.needsRoom && len(tried) == 0
	if call.late {
		return g.balancer.pickLate(g.view.ByService(service), tried, time.Until(call.Deadline), g.now(), needsRoom)
	}
	if needsRoom {
		return g.balancer.pickWithRoom(g.view.ByService(service), tried, g.now())
	}
	return g.balancer.pick(g.view.ByService(service), tried, g.now())
}

// send starts a send to an upstream not tried before. It reports false if there is none.
func (a *activeCall) send(ctx context.Context) bool {
	u, ok := a.g.pick(a.call, a.service, a.tried)
	if !ok {
		return false
	}
	a.tried[u.Incarnation()] = true
	load, loadAge := a.g.balancer.lastLoad(u.Incarnation(), a.g.now())
	startedAt := time.Now()
	a.sendRecords = append(a.sendRecords, sendRecord{upstream: u.Incarnation(), load: load, loadAge: loadAge, startedAt: startedAt})
	a.sends.Begin()
	a.inFlight++
	transmission := a.g.beginTransmission(u)
	go func() {
		response, err := a.g.upstreams.Call(ctx, u, a.call, a.call.NewConn || a.route.Kind != routes.Safe)
		a.g.checkLoad(u, response)
		a.g.countRun(a.call, transmission, response, err)
		a.g.recordSend(ctx, u, a.call, response, err, time.Since(startedAt))
		a.results <- sendResult{u, response, err, time.Since(startedAt)}
	}()
	return true
}

var impossibleLoadReports = metrics.Counter("upstream_load_reports_impossible")

// checkLoad drops the load report of a response, which may be nil, if it states more slots than the
// upstream accepts connections: an upstream with such a report is never full.
func (g *Gateway) checkLoad(u registry.Upstream, response *Response) {
	if response == nil || response.Load == nil {
		return
	}
	if limit := g.view.MaxConnections(u.Service); limit > 0 && response.Load.Slots > limit {
		impossibleLoadReports.Add(1)
		response.Load = nil
	}
}

// mayHaveRun reports false only if the upstream certainly did not run the request of a send
// with this outcome.
func mayHaveRun(response *Response, err error) bool {
	if err == nil {
		return !response.NotRun
	}
	var f *exchange.Failure
	return !errors.As(err, &f) || f.Sent
}

// foundNoRoom reports whether a send failed for lack of memory in this process, which says
// nothing about the upstream.
func foundNoRoom(err error) bool {
	var f *exchange.Failure
	return errors.As(err, &f) && f.Kind == exchange.NoRoom
}

// answerFoundNoRoom reports whether an upstream's answer found no room. The call has run; sent
// once more, its next answer would need the same room.
func answerFoundNoRoom(err error) bool { return foundNoRoom(err) && mayHaveRun(nil, err) }

var answersWithoutRoom = metrics.Counter("memory_answers_dropped")

// refuseNoRoom returns the refusal of a call whose answer found no room.
func refuseNoRoom() *Refusal {
	answersWithoutRoom.Add(1)
	return &Refusal{Status: http.StatusBadGateway, Reason: "no room for the answer"}
}

// recordSend updates the balancer, the hedge budget and the crash tracker with the outcome
// of a send. responseTime is the time from the send to the response, 0 if it says nothing
// about the run time.
func (g *Gateway) recordSend(ctx context.Context, u registry.Upstream, call *Call, response *Response, err error, responseTime time.Duration) {
	now := g.now()
	g.balancer.release(u.Incarnation(), now)
	var f *exchange.Failure
	switch {
	case err == nil:
		g.hedges.recordSuccess()
		g.balancer.recordSuccess(u.Incarnation(), observation(response, responseTime), now)
		g.observeLoad(call, u, response)
		g.clearCrashes(ctx, call, response)
	case ctx.Err() != nil || !errors.As(err, &f) || f.Kind == exchange.Malformed || f.Kind == exchange.NoRoom:
		// It doesn't say that the upstream is down.
	case f.StaleConn():
		// The upstream may have closed an idle connection, or crashed: only the check can tell.
		g.checkForCrash(ctx, u, call, f)
	default:
		g.balancer.recordFailure(u.Incarnation(), now)
		g.checkForCrash(ctx, u, call, f)
	}
}

// handleResult processes the outcome of a send. It returns the response if that ends the
// call, nil otherwise.
func (a *activeCall) handleResult(r sendResult) *Response {
	if r.err == nil && !r.response.NotRun && r.response.Status == http.StatusInternalServerError {
		a.serverErrors++
	}
	switch {
	case r.err != nil:
		if !mayHaveRun(nil, r.err) {
			a.sends.MarkNotRun()
		}
		a.g.log.Warn().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("send", a.sends.Total).
			Dur("left", time.Until(a.call.Deadline)).Err(r.err).Msg("send failed")
		return nil
	case r.response.NotRun:
		a.sends.MarkNotRun()
		a.lastResponse = r.response
		if refusedWithFreeSlots(r.response) {
			// It may accept the call the next time, and may be the only one with room.
			delete(a.tried, r.upstream.Incarnation())
		}
		a.g.log.Info().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("status", r.response.Status).
			Int("load", loadForLog(r.response.Load)).Msg("upstream refused")
		return nil
	case r.response.Status >= 500 && a.route.Kind == routes.Safe && a.maySendAgain():
		a.lastResponse = r.response
		a.g.log.Info().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("status", r.response.Status).
			Msg("upstream failed the request")
		return nil
	}
	return r.response
}

// refusedWithFreeSlots reports whether an upstream refused a call although it has free slots, as
// one does that sheds a part of its calls because of a fault.
func refusedWithFreeSlots(r *Response) bool {
	return r.Load != nil && r.Status != http.StatusMisdirectedRequest && r.Load.Running < r.Load.Slots
}

// finalResult returns the result of a call when no send is in flight and no further one is
// possible.
func (a *activeCall) finalResult() (*Response, *Refusal) {
	switch {
	case a.lastResponse != nil && !a.lastResponse.NotRun:
		return a.lastResponse, nil
	case a.sends.Runs == 0:
		return nil, a.g.refuseNotRun(a.call, a.route, a.service, "all upstreams refused")
	default:
		return nil, &Refusal{Status: http.StatusBadGateway, Reason: "no complete response from an upstream"}
	}
}

var (
	callsAnswered = metrics.Counter("gateway_answered")
	callsRefused  = metrics.Counter("gateway_refused")
	callsResent   = metrics.Counter("gateway_resends") // counts sends after the first
	callDuration  = metrics.Latency("gateway_call_ms")
)

// report updates the metrics and logs the result of a call.
func (a *activeCall) report(response *Response, refusal *Refusal, duration time.Duration) {
	callDuration.Observe(duration)
	callsResent.Add(int64(max(0, a.sends.Total-1)))
	if refusal == nil {
		callsAnswered.Add(1)
		if a.sends.Total > 1 {
			a.g.log.Info().Str("request", a.call.ID).Str("route", a.route.Name).Int("status", response.Status).
				Int("sends", a.sends.Total).Strs("tried", a.sendSummaries()).Dur("took", duration).Msg("call answered after more than one send")
		}
		return
	}
	callsRefused.Add(1)
	a.g.log.Warn().Str("request", a.call.ID).Str("route", a.route.Name).Str("service", a.service).
		Int("status", refusal.Status).Str("reason", refusal.Reason).Int("sends", a.sends.Total).Int("may_have_run", a.sends.Runs).Strs("tried", a.sendSummaries()).
		Dur("took", duration).Msg("call refused")
}

// Trim drops the state of upstreams that are gone, and notices the end of contention of services
// that get no more calls. It must be called periodically.
func (g *Gateway) Trim() {
	now := g.now()
	g.balancer.trim(now)
	for _, s := range g.admissions.all() {
		g.noteContention(s, now)
	}
}
