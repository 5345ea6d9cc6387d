package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// Call is a caller's request, its body read.
type Call struct {
	ID       string // of the caller's attempt
	Customer string // who asks, "" where callers have no customers; the header names it
	Method   string
	Host     string
	Target   string // path and query as they came
	Header   http.Header
	Body     []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	request   poison.Fingerprint
	succeeded atomic.Bool // an upstream ran it and answered
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	NotRun bool // the upstream says that it didn't run the request
	Load   int  // requests that it runs and queues by its own word, -1 unknown
	// Failures counts the upstreams that ran the call and answered 500, this one included.
	Failures int
}

// Upstreams sends calls. The error is an *exchange.Failure.
type Upstreams interface {
	// Call sends a call once, to this incarnation of the upstream or none. once
	// keeps it off reused connections, for calls that may not run twice.
	Call(ctx context.Context, u registry.Upstream, c *Call, once bool) (*Answer, error)
	// Open sends a call on a streaming route. The context bounds the whole stream.
	Open(ctx context.Context, u registry.Upstream, c *Call, r Resume) (*Stream, error)
	// Reachable reports whether anything listens at the upstream's address.
	Reachable(ctx context.Context, u registry.Upstream) bool
}

// Refusal is a final answer of our own.
type Refusal struct {
	Status     int
	RetryAfter time.Duration // 0: none
	Reason     string
	Failures   int // upstreams that ran the call and answered 500
}

const (
	// deadlineMargin is kept for the way back to the caller.
	deadlineMargin = 20 * time.Millisecond
	// maxSends bounds the sends of one attempt, refusals by upstreams included.
	maxSends = 5
	// comeBack is told with "not run": long enough for a place to come free.
	comeBack = 50 * time.Millisecond
)

// Usage hears of the requests of customers that began to run at upstreams.
type Usage interface {
	Began(customer string, ago time.Duration)
}

// Options of a Gateway.
type Options struct {
	View       *fleet.View
	Upstreams  Upstreams
	Crashes    Crashes
	Usage      Usage            // nil: requests aren't counted
	Suspects   *health.Suspects // shared with whatever else sends to upstreams
	DataCentre string           // of this VM
	// Policy tells which mechanisms work; the zero one has all.
	Policy policy.Set
	// Now is a clock that goes on while the VM is suspended.
	Now    func() time.Duration
	Logger zerolog.Logger
}

// Gateway passes calls on. It is safe for concurrent use.
type Gateway struct {
	view      *fleet.View
	upstreams Upstreams
	crashes   Crashes
	usage     Usage
	pool      *pool
	policy    policy.Set
	hedges    *hedgeBudget
	now       func() time.Duration
	log       zerolog.Logger
}

// hedgeBudget is shared by all calls.
type hedgeBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newHedgeBudget() *hedgeBudget {
	return &hedgeBudget{budget: retry.NewBudget(retry.CallHedges(), time.Now())}
}

func (h *hedgeBudget) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Take(time.Now())
}

func (h *hedgeBudget) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Succeeded(time.Now())
}

// ruleOf bounds the sends of one attempt of a caller.
func ruleOf(route routes.Route, repeatable bool) retry.Rule {
	return retry.Rule{Repeatable: repeatable, MaxRuns: route.MaxAttempts, MaxSends: maxSends}
}

// New returns a Gateway.
func New(o Options) *Gateway {
	return &Gateway{view: o.View, upstreams: o.Upstreams, crashes: o.Crashes, usage: o.Usage, pool: newPool(o.DataCentre, o.Policy, o.Suspects), policy: o.Policy, hedges: newHedgeBudget(), now: o.Now, log: o.Logger}
}

// limitDeadline keeps a call within its route's timeout and leaves time for the way back.
func limitDeadline(call *Call, route routes.Route, began time.Time) {
	if route.Timeout > 0 && call.Deadline.After(began.Add(route.Timeout)) {
		call.Deadline = began.Add(route.Timeout)
	}
	call.Deadline = call.Deadline.Add(-deadlineMargin)
}

// Do sends a call and returns the upstream's answer or a refusal.
func (g *Gateway) Do(ctx context.Context, route routes.Route, call *Call) (*Answer, *Refusal) {
	began := time.Now()
	if refusal := g.admit(call); refusal != nil {
		return nil, refusal
	}
	limitDeadline(call, route, began)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a := &attempt{g: g, route: route, call: call, service: route.Pick(rand.Float64()), tried: map[string]bool{}, results: make(chan result, maxSends),
		rule: ruleOf(route, route.Kind == routes.Safe)}
	answer, refusal := a.run(ctx)
	if answer != nil {
		answer.Failures = a.failures
	} else {
		refusal.Failures = a.failures
	}
	a.report(answer, refusal, time.Since(began))
	return answer, refusal
}

type result struct {
	upstream registry.Upstream
	answer   *Answer
	err      error
	took     time.Duration
}

// attempt is one caller's attempt under way.
type attempt struct {
	g       *Gateway
	route   routes.Route
	call    *Call
	service string

	tried    map[string]bool
	results  chan result
	rule     retry.Rule
	sends    retry.Sends
	waiting  int // sends without an outcome
	failures int // answers of 500
	last     *Answer
	log      []sendLog
}

func (a *attempt) run(ctx context.Context) (*Answer, *Refusal) {
	if !a.send(ctx) {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Reason: "no upstream"}
	}
	hedge := time.NewTimer(a.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case r := <-a.results:
			a.waiting--
			a.ended(r)
			if done := a.settle(r); done != nil {
				return done, nil
			}
			if a.mayRepeat() && a.send(ctx) {
				continue
			}
			if a.waiting == 0 {
				return a.conclude()
			}
		case <-hedge.C:
			if a.rule.Repeatable && a.mayRepeat() && a.g.hedges.take() {
				a.send(ctx)
			}
		case <-ctx.Done():
			return nil, &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}
		}
	}
}

