package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/loadreport"
)

// streamLength is the number of events of each complete stream.
const streamLength = 4

// streamBehaviour is how one upstream responds to a call on a streaming route.
type streamBehaviour struct {
	status      int   // it responds with this status and no stream, 0: it streams
	notRun      bool  // that response states that the request was not run
	breakAfter  int   // the stream breaks after this event, 0: never, -1: before the first
	hangAfter   int   // the stream hangs after this event, 0: never
	skip        int   // this event is left out, 0: none
	extra       int   // events behind the last one, then the response proves malformed
	tooMany     bool  // by their number
	version     int64 // model weight version; it status calls that require another one
	unreachable bool
	load        *loadreport.Report // with its response, nil: none
}

// openedStream is one call of Open.
type openedStream struct {
	upstream string // ID
	Resume
}

// fakeStreams is the upstreams u0, u1, ... and the caller of a stream.
type fakeStreams struct {
	behaviours map[string]streamBehaviour // by ID of the upstream
	opened     []openedStream
	closed     int // streams closed by the gateway
	status     int // received by the caller
	received   []string
	// disconnectAfter is the number of events after which the caller disconnects, 0: never.
	disconnectAfter int
	// firstEventDelay is how long each stream takes to produce its first event.
	firstEventDelay time.Duration
}

func (f *fakeStreams) Call(context.Context, registry.Upstream, *Call, bool) (*Response, error) {
	return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("only streams are supported")}
}

func (f *fakeStreams) Reachable(context.Context, registry.Upstream) bool { return true }

func (f *fakeStreams) Open(ctx context.Context, u registry.Upstream, _ *Call, r Resume) (*Stream, error) {
	f.opened = append(f.opened, openedStream{u.ID, r})
	b := f.behaviours[u.ID]
	switch {
	case b.unreachable:
		return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("test")}
	case b.status != 0:
		return &Stream{Response: Response{Status: b.status, NotRun: b.notRun, Load: b.load}}, nil
	case r.Version != 0 && r.Version != b.version:
		return &Stream{Response: Response{Status: http.StatusMisdirectedRequest, NotRun: true}}, nil
	}
	return &Stream{Response: Response{Status: 200, Load: b.load}, Version: b.version, Events: &fakeEvents{f: f, ctx: ctx, behaviour: b, upstream: u.ID, last: r.LastEventID}}, nil
}

// fakeEvents is a stream that one upstream produces.
type fakeEvents struct {
	begun     bool
	f         *fakeStreams
	ctx       context.Context
	behaviour streamBehaviour
	upstream  string // ID
	last      int    // ID of the last event
}

func (e *fakeEvents) Next() (Event, error) {
	switch {
	case e.behaviour.breakAfter != 0 && e.last >= e.behaviour.breakAfter:
		return Event{}, &exchange.Failure{Kind: exchange.Reset, Sent: true, Err: errors.New("test")}
	case e.behaviour.hangAfter > 0 && e.last >= e.behaviour.hangAfter:
		<-e.ctx.Done()
		return Event{}, &exchange.Failure{Kind: exchange.Cancelled, Sent: true, Err: e.ctx.Err()}
	case e.behaviour.extra > 0 && e.last >= streamLength+e.behaviour.extra:
		failure := &exchange.Failure{Kind: exchange.Malformed, Sent: true, Err: errors.New("test")}
		if e.behaviour.tooMany {
			failure.Err = ErrTooManyEvents
		}
		return Event{}, failure
	case e.behaviour.extra == 0 && e.last >= streamLength:
		return Event{}, io.EOF
	}
	if !e.begun {
		e.begun = true
		time.Sleep(e.f.firstEventDelay)
	}
	e.last++
	if e.last == e.behaviour.skip {
		e.last++
	}
	return Event{ID: e.last, Raw: fmt.Appendf(nil, "%s:%d", e.upstream, e.last)}, nil
}

func (e *fakeEvents) Close() { e.f.closed++ }

func (f *fakeStreams) Start(status int, _ http.Header) error {
	f.status = status
	return nil
}

