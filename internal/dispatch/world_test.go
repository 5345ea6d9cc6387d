package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const (
	tokenTime   = 10 * time.Millisecond
	answerSize  = 10 // tokens
	restartTime = 300 * time.Millisecond
	killer      = "kills engines"
)

// engine is a fake upstream.
type engine struct {
	name     ident.Upstream
	boot     int
	alive    bool
	leaving  bool
	version  ident.Version
	slow     time.Duration // by token, besides tokenTime
	resetAll bool          // breaks calls after the first byte
	frozen   bool          // takes calls in and never answers
	end      chan struct{} // closed when the process ends
	running  int
	died     int
}

// world is a fake client and the engines behind it.
type world struct {
	mu      sync.Mutex
	engines map[ident.Upstream]*engine
	began   map[string]int   // requests by prompt or body that an upstream began
	beside  map[string][]int // what ran beside, at each beginning
	size    int              // of an answer, in tokens
	killAt  int              // the token at which a killer ends its engine
}

func newWorld(n int) *world {
	w := &world{engines: map[ident.Upstream]*engine{}, began: map[string]int{}, beside: map[string][]int{}, size: answerSize, killAt: 2}
	for i := range n {
		name := ident.Upstream(fmt.Sprintf("e%d", i))
		w.engines[name] = &engine{name: name, alive: true, boot: 1, version: ident.Version(i + 1), end: make(chan struct{})}
	}
	return w
}

// kill ends an engine's process; it comes back after restartTime.
func (w *world) kill(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive = false
	e.died++
	close(e.end)
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		e.alive, e.boot, e.end = true, e.boot+1, make(chan struct{})
	})
}

func (w *world) deaths() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		n += e.died
	}
	return n
}

func (w *world) busy() []*engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*engine
	for _, e := range w.engines {
		if e.running > 0 {
			list = append(list, e)
		}
	}
	return list
}

// slow sets how slow engines are: all of them, or those at rest.
func (w *world) slow(by time.Duration, idleOnly bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if !idleOnly || e.running == 0 {
			e.slow = by
		}
	}
}

func (w *world) slowness(e *engine) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.slow
}

func (w *world) versionOf(e *engine) ident.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.version
}

func fail(t upstream.Target, f upstream.Fault, o outcome.Outcome) error {
	return &upstream.Error{Fault: f, Outcome: o, Upstream: t.Name, Err: errors.New("fake")}
}

// begin counts a request in; the error says that nothing ran.
func (w *world) begin(t upstream.Target, what string) (*engine, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[t.Name]
	if !e.alive {
		return nil, nil, fail(t, upstream.Refused, outcome.NotRun)
	}
	w.beside[what] = append(w.beside[what], e.running)
	w.began[what]++
	e.running++
	return e, e.end, nil
}

// count returns how often a request began.
func (w *world) count(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began[what]
}

func (w *world) done(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.running--
}

func (w *world) Generate(ctx context.Context, t upstream.Target, r upstream.GenerateRequest, onChunk func(upstream.Chunk) error) error {
	e, end, err := w.begin(t, r.Prompt)
	if err != nil {
		return err
	}
	defer w.done(e)
	for i := r.ResumeTokens; i < w.size; i++ {
		if strings.Contains(r.Prompt, killer) && i == w.killAt {
			w.kill(e)
		}
		select {
		case <-end:
			return fail(t, upstream.Reset, outcome.Unknown)
		case <-ctx.Done():
			return fail(t, upstream.Cancelled, outcome.Unknown)
		case <-time.After(tokenTime + w.slowness(e)):
		}
		ch := upstream.Chunk{Text: fmt.Sprintf("t%d ", i), Tokens: 1, Version: w.versionOf(e), Leaving: e.leaving}
		if i == w.size-1 {
			ch.FinishReason = "stop"
		}
		if err := onChunk(ch); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) Call(ctx context.Context, t upstream.Target, r upstream.ServiceRequest) (*upstream.ServiceResponse, error) {
	e, end, err := w.begin(t, string(r.Body))
	if err != nil {
		return nil, err
	}
	defer w.done(e)
	if e.resetAll {
		return nil, fail(t, upstream.Reset, outcome.Unknown)
	}
	answered, silent := time.After(tokenTime), (<-chan time.Time)(nil)
	if e.frozen {
		answered = nil
	}
	if r.FirstByteTimeout > 0 {
		silent = time.After(r.FirstByteTimeout)
	}
	select {
	case <-end:
		return nil, fail(t, upstream.Reset, outcome.Unknown)
	case <-ctx.Done():
		return nil, fail(t, upstream.Cancelled, outcome.Unknown)
	case <-silent:
		return nil, fail(t, upstream.Silent, outcome.Unknown)
	case <-answered:
	}
	return &upstream.ServiceResponse{Status: 200, Body: r.Body, Leaving: e.leaving}, nil
}

func (w *world) Score(context.Context, upstream.Target, ident.RequestID, string, string) (float64, error) {
	return 1, nil
}

func (w *world) Load(_ context.Context, t upstream.Target) (wire.LoadReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[t.Name]
	if !e.alive {
		return wire.LoadReport{}, fail(t, upstream.Refused, outcome.NotRun)
	}
	serving := map[string]int64{"m": int64(e.version)}
	return wire.LoadReport{BootID: fmt.Sprint(e.boot), Running: e.running, Leaving: e.leaving, Serving: serving}, nil
}

// tree has one group "g" of all engines.
func (w *world) tree() *config.Tree {
	group := config.Group{Kind: config.KindEngine, Upstreams: map[ident.Upstream]config.Upstream{}}
	for name := range w.engines {
		group.Upstreams[name] = config.Upstream{Address: string(name)}
	}
	return &config.Tree{
		Fleet: config.Fleet{Groups: map[string]config.Group{"g": group}},
		Teams: map[ident.Team]config.Team{"t": {Models: map[ident.Model]config.Model{"m": {Group: "g"}}}},
	}
}

// daemon starts a dispatcher that knows the boot IDs already.
func (w *world) daemon(ctx context.Context, self ident.VM, p Policy) *Dispatcher {
	d := New(Options{Self: self, Client: w, Policy: p, Log: zerolog.Nop()})
	d.applyTree(w.tree())
	go d.Run(ctx)
	time.Sleep(2 * time.Second) // of the bubble: first reports are in
	return d
}

// whole is the text of a whole answer.
func whole() string { return wholeOf(answerSize) }

func wholeOf(size int) string {
	var b strings.Builder
	for i := range size {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

func ask(d *Dispatcher, prompt string) (Generated, string, error) {
	var seen strings.Builder
	g := Generate{ID: ident.RequestID(prompt), Team: "t", Model: "m", Prompt: prompt, MaxTokens: answerSize}
	answer, err := d.Generate(context.Background(), g, func(ch upstream.Chunk) error {
		seen.WriteString(ch.Text)
		return nil
	})
	return answer, seen.String(), err
}
