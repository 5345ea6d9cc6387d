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

// Generate runs one completion to its end. If a stream breaks, another engine resumes it
// after the tokens already received. onChunk, which may be nil, is called for each chunk
// once, in order, by one goroutine at a time; if it returns an error, the request ends.
// Errors are *Error.
func (d *Dispatcher) Generate(ctx context.Context, request GenerateRequest, onChunk func(upstream.Chunk) error) (Completion, error) {
	s := d.shardOfModel(request.Team, request.Model)
	if err := d.checkAccepting(s); err != nil {
		return Completion{}, err
	}
	ctx, cancel := withDeadline(ctx, request.Deadline)
	defer cancel()
	if request.Straggler && d.options.Policy != PolicyNaive {
		return d.generateHedged(ctx, s, request, onChunk)
	}
	g := newGeneration(d, s, request, &collector{emit: onChunk})
	if err := g.complete(ctx); err != nil {
		return Completion{}, err
	}
	return g.collected.result(), nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// generation is one run of a completion. A hedged request has two.
type generation struct {
	requestRun
	request GenerateRequest
	mu      sync.Mutex // guards collected and triedUpstreams: a hedge may copy them
	// collected is the answer so far.
	collected       *collector
	triedUpstreams  []ident.Upstream
	inheritedTokens int // tokens that a hedge copied from the first run
}

func newGeneration(d *Dispatcher, s *shard, request GenerateRequest, collected *collector) *generation {
	g := &generation{request: request, collected: collected}
	g.requestRun = requestRun{
		dispatcher:  d,
		shard:       s,
		id:          request.ID,
		fingerprint: requestFingerprint(request),
		placement:   newPlacementRequest(d, s, request),
		deadline:    request.Deadline,
		idempotent:  true,
		resumable:   d.options.Policy != PolicyNaive,
	}
	return g
}

// newPlacementRequest derives what admission and routing need to know of a request.
func newPlacementRequest(d *Dispatcher, s *shard, request GenerateRequest) placementRequest {
	tokens := request.ExpectedTokens
	if tokens <= 0 {
		tokens = request.MaxTokens
	}
	req := placementRequest{
		team:          request.Team,
		model:         request.Model,
		stepDeadline:  request.Deadline,
		prioritized:   request.Straggler,
		cost:          float64(tokens),
		preferVersion: request.PreferVersion,
		route: routing.Request{
			Class:          routingClass(request.Class),
			Prefix:         prefixHash(request),
			MinVersion:     request.MinVersion,
			Straggler:      request.Straggler,
			ExpectedTokens: request.ExpectedTokens,
		},
	}
	s.mu.Lock()
	expected := s.generationTimes.estimate(request.ExpectedTokens)
	s.mu.Unlock()
	req.latestStart = d.latestStart(request.Deadline, expected, request.Class)
	return req
}

// latestStart returns when a request must start at the latest, so that it can be expected
// to end before its deadline. Without a deadline, production waits for QueueTimeout and
// rollouts wait without limit.
func (d *Dispatcher) latestStart(deadline time.Time, expected time.Duration, class Class) time.Time {
	now := d.options.Now()
	if deadline.IsZero() {
		if class == ClassRollout {
			return time.Time{}
		}
		return now.Add(d.options.QueueTimeout)
	}
	remaining := deadline.Sub(now)
	return deadline.Add(-min(expected, time.Duration(maxRunShare*float64(remaining))))
}

// maxRunShare bounds the expected run time, as a fraction of the time left until the
// deadline: the estimate may be wrong, and on an idle engine the request is worth a try.
const maxRunShare = 0.9

// prefixHash hashes the beginning of the prompt, so that requests with the same beginning can
// be sent to an engine that has it in its prefix cache.
func prefixHash(request GenerateRequest) uint64 {
	prompt := request.Prompt
	if len(request.Chat) > 0 {
		prompt = request.Chat[0].Content
	}
	if prompt == "" {
		return 0
	}
	return xxhash.Sum64String(prompt[:min(len(prompt), wire.PrefixBytes)])
}

// requestFingerprint covers everything that determines an engine's work.
func requestFingerprint(request GenerateRequest) poison.Fingerprint {
	parts := []string{"generate", string(request.Team), string(request.Model), request.Prompt}
	for _, m := range request.Chat {
		parts = append(parts, m.Role, m.Content)
	}
	parts = append(parts, strconv.Itoa(request.MaxTokens), strconv.FormatInt(request.Seed, 10))
	return poison.FingerprintOf(parts...)
}

// complete runs the generation to its end. If it returns nil, collected is complete.
func (g *generation) complete(ctx context.Context) error {
	if err := g.runAttempts(ctx, g.streamAttempt, g.hasPartialAnswer); err != nil {
		tokensWasted.Add(int64(g.collected.tokens - g.inheritedTokens))
		return err
	}
	return nil
}

// hasPartialAnswer reports whether the next attempt can resume a partial answer. Under the
// naive policy it can't: the attempt starts from scratch, with collected reset, unless the
// caller has already received chunks.
func (g *generation) hasPartialAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumable {
		return g.collected.tokens > 0
	}
	if !g.collected.emitted {
		g.collected.reset()
	}
	return g.collected.emitted
}

