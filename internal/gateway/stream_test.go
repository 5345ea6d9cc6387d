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
)

// streamLength is how many events each stream of these tests has.
const streamLength = 4

// source is what one upstream does with a stream.
type source struct {
	refuses  int   // status of an answer without a stream, 0: it streams
	notRun   bool  // of that answer
	breaksAt int   // the stream breaks after this event, 0: never
	hangsAt  int   // the stream stands still after this event, 0: never
	skips    int   // this event is left out
	version  int64 // of its weights; asked for another one it refuses
	dial     bool  // it can't be reached
}

type opened struct {
	upstream string
	Resume
}

// streamWorld is upstreams u0, u1, ... and a caller that counts.
type streamWorld struct {
	sources map[string]source
	asked   []opened
	closed  int
	status  int
	got     []string
	leaves  int // the caller leaves after so many events, 0: never
	// firstAfter is how long the first event of each stream takes.
	firstAfter time.Duration
}

func (w *streamWorld) Call(context.Context, registry.Upstream, *Call, bool) (*Answer, error) {
	return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("no calls here")}
}

func (w *streamWorld) Reachable(context.Context, registry.Upstream) bool { return true }

func (w *streamWorld) Open(ctx context.Context, u registry.Upstream, _ *Call, r Resume) (*Stream, error) {
	w.asked = append(w.asked, opened{u.ID, r})
	s := w.sources[u.ID]
	switch {
	case s.dial:
		return nil, &exchange.Failure{Kind: exchange.Dial, Err: errors.New("test")}
	case s.refuses != 0:
		return &Stream{Answer: Answer{Status: s.refuses, NotRun: s.notRun, Load: -1}}, nil
	case r.Version != 0 && r.Version != s.version:
		return &Stream{Answer: Answer{Status: http.StatusMisdirectedRequest, NotRun: true, Load: -1}}, nil
	}
	return &Stream{Answer: Answer{Status: 200, Load: -1}, Version: s.version, Events: &sourceEvents{w: w, ctx: ctx, s: s, id: u.ID, after: r.After}}, nil
}

type sourceEvents struct {
	begun bool
	w     *streamWorld
	ctx   context.Context
	s     source
	id    string
	after int
}

func (e *sourceEvents) Next() (Event, error) {
	switch {
	case e.s.breaksAt > 0 && e.after >= e.s.breaksAt:
		return Event{}, &exchange.Failure{Kind: exchange.Reset, Sent: true, Err: errors.New("test")}
	case e.s.hangsAt > 0 && e.after >= e.s.hangsAt:
		<-e.ctx.Done()
		return Event{}, &exchange.Failure{Kind: exchange.Cancelled, Sent: true, Err: e.ctx.Err()}
	case e.after >= streamLength:
		return Event{}, io.EOF
	}
	if !e.begun {
		e.begun = true
		time.Sleep(e.w.firstAfter)
	}
	e.after++
	if e.after == e.s.skips {
		e.after++
	}
	return Event{ID: e.after, Raw: fmt.Appendf(nil, "%s:%d", e.id, e.after)}, nil
}

func (e *sourceEvents) Close() { e.w.closed++ }

func (w *streamWorld) Start(status int, _ http.Header) error {
	w.status = status
	return nil
}

func (w *streamWorld) Write(e Event) error {
	if w.leaves > 0 && len(w.got) >= w.leaves {
		return errors.New("caller's connection is closed")
	}
	w.got = append(w.got, string(e.Raw))
	return nil
}

func streamSetup(sources ...source) (*Gateway, *streamWorld) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	w := &streamWorld{sources: map[string]source{}}
	view := fleet.New(now)
	view.Upstreams(func(r *registry.Registry, _ time.Duration) {
		for i, s := range sources {
			id := fmt.Sprint("u", i)
			w.sources[id] = s
			dc := "here"
			if i > 0 {
				dc = "far"
			}
			r.Put(registry.Upstream{ID: id, Service: "s", DataCentre: dc})
		}
	})
	return New(Options{View: view, Upstreams: w, Crashes: noCrashes{}, Suspects: health.NewSuspects(), DataCentre: "here", Now: now, Logger: zerolog.Nop()}), w
}