// never is longer than any call.
const never = time.Hour

func (a *attempt) hedgeAfter() time.Duration {
	wait, ok := retry.HedgeAfter(a.route.Target)
	if !ok || !a.g.policy.On(policy.Hedge) {
		return never
	}
	return wait
}

func (a *attempt) mayRepeat() bool { return a.rule.Forbids(a.sends) == retry.None }

// send starts a send to another upstream. It reports false if there is none.
func (a *attempt) send(ctx context.Context) bool {
	u, ok := a.g.pool.pick(a.g.view.Of(a.service), a.tried, a.g.now())
	if !ok {
		return false
	}
	a.tried[u.Incarnation()] = true
	load, age := a.g.pool.known(u.Incarnation(), a.g.now())
	began := time.Now()
	a.log = append(a.log, sendLog{upstream: u.Incarnation(), load: load, age: age, began: began})
	a.sends.Begin()
	a.waiting++
	go func() {
		answer, err := a.g.upstreams.Call(ctx, u, a.call, a.route.Kind != routes.Safe)
		if mayHaveRun(answer, err) {
			a.g.began(a.call, began)
		}
		a.g.note(ctx, u, a.call, answer, err)
		a.results <- result{u, answer, err, time.Since(began)}
	}()
	return true
}

// mayHaveRun reports whether an upstream began the request of a send, as far as can be told.
func mayHaveRun(answer *Answer, err error) bool {
	if err == nil {
		return !answer.NotRun
	}
	var f *exchange.Failure
	return !errors.As(err, &f) || f.Sent
}

// began counts a run of a customer's request.
func (g *Gateway) began(call *Call, sent time.Time) {
	if g.usage != nil && call.Customer != "" {
		g.usage.Began(call.Customer, time.Since(sent))
	}
}

// note keeps what a send told of its upstream.
func (g *Gateway) note(ctx context.Context, u registry.Upstream, call *Call, answer *Answer, err error) {
	now := g.now()
	g.pool.release(u.Incarnation(), now)
	var f *exchange.Failure
	switch {
	case err == nil:
		g.hedges.succeeded()
		g.pool.succeeded(u.Incarnation(), answer.Load, now)
		g.cleared(ctx, call, answer)
	case ctx.Err() == nil && errors.As(err, &f) && f.Kind != exchange.Malformed && !f.BrokeIdle():
		g.pool.failed(u.Incarnation(), now)
		g.suspect(ctx, u, call, f)
	}
}

// settle takes the outcome of a send and returns the answer if it is final.
func (a *attempt) settle(r result) *Answer {
	if r.err == nil && !r.answer.NotRun && r.answer.Status == http.StatusInternalServerError {
		a.failures++
	}
	switch {
	case r.err != nil:
		if !mayHaveRun(nil, r.err) {
			a.sends.NotRun()
		}
		a.g.log.Warn().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("send", a.sends.Made).
			Dur("left", time.Until(a.call.Deadline)).Err(r.err).Msg("send failed")
		return nil
	case r.answer.NotRun:
		a.sends.NotRun()
		a.last = r.answer
		a.g.log.Info().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("status", r.answer.Status).
			Int("load", r.answer.Load).Msg("upstream refused")
		return nil
	case r.answer.Status >= 500 && a.route.Kind == routes.Safe && a.mayRepeat():
		a.last = r.answer
		a.g.log.Info().Str("request", a.call.ID).Str("upstream", r.upstream.Incarnation()).Int("status", r.answer.Status).
			Msg("upstream failed the request")
		return nil
	}
	return r.answer
}

// conclude answers when nothing is under way and nothing more may be sent.
func (a *attempt) conclude() (*Answer, *Refusal) {
	switch {
	case a.last != nil && !a.last.NotRun:
		return a.last, nil
	case a.sends.Runs == 0:
		return nil, &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Reason: "every upstream refused"}
	default:
		return nil, &Refusal{Status: http.StatusBadGateway, Reason: "no whole answer from an upstream"}
	}
}

var (
	callsAnswered = metrics.Counter("gateway_answered")
	callsRefused  = metrics.Counter("gateway_refused")
	callsResent   = metrics.Counter("gateway_resends")
	callTime      = metrics.Latency("gateway_call_ms")
)

func (a *attempt) report(answer *Answer, refusal *Refusal, took time.Duration) {
	callTime.Observe(took)
	callsResent.Add(int64(max(0, a.sends.Made-1)))
	if refusal == nil {
		callsAnswered.Add(1)
		if a.sends.Made > 1 {
			a.g.log.Info().Str("request", a.call.ID).Str("route", a.route.Name).Int("status", answer.Status).
				Int("sends", a.sends.Made).Strs("tried", a.sendsLog()).Dur("took", took).Msg("answered after more than one send")
		}
		return
	}
	callsRefused.Add(1)
	a.g.log.Warn().Str("request", a.call.ID).Str("route", a.route.Name).Str("service", a.service).
		Int("status", refusal.Status).Str("reason", refusal.Reason).Int("sends", a.sends.Made).Int("may_have_run", a.sends.Runs).Strs("tried", a.sendsLog()).
		Dur("took", took).Msg("call refused")
}

// Trim forgets upstreams that left; call it now and then.
func (g *Gateway) Trim() { g.pool.trim(g.now()) }