func (f *fakeStreams) Write(e Event) error {
	if f.disconnectAfter > 0 && len(f.received) >= f.disconnectAfter {
		return errors.New("caller's connection is closed")
	}
	f.received = append(f.received, string(e.Raw))
	return nil
}

// streamSetup returns a gateway with upstreams u0, u1, ... u0 is in the gateway's own data
// centre, so it is chosen first.
func streamSetup(behaviours ...streamBehaviour) (*Gateway, *fakeStreams) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	f := &fakeStreams{behaviours: map[string]streamBehaviour{}}
	view := fleet.New(now)
	view.UpdateUpstreams(func(r *registry.Registry, _ time.Duration) {
		for i, b := range behaviours {
			id := fmt.Sprint("u", i)
			f.behaviours[id] = b
			dataCentre := "here"
			if i > 0 {
				dataCentre = "far"
			}
			r.Put(registry.Upstream{ID: id, Service: "s", DataCentre: dataCentre})
		}
	})
	return New(Options{View: view, Upstreams: f, Crashes: noCrashes{}, Suspects: health.NewSuspects(), DataCentre: "here", Now: now, Logger: zerolog.Nop()}), f
}

// Checks what the caller receives of a stream whose first upstream fails, and the number of
// sends. Only a resumable stream continues at another upstream, after the last event that was
// forwarded. A stream that was cut off must never look complete.
func TestStream(t *testing.T) {
	healthy := streamBehaviour{version: 5}
	for _, c := range []struct {
		name       string
		resumable  bool
		behaviours []streamBehaviour
		received   string // events, each with the upstream that produced it
		outcome    string // see outcomeOf
		sends      int    // -1: not checked
	}{
		{"whole", false, []streamBehaviour{healthy, healthy}, "u0:1 u0:2 u0:3 u0:4", "whole", 1},
		{"broken, not resumable", false, []streamBehaviour{{breakAfter: 2}, healthy}, "u0:1 u0:2", "aborted", 1},
		{"broken, resumed", true, []streamBehaviour{{breakAfter: 2, version: 5}, healthy}, "u0:1 u0:2 u1:3 u1:4", "whole", 2},
		{"not connected, not resumable", false, []streamBehaviour{{unreachable: true}, healthy}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"an event is missing, resumed", true, []streamBehaviour{{skip: 2, version: 5}, healthy}, "u0:1 u1:2 u1:3 u1:4", "whole", 2},
		{"an event is missing, not resumable", false, []streamBehaviour{{skip: 2}, healthy}, "u0:1", "aborted", 1},
		{"the others have newer model weights", true, []streamBehaviour{{breakAfter: 2, version: 5}, {version: 6}}, "u0:1 u0:2", "aborted", 2},
		{"one of the others has the same model weights", true, []streamBehaviour{{breakAfter: 2, version: 5}, {version: 6}, {version: 5}}, "u0:1 u0:2 u2:3 u2:4", "whole", -1},
		{"attempts used up", true, []streamBehaviour{{breakAfter: 1, version: 5}, {breakAfter: 2, version: 5}, {breakAfter: 3, version: 5}}, "", "aborted", 2},
		{"refused by one", false, []streamBehaviour{{status: 503, notRun: true}, healthy}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"refused by all", false, []streamBehaviour{{status: 503, notRun: true}, {status: 429, notRun: true}}, "", "503", 2},
		{"status 500, not resumable", false, []streamBehaviour{{status: 500}, healthy}, "", "500", 1},
		{"status 500, resumable", true, []streamBehaviour{{status: 500}, healthy}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"status 422 is final", true, []streamBehaviour{{status: 422}, healthy}, "", "422", 1},
		{"foreign events behind the end, then malformed", true, []streamBehaviour{{extra: 1, version: 5}, healthy}, "u0:1 u0:2 u0:3 u0:4 u0:5", "aborted", 2},
		{"more events than the request allows", true, []streamBehaviour{{extra: 1, tooMany: true, version: 5}, healthy}, "u0:1 u0:2 u0:3 u0:4 u0:5", "aborted", 1},
		{"no upstream", false, nil, "", "503", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, f := streamSetup(c.behaviours...)
				r := routes.Route{Name: "r", Streaming: true, Resumable: c.resumable, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}
				result := gate.Stream(context.Background(), r, call(), 0, f)
				g.Expect(outcomeOf(result)).To(Equal(c.outcome))
				if c.received != "" || c.outcome != "aborted" {
					g.Expect(strings.Join(f.received, " ")).To(Equal(c.received))
				}
				if c.sends >= 0 {
					g.Expect(f.opened).To(HaveLen(c.sends))
				}
			})
		})
	}
}

