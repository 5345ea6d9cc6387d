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
	tokenTime    = 10 * time.Millisecond
	answerTokens = 10 // length of an answer
	restartTime  = 300 * time.Millisecond
	killerPrompt = "kills engines" // a request whose prompt contains this is a killer: it ends its engine
)

// engine is a simulated engine.
type engine struct {
	name           ident.Upstream
	boot           int
	alive          bool
	leaving        bool
	version        ident.Version
	extraTokenTime time.Duration // per token, in addition to tokenTime
	resetAll       bool          // its connections break after the first byte
	frozen         bool          // accepts calls and never answers
	exited         chan struct{} // closed when the process dies
	running        int
	deaths         int
}

// world simulates the engines of a group and implements Client for them.
type world struct {
	mu             sync.Mutex
	engines        map[ident.Upstream]*engine
	started        map[string]int   // how often engines started a request, by its prompt or body
	runningAtStart map[string][]int // other requests that were running on the engine at each start
	answerTokens   int              // length of an answer
	killAtToken    int              // token at which a killer ends its engine
}

func newWorld(n int) *world {
	w := &world{engines: map[ident.Upstream]*engine{}, started: map[string]int{}, runningAtStart: map[string][]int{}, answerTokens: answerTokens, killAtToken: 2}
	for i := range n {
		name := ident.Upstream(fmt.Sprintf("e%d", i))
		w.engines[name] = &engine{name: name, alive: true, boot: 1, version: ident.Version(i + 1), exited: make(chan struct{})}
	}
	return w
}

// kill ends an engine's process, which restarts after restartTime.
func (w *world) kill(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive = false
	e.deaths++
	close(e.exited)
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		e.alive, e.boot, e.exited = true, e.boot+1, make(chan struct{})
	})
}

func (w *world) deaths() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		n += e.deaths
	}
	return n
}

func (w *world) busyEngines() []*engine {
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

// setExtraTokenTime slows down all engines, or only the idle ones.
func (w *world) setExtraTokenTime(extra time.Duration, idleOnly bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if !idleOnly || e.running == 0 {
			e.extraTokenTime = extra
		}
	}
}

func (w *world) extraTokenTime(e *engine) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.extraTokenTime
}

func (w *world) servingVersion(e *engine) ident.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.version
}

func fakeFault(t upstream.Target, f upstream.Fault, o outcome.Outcome) error {
	return &upstream.Error{Fault: f, Outcome: o, Upstream: t.Name, Err: errors.New("fake")}
}

// start counts a request as running. It returns an error if the engine isn't alive.
func (w *world) start(t upstream.Target, content string) (*engine, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[t.Name]
	if !e.alive {
		return nil, nil, fakeFault(t, upstream.Refused, outcome.NotRun)
	}
	w.runningAtStart[content] = append(w.runningAtStart[content], e.running)
	w.started[content]++
	e.running++
	return e, e.exited, nil
}

// startCount returns how often engines started a request.
func (w *world) startCount(content string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started[content]
}

func (w *world) finish(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.running--
}

func (w *world) Generate(ctx context.Context, t upstream.Target, r upstream.GenerateRequest, onChunk func(upstream.Chunk) error) error {
	e, exited, err := w.start(t, r.Prompt)
	if err != nil {
		return err
	}
	defer w.finish(e)
	for i := r.ResumeTokens; i < w.answerTokens; i++ {
		if strings.Contains(r.Prompt, killerPrompt) && i == w.killAtToken {
			w.kill(e)
		}
		select {
		case <-exited:
			return fakeFault(t, upstream.Reset, outcome.Unknown)
		case <-ctx.Done():
			return fakeFault(t, upstream.Cancelled, outcome.Unknown)
		case <-time.After(tokenTime + w.extraTokenTime(e)):
		}
		chunk := upstream.Chunk{Text: fmt.Sprintf("t%d ", i), Tokens: 1, Version: w.servingVersion(e), Leaving: e.leaving}
		if i == w.answerTokens-1 {
			chunk.FinishReason = "stop"
		}
		if err := onChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) Call(ctx context.Context, t upstream.Target, r upstream.ServiceRequest) (*upstream.ServiceResponse, error) {
	e, exited, err := w.start(t, string(r.Body))
	if err != nil {
		return nil, err
	}
	defer w.finish(e)
	if e.resetAll {
		return nil, fakeFault(t, upstream.Reset, outcome.Unknown)
	}
	answered, silent := time.After(tokenTime), (<-chan time.Time)(nil)
	if e.frozen {
		answered = nil
	}
	if r.FirstByteTimeout > 0 {
		silent = time.After(r.FirstByteTimeout)
	}
	select {
	case <-exited:
		return nil, fakeFault(t, upstream.Reset, outcome.Unknown)
	case <-ctx.Done():
		return nil, fakeFault(t, upstream.Cancelled, outcome.Unknown)
	case <-silent:
		return nil, fakeFault(t, upstream.Silent, outcome.Unknown)
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
		return wire.LoadReport{}, fakeFault(t, upstream.Refused, outcome.NotRun)
	}
	serving := map[string]int64{"m": int64(e.version)}
	return wire.LoadReport{BootID: fmt.Sprint(e.boot), Running: e.running, Leaving: e.leaving, Serving: serving}, nil
}

// tree returns a configuration with one group, "g", of all engines.
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

// startDaemon starts a dispatcher and waits until it has load reports.
func (w *world) startDaemon(ctx context.Context, self ident.VM, p Policy) *Dispatcher {
	d := New(Options{Self: self, Client: w, Policy: p, Log: zerolog.Nop()})
	d.applyTree(w.tree())
	go d.Run(ctx)
	time.Sleep(2 * time.Second) // of simulated time, until the first load reports are in
	return d
}

// fullAnswer returns the text of a whole answer.
func fullAnswer() string { return answerOf(answerTokens) }

func answerOf(size int) string {
	var b strings.Builder
	for i := range size {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

func generate(d *Dispatcher, prompt string) (Completion, string, error) {
	var seen strings.Builder
	request := GenerateRequest{ID: ident.RequestID(prompt), Team: "t", Model: "m", Prompt: prompt, MaxTokens: answerTokens}
	answer, err := d.Generate(context.Background(), request, func(ch upstream.Chunk) error {
		seen.WriteString(ch.Text)
		return nil
	})
	return answer, seen.String(), err
}