// streamAttempt streams from one engine until the stream ends or fails.
func (g *generation) streamAttempt(ctx context.Context, sl *slot) error {
	g.mu.Lock()
	g.triedUpstreams = append(g.triedUpstreams, sl.member.target.Name)
	request := upstream.GenerateRequest{
		ID:           g.request.ID,
		Model:        g.request.Model,
		Prompt:       g.request.Prompt,
		Chat:         g.request.Chat,
		MaxTokens:    g.request.MaxTokens,
		Seed:         g.request.Seed,
		ResumeText:   g.collected.text.String(),
		ResumeTokens: g.collected.tokens,
	}
	g.resumedTokens = g.collected.tokens
	g.mu.Unlock()
	observer := chunkObserver{shard: g.shard, slot: sl, model: g.request.Model}
	name := sl.member.target.Name
	err := g.dispatcher.options.Client.Generate(ctx, g.shard.targetOf(sl.member), request, func(chunk upstream.Chunk) error {
		observer.observe(chunk, g.dispatcher.options.Now())
		g.checkProbation(sl)
		return g.updateCollected(func() error { return g.collected.add(name, chunk) })
	})
	if err != nil {
		if ctx.Err() != nil {
			// Attempts that are too slow for their deadline must count as well: if only
			// those that end in time did, latency would look good during an overload.
			observer.recordTimings(g.placement.route.Class)
		}
		g.mu.Lock()
		g.collected.discardPending()
		g.mu.Unlock()
		return err
	}
	observer.recordTimings(g.placement.route.Class)
	return g.updateCollected(func() error { return g.collected.commit(name) })
}

// updateCollected changes collected under its lock. There is no contention on the lock,
// except when a hedge copies the answer.
func (g *generation) updateCollected(change func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := change(); err != nil {
		return fmt.Errorf("%w: %w", errCallerFailed, err)
	}
	return nil
}

func (s *shard) targetOf(m *member) upstream.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.target
}

// chunkObserver takes versions, leaving notices and timings from the chunks of one attempt.
type chunkObserver struct {
	shard           *shard
	slot            *slot
	model           ident.Model
	version         ident.Version
	leaving         bool
	firstAt, lastAt time.Time
	laterTokens     int // tokens after the first chunk
}

func (o *chunkObserver) observe(chunk upstream.Chunk, now time.Time) {
	if o.firstAt.IsZero() {
		o.firstAt = now
		cachedTokens.Add(int64(chunk.CachedTokens))
	} else {
		o.laterTokens += chunk.Tokens
	}
	o.lastAt = now
	o.slot.tokens += chunk.Tokens
	if chunk.Leaving && !o.leaving {
		o.leaving = true
		o.shard.markLeaving(o.slot.member, health.FromAnswer)
	}
	if chunk.Version != 0 && chunk.Version != o.version {
		o.version = chunk.Version
		o.shard.setServing(o.slot.member, o.model, chunk.Version)
	}
}

// recordTimings reports the mean time per token to routing and to the member's limit.
func (o *chunkObserver) recordTimings(class routing.Class) {
	if o.laterTokens <= 0 {
		return
	}
	perToken := o.lastAt.Sub(o.firstAt) / time.Duration(o.laterTokens)
	if perToken <= 0 {
		return
	}
	s := o.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routingTable.ObserveTokenTime(o.slot.member.target.Name, class, perToken, o.slot.upstreamInFlight)
	s.generationTimes.observe(perToken, o.lastAt.Sub(o.slot.started))
	s.observeLatency(o.slot, perToken)
}

// markLeaving marks a member as leaving.
func (s *shard) markLeaving(m *member, source health.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyHealthEvent(health.SaidLeaving{Upstream: m.target.Name, Source: source}, s.dispatcher.options.Now())
}

// setServing takes the version that a member serves from a chunk, which is more recent
// than any load report.
func (s *shard) setServing(m *member, model ident.Model, version ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.serving[model] == version {
		return
	}
	serving := map[ident.Model]ident.Version{model: version}
	for other, served := range m.serving {
		if other != model {
			serving[other] = served
		}
	}
	m.serving = serving // replaced, not changed: digests share the map
	s.updateRouting(m)
}
