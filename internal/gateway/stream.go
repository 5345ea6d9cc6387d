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
	Raw     []byte // bytes as the upstream sent them, including the blank line that ends the event
	Version int64  // model weight version from this event on, 0: unchanged
}

// Resume tells an upstream where a stream has to start.
type Resume struct {
	Resumable   bool  // the route allows streams to be resumed
	LastEventID int   // ID of the last event that the caller has, 0: none
	Version     int64 // model weight version that must produce the remaining events, 0: any
}

// Stream is an upstream's response to a call on a streaming route.
type Stream struct {
	Response        // has its whole body if Events is nil
	Version  int64  // model weight version at the first event, 0: unknown
	Events   Events // nil: the response is not a stream
}

// Events reads the events of a stream. It is not safe for concurrent use.
type Events interface {
	// Next returns the next complete event. It returns io.EOF at an end that is confirmed
	// by the framing of the response body, an *exchange.Failure otherwise.
	Next() (Event, error)
	// Close ends the stream. An upstream that is still producing it stops.
	Close()
}

// EventWriter sends a stream to the caller. An error means that the caller is gone.
type EventWriter interface {
	// Start sends the response header.
	Start(status int, header http.Header) error
	// Write sends one event.
	Write(e Event) error
}

// ErrTooManyEvents is the cause of a failure of Events.Next if a response has more events than its
// request allows.
var ErrTooManyEvents = errors.New("response has more events than its request allows")

// ErrStreamAborted is returned if a stream cannot be completed after its header was sent.
// The caller's connection must then be closed, so that the stream does not look complete.
var ErrStreamAborted = errors.New("stream aborted")

// StreamResult is the result of a call on a streaming route. It is zero after a complete
// stream; otherwise one field is set.
type StreamResult struct {
	Response *Response // the upstream's response, which is not a stream
	Refusal  *Refusal  // nothing was sent to the caller
	Err      error     // ErrStreamAborted
}

// Stream sends a call and forwards the events to writer as they arrive. after is the ID of
// the last event that the caller has, 0 for none. Where the route allows it, a broken
// stream is resumed at another upstream after the last event forwarded, with the model
// weight version that produced that event.
func (g *Gateway) Stream(ctx context.Context, route routes.Route, call *Call, after int, writer EventWriter) StreamResult {
	startedAt := time.Now()
	if refusal := g.refuseCrasher(call); refusal != nil {
		return StreamResult{Refusal: refusal}
	}
	limitDeadline(call, route, startedAt)
	service := route.Pick(rand.Float64())
	place, refusal := g.admit(ctx, call, route, service)
	if refusal != nil {
		return StreamResult{Refusal: refusal}
	}
	defer g.leavePlace(&place)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &activeStream{
		g: g, route: route, call: call, writer: writer, service: service, tried: map[string]bool{}, startedAfter: after,
		streamState: streamState{rule: sendRule(route, route.Resumable), lastEventID: after},
	}
	result := s.run(ctx)
	place.answered = result.Refusal == nil && result.Err == nil
	s.report(result, time.Since(startedAt))
	return result
}

// activeStream is a call on a streaming route in progress.
type activeStream struct {
	g       *Gateway
	route   routes.Route
	call    *Call
	writer  EventWriter
	service string          // chosen for this call
	tried   map[string]bool // incarnations of the upstreams that it was sent to
	noRoom  bool            // an answer found no room
	// startedAfter is the last event that the caller had before this call.
	startedAfter int
	streamState
}

func (s *activeStream) run(ctx context.Context) StreamResult {
	for {
		u, ok := s.g.pick(s.call, s.service, s.tried)
		if !ok {
			return s.finalResult(ctx, s.finalAction())
		}
		s.tried[u.Incarnation()] = true
		s.sends.Begin()
		result, action := s.send(ctx, u)
		if result != nil {
			return *result
		}
		if ctx.Err() != nil || action != tryNextUpstream {
			return s.finalResult(ctx, action)
		}
		if !s.g.worthSendingAgain(s.route, s.service, s.sends, s.tried) {
			return s.finalResult(ctx, s.finalAction())
		}
	}
}

// finalResult returns the result of a call that will not be sent again.
func (s *activeStream) finalResult(ctx context.Context, action streamAction) StreamResult {
	switch {
	case s.headerSent:
		return StreamResult{Err: ErrStreamAborted}
	case action == refuseNotRun:
		return StreamResult{Refusal: s.g.refuseNotRun(s.call, s.route, s.service, "no upstream accepted the call")}
	case ctx.Err() != nil:
		return StreamResult{Refusal: &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}}
	case s.noRoom:
		return StreamResult{Refusal: refuseNoRoom()}
	default:
		return StreamResult{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: "no complete response from an upstream"}}
	}
}

