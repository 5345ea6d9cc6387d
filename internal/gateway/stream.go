package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// Event is one event of a stream.
type Event struct {
	ID      int    // counted from 1
	Raw     []byte // as the upstream sent it, its blank line included
	Version int64  // of the weights from this event on, 0: as before
}

// Resume says from where a stream is wanted.
type Resume struct {
	Resumable bool
	After     int   // the last event that the caller has
	Version   int64 // of the weights that must go on with it, 0: any
}

// Stream is an upstream's answer to a call on a streaming route.
type Stream struct {
	Answer         // its body is whole if Events is nil
	Version int64  // of the weights at its first event, 0: unknown
	Events  Events // nil: the answer is no stream
}

// Events reads a stream. It isn't safe for concurrent use.
type Events interface {
	// Next returns the next whole event, io.EOF at an end that the upstream's own
	// framing confirms, an *exchange.Failure otherwise.
	Next() (Event, error)
	// Close ends the stream; an upstream still at work on it stops.
	Close()
}

// EventWriter is the caller's side of a stream. An error says that the caller left.
type EventWriter interface {
	Start(status int, header http.Header) error
	Write(e Event) error
}

// ErrBrokenOff is returned after a stream that began can't be finished. The
// caller's connection has to end, so that the stream doesn't look whole.
var ErrBrokenOff = errors.New("stream broken off")

// StreamResult is the end of a call on a streaming route. All fields are zero after
// a whole stream.
type StreamResult struct {
	Answer  *Answer  // the upstream's answer, which is no stream
	Refusal *Refusal // nothing was passed on
	Err     error    // ErrBrokenOff
}

// Stream sends a call and passes the events on as they come. Where the route allows
// it, a stream that breaks goes on at another upstream behind the last event passed
// on, under the weights that made that event.
func (g *Gateway) Stream(ctx context.Context, route routes.Route, call *Call, after int, out EventWriter) StreamResult {
	began := time.Now()
	if refusal := g.admit(call); refusal != nil {
		return StreamResult{Refusal: refusal}
	}
	limitDeadline(call, route, began)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &streamAttempt{
		g: g, route: route, call: call, out: out, service: route.Pick(rand.Float64()), tried: map[string]bool{},
		course: course{rule: ruleOf(route, route.Resumable), after: after},
	}
	result := s.run(ctx)
	s.report(result, time.Since(began))
	return result
}

// streamAttempt is one caller's stream under way.
type streamAttempt struct {
	g       *Gateway
	route   routes.Route
	call    *Call
	out     EventWriter
	service string
	tried   map[string]bool
	course
}

func (s *streamAttempt) run(ctx context.Context) StreamResult {
	for {
		u, ok := s.g.pool.pick(s.g.view.Of(s.service), s.tried, s.g.now())
		if !ok {
			return s.end(ctx, s.afterLast())
		}
		s.tried[u.Incarnation()] = true
		s.sends.Begin()
		result, step := s.send(ctx, u)
		if result != nil {
			return *result
		}
		if ctx.Err() != nil || step != sendOn {
			return s.end(ctx, step)
		}
	}
}

// end is the result when no upstream is asked any more.
func (s *streamAttempt) end(ctx context.Context, step streamStep) StreamResult {
	switch {
	case s.started:
		return StreamResult{Err: ErrBrokenOff}
	case step == refuseClean:
		return StreamResult{Refusal: &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Reason: "no upstream took it"}}
	case ctx.Err() != nil:
		return StreamResult{Refusal: &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}}
	default:
		return StreamResult{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: "no whole answer from an upstream"}}
	}
}

