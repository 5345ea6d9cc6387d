package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Generate runs one completion to its end. A stream that breaks is resumed on
// another engine from the tokens already had. onChunk (may be nil) sees each
// chunk once, in order, from one goroutine at a time; its error ends the request.
// Errors are *Error.
func (d *Dispatcher) Generate(ctx context.Context, g Generate, onChunk func(upstream.Chunk) error) (Generated, error) {
	s := d.shardOfModel(g.Team, g.Model)
	if err := d.entry(s); err != nil {
		return Generated{}, err
	}
	ctx, cancel := withDeadline(ctx, g.Deadline)
	defer cancel()
	if g.Straggler && d.o.Policy != Naive {
		return d.generateHedged(ctx, s, g, onChunk)
	}
	c := newGeneration(d, s, g, &collector{emit: onChunk})
	if err := c.do(ctx); err != nil {
		return Generated{}, err
	}
	return c.had.generated(), nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// generation is one run of a completion; a hedged one has two.
type generation struct {
	run
	g  Generate
	mu sync.Mutex // guards had against a hedge that clones it
	// had is what was collected so far, tried where; guarded as well.
	had   *collector
	tried []ident.Upstream
	began int // tokens that it began with, as a hedge
}

func newGeneration(d *Dispatcher, s *shard, g Generate, had *collector) *generation {
	c := &generation{g: g, had: had}
	c.run = run{
		d:          d,
		s:          s,
		id:         g.ID,
		fp:         fingerprint(g),
		want:       wantOf(d, s, g),
		deadline:   g.Deadline,
		idempotent: true,
		resumable:  d.o.Policy != Naive,
	}
	return c
}

// wantOf derives what admission and routing need.
func wantOf(d *Dispatcher, s *shard, g Generate) want {
	tokens := g.ExpectedTokens
	if tokens <= 0 {
		tokens = g.MaxTokens
	}
	w := want{
		team:         g.Team,
		model:        g.Model,
		stepDeadline: g.Deadline,
		urgent:       g.Straggler,
		cost:         float64(tokens),
		prefer:       g.Prefer,
		route: routing.Request{
			Class:          classOf(g.Class),
			Prefix:         prefixOf(g),
			MinVersion:     g.MinVersion,
			Straggler:      g.Straggler,
			ExpectedTokens: g.ExpectedTokens,
		},
	}
	s.mu.Lock()
	need := s.pace.of(g.ExpectedTokens)
	s.mu.Unlock()
	w.deadline = d.latestStart(g.Deadline, need, g.Class)
	return w
}

// latestStart leaves an accepted request the time it needs: what is let in
// should end well. Production without a deadline waits for QueueTimeout, rollouts
// as long as it takes.
func (d *Dispatcher) latestStart(deadline time.Time, need time.Duration, class Class) time.Time {
	now := d.o.Now()
	if deadline.IsZero() {
		if class == Rollout {
			return time.Time{}
		}
		return now.Add(d.o.QueueTimeout)
	}
	left := deadline.Sub(now)
	return deadline.Add(-min(need, time.Duration(mostNeed*float64(left))))
}

// mostNeed is the share of its time that a request is expected to run, at most:
// the estimate may be wrong, and on an idle engine it's worth a try.
const mostNeed = 0.9

// prefixOf hashes the beginning of the prompt, which engines cache by.
func prefixOf(g Generate) uint64 {
	prompt := g.Prompt
	if len(g.Chat) > 0 {
		prompt = g.Chat[0].Content
	}
	if prompt == "" {
		return 0
	}
	return xxhash.Sum64String(prompt[:min(len(prompt), wire.PrefixBytes)])
}

// fingerprint covers all that an engine is asked.
func fingerprint(g Generate) poison.Fingerprint {
	parts := []string{"generate", string(g.Team), string(g.Model), g.Prompt}
	for _, m := range g.Chat {
		parts = append(parts, m.Role, m.Content)
	}
	parts = append(parts, strconv.Itoa(g.MaxTokens), strconv.FormatInt(g.Seed, 10))
	return poison.FingerprintOf(parts...)
}

// do runs the copy to its end; nil means that had is whole.
func (c *generation) do(ctx context.Context) error {
	if err := c.loop(ctx, c.attemptOnce, c.sent); err != nil {
		tokensWasted.Add(int64(c.had.tokens - c.began))
		return err
	}
	return nil
}

// sent says whether the next attempt goes on from something. The naive policy
// can't: it starts anew unless the caller saw a part.
func (c *generation) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumable {
		return c.had.tokens > 0
	}
	if !c.had.emitted {
		c.had.restart()
	}
	return c.had.emitted
}