// outcomeOf returns "whole" for a complete stream, "aborted" for one that was cut off, and the
// status of any other response.
func outcomeOf(r StreamResult) string {
	switch {
	case r.Err != nil:
		return "aborted"
	case r.Refusal != nil:
		return fmt.Sprint(r.Refusal.Status)
	case r.Response != nil:
		return fmt.Sprint(r.Response.Status)
	default:
		return "whole"
	}
}

// A caller that reconnects with the ID of its last event receives only the events after it.
func TestCallerResumesStream(t *testing.T) {
	g := NewWithT(t)
	gate, f := streamSetup(streamBehaviour{version: 5})
	r := routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}
	result := gate.Stream(context.Background(), r, call(), 3, f)
	g.Expect(outcomeOf(result)).To(Equal("whole"))
	g.Expect(f.received).To(Equal([]string{"u0:4"}))
	g.Expect(f.opened[0].LastEventID).To(Equal(3))
}

// Guards against upstreams that keep producing a stream whose caller disconnected: the first
// one if its stream isn't closed, and a second one if the disconnect counts as a failure of
// the first.
func TestCallerDisconnectsDuringStream(t *testing.T) {
	g := NewWithT(t)
	gate, f := streamSetup(streamBehaviour{version: 5}, streamBehaviour{version: 5})
	f.disconnectAfter = 2
	r := routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}
	result := gate.Stream(context.Background(), r, call(), 0, f)
	g.Expect(result.Err).To(MatchError(ErrStreamAborted))
	g.Expect(f.opened).To(HaveLen(1))
	g.Expect(f.closed).To(Equal(1))
}

// Guards against a stream that hangs beyond its route's timeout, and against one that looks
// complete when it is ended there: the caller would not notice the missing events.
func TestStreamIsAbortedAtRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := streamSetup(streamBehaviour{hangAfter: 2})
		r := routes.Route{MaxAttempts: 1, Timeout: 300 * time.Millisecond, Services: []routes.WeightedService{{Service: "s", Weight: 1}}}
		began := time.Now()
		result := gate.Stream(context.Background(), r, call(), 0, f)
		g.Expect(result.Err).To(MatchError(ErrStreamAborted))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 300*time.Millisecond))
		g.Expect(f.closed).To(Equal(1))
	})
}

// suspendingWriter is a caller of a stream during whose first event the VM is suspended.
type suspendingWriter struct {
	*fakeStreams
	suspended *time.Duration
}

func (w suspendingWriter) Write(e Event) error {
	*w.suspended = 10 * time.Second
	return w.fakeStreams.Write(e)
}

// Guards against an upstream that is avoided as slow because the VM was suspended during a stream:
// the clock of the gateway goes on meanwhile, and the upstream has not run for that long.
func TestRunTimeOfStreamExcludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, f := streamSetup(streamBehaviour{})
		time.Sleep(time.Second)
		f.firstEventDelay = 20 * time.Millisecond
		var suspended time.Duration
		now := gate.now
		gate.now = func() time.Duration { return now() + suspended }
		result := gate.Stream(context.Background(), route(routes.Safe, 1), call(), 0, suspendingWriter{f, &suspended})
		g.Expect(result).To(BeZero())
		gate.balancer.pick(gate.view.ByService("s"), nil, gate.now())
		g.Expect(gate.balancer.serviceLoad([]string{"u0"}, gate.now()).RunTime).To(Equal(20 * time.Millisecond))
	})
}