// send sends the call to one upstream and forwards the stream. It returns the final result,
// or nil and the action to take.
func (s *activeStream) send(ctx context.Context, u registry.Upstream) (*StreamResult, streamAction) {
	startedAt, transmission := time.Now(), s.g.beginTransmission(u) // time.Now excludes suspensions of this VM
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.g.upstreams.Open(streamCtx, u, s.call, Resume{Resumable: s.rule.Repeatable, LastEventID: s.lastEventID, Version: s.requiredVersion()})
	if err != nil {
		s.g.recordSend(ctx, u, s.call, nil, err, 0)
		return nil, s.handleFailure(u, err)
	}
	s.g.checkLoad(u, &stream.Response)
	if stream.Events == nil {
		s.g.countRun(s.call, transmission, &stream.Response, nil)
		s.g.recordSend(ctx, u, s.call, &stream.Response, nil, time.Since(startedAt))
		return s.handleNonStream(u, &stream.Response)
	}
	events := newEventQueue(stream.Events, s.call.Lease, s.call.AnswerReserve, cancel)
	defer events.close()
	// The header's report is out of date when the stream ends.
	s.g.balancer.observe(u.Incarnation(), observation(&stream.Response, 0), s.g.now())
	s.g.observeLoad(s.call, u, &stream.Response)
	stream.Load = nil
	err = s.forwardEvents(stream, events)
	if err == nil && s.unconfirmed {
		err = &exchange.Failure{Kind: exchange.Malformed, Sent: true, Err: errUnconfirmedEnd}
		s.g.recordSend(ctx, u, s.call, &stream.Response, nil, 0) // this upstream isn't at fault
		s.logFailure(u, err)
		return nil, abortStream
	}
	if err == nil {
		// Until the upstream's end: how fast the caller reads says nothing about the run time.
		s.g.recordSend(ctx, u, s.call, &stream.Response, nil, events.duration(startedAt))
		return &StreamResult{}, tryNextUpstream
	}
	if errors.Is(err, errCallerGone) {
		s.g.recordSend(ctx, u, s.call, &stream.Response, nil, 0)
		return &StreamResult{Err: ErrStreamAborted}, abortStream
	}
	s.g.recordSend(ctx, u, s.call, nil, err, 0)
	return nil, s.handleFailure(u, err)
}

// requiredVersion returns the model weight version with which the stream has to continue, 0
// for any. Events of two versions in one stream would be labelled with the wrong version.
func (s *activeStream) requiredVersion() int64 {
	if !s.headerSent {
		return 0
	}
	return s.weightVersion
}

// handleNonStream processes a response that is not a stream. It returns the final result,
// or nil and the action to take.
func (s *activeStream) handleNonStream(u registry.Upstream, response *Response) (*StreamResult, streamAction) {
	s.g.log.Info().Str("request", s.call.ID).Str("upstream", u.Incarnation()).Int("status", response.Status).
		Bool("not_run", response.NotRun).Int("after", s.lastEventID).Msg("upstream response is not a stream")
	if !response.NotRun && !s.headerSent && (response.Status < 500 || s.rule.StopCause(s.sends) != retry.None) {
		return &StreamResult{Response: response}, tryNextUpstream
	}
	return nil, s.actionAfterFailure(!response.NotRun)
}

var errCallerGone = errors.New("caller closed the connection")

// forwardEvents forwards the events of a stream to the caller until it ends. The request
// counts as running from the first event on. Errors: errCallerGone, *exchange.Failure.
func (s *activeStream) forwardEvents(stream *Stream, events *eventQueue) error {
	if !s.headerSent {
		if err := s.writer.Start(stream.Status, stream.Header); err != nil {
			return errCallerGone
		}
		s.headerSent = true
		s.weightVersion = stream.Version
	}
	for first := true; ; first = false {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			s.g.recordRun(s.call, 0)
		}
		if e.ID != s.lastEventID+1 {
			return &exchange.Failure{Kind: exchange.Malformed, Sent: true, Err: errEventOrder}
		}
		if err := s.writer.Write(e); err != nil {
			return errCallerGone
		}
		events.sent(e)
		s.recordEvent(e)
	}
}

// errUnconfirmedEnd means that an upstream ends a stream behind events that came from a response
// which proved malformed. They may not belong to the stream, and the caller has them.
var errUnconfirmedEnd = errors.New("stream ends behind events of a malformed response")

var errEventOrder = errors.New("event missing or duplicated")

func (s *activeStream) logFailure(u registry.Upstream, err error) {
	s.g.log.Warn().Str("request", s.call.ID).Str("upstream", u.Incarnation()).Int("send", s.sends.Total).Int("after", s.lastEventID).
		Dur("left", time.Until(s.call.Deadline)).Err(err).Msg("stream failed")
}

// handleFailure processes a send without a response, or with an incomplete one.
func (s *activeStream) handleFailure(u registry.Upstream, err error) streamAction {
	s.logFailure(u, err)
	if errors.Is(err, ErrTooManyEvents) {
		// Some of the events forwarded may lie behind the end, and can't be taken back.
		return s.finalAction()
	}
	var f *exchange.Failure
	if errors.As(err, &f) && f.Kind == exchange.Malformed && s.headerSent && s.lastEventID > s.startedAfter {
		s.unconfirmed = true
	}
	if answerFoundNoRoom(err) {
		s.noRoom = true
		return s.finalAction()
	}
	return s.actionAfterFailure(mayHaveRun(nil, err))
}

var (
	streamsCompleted = metrics.Counter("gateway_streams_whole")
	streamsRefused   = metrics.Counter("gateway_streams_refused")
	streamsAborted   = metrics.Counter("gateway_streams_broken_off")
)

// report updates the metrics and logs the result of a call.
func (s *activeStream) report(r StreamResult, duration time.Duration) {
	switch {
	case r.Err != nil:
		streamsAborted.Add(1)
		s.g.log.Warn().Str("request", s.call.ID).Str("route", s.route.Name).Int("after", s.lastEventID).Int("sends", s.sends.Total).
			Dur("took", duration).Msg("stream aborted")
	case r.Refusal != nil:
		streamsRefused.Add(1)
		s.g.log.Warn().Str("request", s.call.ID).Str("route", s.route.Name).Str("service", s.service).Int("status", r.Refusal.Status).
			Str("reason", r.Refusal.Reason).Int("sends", s.sends.Total).Int("may_have_run", s.sends.Runs).Dur("took", duration).Msg("stream refused")
	default:
		streamsCompleted.Add(1)
		if s.sends.Total > 1 {
			s.g.log.Info().Str("request", s.call.ID).Str("route", s.route.Name).Int("events", s.lastEventID).Int("sends", s.sends.Total).
				Dur("took", duration).Msg("stream completed after more than one send")
		}
	}
}