// send runs the call at one upstream. A result is final; without one the step says
// how to go on.
func (s *streamAttempt) send(ctx context.Context, u registry.Upstream) (*StreamResult, streamStep) {
	began := time.Now()
	opened, err := s.g.upstreams.Open(ctx, u, s.call, Resume{Resumable: s.rule.Repeatable, After: s.after, Version: s.expected()})
	if err != nil {
		s.g.note(ctx, u, s.call, nil, err)
		return nil, s.failed(u, err)
	}
	if opened.Events == nil {
		if !opened.NotRun {
			s.g.began(s.call, began)
		}
		s.g.note(ctx, u, s.call, &opened.Answer, nil)
		return s.whole(u, &opened.Answer)
	}
	defer opened.Events.Close()
	err = s.pass(opened)
	if err == nil {
		s.g.note(ctx, u, s.call, &opened.Answer, nil)
		return &StreamResult{}, sendOn
	}
	if errors.Is(err, errCallerLeft) {
		s.g.note(ctx, u, s.call, &opened.Answer, nil)
		return &StreamResult{Err: ErrBrokenOff}, breakOff
	}
	s.g.note(ctx, u, s.call, nil, err)
	return nil, s.failed(u, err)
}

// expected is the version of the weights that a resumed stream has to go on with:
// events of two versions under one label would be mislabelled.
func (s *streamAttempt) expected() int64 {
	if !s.started {
		return 0
	}
	return s.version
}

// whole takes an answer that is no stream.
func (s *streamAttempt) whole(u registry.Upstream, answer *Answer) (*StreamResult, streamStep) {
	s.g.log.Info().Str("request", s.call.ID).Str("upstream", u.Incarnation()).Int("status", answer.Status).
		Bool("not_run", answer.NotRun).Int("after", s.after).Msg("upstream answered without a stream")
	if !answer.NotRun && !s.started && (answer.Status < 500 || s.rule.Forbids(s.sends) != retry.None) {
		return &StreamResult{Answer: answer}, sendOn
	}
	return nil, s.afterFailure(!answer.NotRun)
}

var errCallerLeft = errors.New("caller left")

// pass hands the events on. A stream counts as begun with its first event. Errors:
// errCallerLeft, *exchange.Failure.
func (s *streamAttempt) pass(opened *Stream) error {
	if !s.started {
		if err := s.out.Start(opened.Status, opened.Header); err != nil {
			return errCallerLeft
		}
		s.started = true
		s.version = opened.Version
	}
	for first := true; ; first = false {
		e, err := opened.Events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			s.g.began(s.call, time.Now())
		}
		if e.ID != s.after+1 {
			return &exchange.Failure{Kind: exchange.Malformed, Sent: true, Err: errEventOrder}
		}
		if err := s.out.Write(e); err != nil {
			return errCallerLeft
		}
		s.passed(e)
	}
}

var errEventOrder = errors.New("an event is missing or comes twice")

func (s *streamAttempt) failed(u registry.Upstream, err error) streamStep {
	s.g.log.Warn().Str("request", s.call.ID).Str("upstream", u.Incarnation()).Int("send", s.sends.Made).Int("after", s.after).
		Dur("left", time.Until(s.call.Deadline)).Err(err).Msg("stream failed")
	return s.afterFailure(mayHaveRun(nil, err))
}

var (
	streamsWhole   = metrics.Counter("gateway_streams_whole")
	streamsRefused = metrics.Counter("gateway_streams_refused")
	streamsBroken  = metrics.Counter("gateway_streams_broken_off")
)

func (s *streamAttempt) report(r StreamResult, took time.Duration) {
	switch {
	case r.Err != nil:
		streamsBroken.Add(1)
		s.g.log.Warn().Str("request", s.call.ID).Str("route", s.route.Name).Int("after", s.after).Int("sends", s.sends.Made).
			Dur("took", took).Msg("stream broken off")
	case r.Refusal != nil:
		streamsRefused.Add(1)
		s.g.log.Warn().Str("request", s.call.ID).Str("route", s.route.Name).Str("service", s.service).Int("status", r.Refusal.Status).
			Str("reason", r.Refusal.Reason).Int("sends", s.sends.Made).Int("may_have_run", s.sends.Runs).Dur("took", took).Msg("stream refused")
	default:
		streamsWhole.Add(1)
		if s.sends.Made > 1 {
			s.g.log.Info().Str("request", s.call.ID).Str("route", s.route.Name).Int("events", s.after).Int("sends", s.sends.Made).
				Dur("took", took).Msg("stream whole after more than one send")
		}
	}
}