// attemptOnce streams from one engine.
func (c *generation) attemptOnce(ctx context.Context, sl *slot) error {
	c.mu.Lock()
	c.tried = append(c.tried, sl.m.target.Name)
	request := upstream.GenerateRequest{
		ID:           c.g.ID,
		Model:        c.g.Model,
		Prompt:       c.g.Prompt,
		Chat:         c.g.Chat,
		MaxTokens:    c.g.MaxTokens,
		Seed:         c.g.Seed,
		ResumeText:   c.had.text.String(),
		ResumeTokens: c.had.tokens,
	}
	c.resumed = c.had.tokens
	c.mu.Unlock()
	w := watch{s: c.s, sl: sl, model: c.g.Model}
	name := sl.m.target.Name
	err := c.d.o.Client.Generate(ctx, c.s.targetOf(sl.m), request, func(ch upstream.Chunk) error {
		w.saw(ch, c.d.o.Now())
		c.probation(sl)
		return c.take(func() error { return c.had.add(name, ch) })
	})
	if err != nil {
		if ctx.Err() != nil {
			// What is too slow for its deadline must teach the limits as well: if
			// only answers in time did, an overload would look like good times.
			w.done(c.want.route.Class)
		}
		c.mu.Lock()
		c.had.drop()
		c.mu.Unlock()
		return err
	}
	w.done(c.want.route.Class)
	return c.take(func() error { return c.had.commit(name) })
}

// take changes had under its lock. The lock is this copy's own: only a hedge's
// clone ever waits for it.
func (c *generation) take(change func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := change(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

func (s *shard) targetOf(m *member) upstream.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.target
}

// watch learns from the chunks of one attempt.
type watch struct {
	s           *shard
	sl          *slot
	model       ident.Model
	version     ident.Version
	leaving     bool
	first, last time.Time
	tokens      int // behind the first chunk
}

func (w *watch) saw(ch upstream.Chunk, now time.Time) {
	if w.first.IsZero() {
		w.first = now
		cachedTokens.Add(int64(ch.CachedTokens))
	} else {
		w.tokens += ch.Tokens
	}
	w.last = now
	w.sl.tokens += ch.Tokens
	if ch.Leaving && !w.leaving {
		w.leaving = true
		w.s.left(w.sl.m, health.FromAnswer)
	}
	if ch.Version != 0 && ch.Version != w.version {
		w.version = ch.Version
		w.s.serves(w.sl.m, w.model, ch.Version)
	}
}

// done teaches routing and limits the time between tokens.
func (w *watch) done(class routing.Class) {
	if w.tokens <= 0 {
		return
	}
	perToken := w.last.Sub(w.first) / time.Duration(w.tokens)
	if perToken <= 0 {
		return
	}
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ObserveTokenTime(w.sl.m.target.Name, class, perToken, w.sl.beside)
	s.pace.observe(perToken, w.last.Sub(w.sl.started))
	s.observe(w.sl, perToken)
}

// left takes note that an upstream is leaving.
func (s *shard) left(m *member, source health.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(health.SaidLeaving{Upstream: m.target.Name, Source: source}, s.d.o.Now())
}

// serves takes a version from a chunk, which is newer than any report.
func (s *shard) serves(m *member, model ident.Model, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.serving[model] == v {
		return
	}
	serving := map[ident.Model]ident.Version{model: v}
	for other, old := range m.serving {
		if other != model {
			serving[other] = old
		}
	}
	m.serving = serving // replaced whole: digests share it
	s.refresh(m)
}