// What a caller gets of a stream whose first upstream (the nearest) misbehaves, and
// how often the request is sent. Only a stream that may be resumed goes on elsewhere,
// behind the last event passed on; none that was begun ends as if it were whole.
func TestStream(t *testing.T) {
	fine := source{version: 5}
	for _, c := range []struct {
		name      string
		resumable bool
		sources   []source
		got       string // events, each with the upstream that made it
		outcome   string
		sends     int
	}{
		{"whole", false, []source{fine, fine}, "u0:1 u0:2 u0:3 u0:4", "whole", 1},
		{"broken, may not be resumed", false, []source{{breaksAt: 2}, fine}, "u0:1 u0:2", "broken", 1},
		{"broken, resumed", true, []source{{breaksAt: 2, version: 5}, fine}, "u0:1 u0:2 u1:3 u1:4", "whole", 2},
		{"broken before the first event, may not run again", false, []source{{dial: true}, fine}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"an event is missing", true, []source{{skips: 2, version: 5}, fine}, "u0:1 u1:2 u1:3 u1:4", "whole", 2},
		{"an event is missing, may not be resumed", false, []source{{skips: 2}, fine}, "u0:1", "broken", 1},
		{"the others have newer weights", true, []source{{breaksAt: 2, version: 5}, {version: 6}}, "u0:1 u0:2", "broken", 2},
		{"one of the others has the same weights", true, []source{{breaksAt: 2, version: 5}, {version: 6}, {version: 5}}, "u0:1 u0:2 u2:3 u2:4", "whole", -1},
		{"attempts used up", true, []source{{breaksAt: 1, version: 5}, {breaksAt: 2, version: 5}, {breaksAt: 3, version: 5}}, "", "broken", 2},
		{"refused by one", false, []source{{refuses: 503, notRun: true}, fine}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"refused by all", false, []source{{refuses: 503, notRun: true}, {refuses: 429, notRun: true}}, "", "503", 2},
		{"an upstream's own failure, may not run again", false, []source{{refuses: 500}, fine}, "", "500", 1},
		{"an upstream's own failure, may run again", true, []source{{refuses: 500}, fine}, "u1:1 u1:2 u1:3 u1:4", "whole", 2},
		{"an upstream's own answer", true, []source{{refuses: 422}, fine}, "", "422", 1},
		{"no upstream", false, nil, "", "503", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gate, w := streamSetup(c.sources...)
				r := routes.Route{Name: "r", Streaming: true, Resumable: c.resumable, MaxAttempts: 2, Services: []routes.Share{{Service: "s", Weight: 1}}}
				result := gate.Stream(context.Background(), r, call(), 0, w)
				g.Expect(outcomeOf(result)).To(Equal(c.outcome))
				if c.got != "" || c.outcome != "broken" {
					g.Expect(strings.Join(w.got, " ")).To(Equal(c.got))
				}
				if c.sends >= 0 {
					g.Expect(w.asked).To(HaveLen(c.sends))
				}
			})
		})
	}
}

func outcomeOf(r StreamResult) string {
	switch {
	case r.Err != nil:
		return "broken"
	case r.Refusal != nil:
		return fmt.Sprint(r.Refusal.Status)
	case r.Answer != nil:
		return fmt.Sprint(r.Answer.Status)
	default:
		return "whole"
	}
}

// A caller comes back with the last event that it has. The upstream is asked for
// what follows it.
func TestCallerResumes(t *testing.T) {
	g := NewWithT(t)
	gate, w := streamSetup(source{version: 5})
	r := routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.Share{{Service: "s", Weight: 1}}}
	result := gate.Stream(context.Background(), r, call(), 3, w)
	g.Expect(outcomeOf(result)).To(Equal("whole"))
	g.Expect(w.got).To(Equal([]string{"u0:4"}))
	g.Expect(w.asked[0].After).To(Equal(3))
}

// A caller leaves in the midst of its stream. The upstream would make events for
// nobody, and another one too if that counted as a failure.
func TestCallerLeavesStream(t *testing.T) {
	g := NewWithT(t)
	gate, w := streamSetup(source{version: 5}, source{version: 5})
	w.leaves = 2
	r := routes.Route{Resumable: true, MaxAttempts: 2, Services: []routes.Share{{Service: "s", Weight: 1}}}
	result := gate.Stream(context.Background(), r, call(), 0, w)
	g.Expect(result.Err).To(MatchError(ErrBrokenOff))
	g.Expect(w.asked).To(HaveLen(1))
	g.Expect(w.closed).To(Equal(1))
}

// An upstream stands still in the midst of a stream past the route's timeout. The
// caller's connection ends then; an end that looks whole would lose events unseen.
func TestStreamEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, w := streamSetup(source{hangsAt: 2})
		r := routes.Route{MaxAttempts: 1, Timeout: 300 * time.Millisecond, Services: []routes.Share{{Service: "s", Weight: 1}}}
		began := time.Now()
		result := gate.Stream(context.Background(), r, call(), 0, w)
		g.Expect(result.Err).To(MatchError(ErrBrokenOff))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 300*time.Millisecond))
		g.Expect(w.closed).To(Equal(1))
	})
}
