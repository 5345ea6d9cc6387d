package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// hedgeDelayFactor is how long a straggler runs before it is hedged, as a multiple of its
// expected duration.
const hedgeDelayFactor = 1.5

// generateHedged runs a straggler. If it takes too long, a hedge resumes its answer on
// another engine. The first run to complete wins, and the other one is cancelled. Chunks
// are passed on only when the winner is known.
func (d *Dispatcher) generateHedged(ctx context.Context, s *shard, request GenerateRequest, onChunk func(upstream.Chunk) error) (Completion, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the run that lost
	original := newGeneration(d, s, request, &collector{keepChunks: true})
	results := make(chan hedgeResult, 2)
	go original.completeTo(ctx, results)

	winner, err := d.race(ctx, original, results)
	if err != nil {
		return Completion{}, err
	}
	return winner.collected.result(), replayChunks(winner.collected.chunks, onChunk)
}

// hedgeResult is the result of one of the runs.
type hedgeResult struct {
	generation *generation
	err        error
}

func (g *generation) completeTo(ctx context.Context, results chan<- hedgeResult) {
	results <- hedgeResult{g, g.complete(ctx)}
}

// race returns the run that completes first. If neither completes, it returns the original
// run's error.
func (d *Dispatcher) race(ctx context.Context, original *generation, results chan hedgeResult) (*generation, error) {
	timer := time.NewTimer(d.hedgeDelay(original))
	defer timer.Stop()
	running := 1
	var runErr error
	for {
		select {
		case <-timer.C:
			if second := d.newHedge(original); second != nil {
				running++
				go second.completeTo(ctx, results)
			}
		case result := <-results:
			running--
			if result.err == nil {
				d.recordHedgeEnd(result.generation)
				return result.generation, nil
			}
			if runErr == nil || result.generation == original {
				runErr = result.err
			}
			if running == 0 {
				return nil, runErr
			}
		}
	}
}

func (d *Dispatcher) recordHedgeEnd(g *generation) {
	if g.isHedge {
		hedgesWon.Add(1)
	}
	d.recordEvent("hedge-end", g.id, g.placement.team, "", "")
}

// hedgeDelay returns after what time the straggler counts as slower than expected.
func (d *Dispatcher) hedgeDelay(g *generation) time.Duration {
	g.shard.mu.Lock()
	expected := g.shard.generationTimes.estimate(g.request.ExpectedTokens)
	g.shard.mu.Unlock()
	return max(d.options.HedgeAfter, time.Duration(hedgeDelayFactor*float64(expected)))
}

// newHedge returns the second run, or nil if the budget doesn't allow one or there is no
// other upstream.
func (d *Dispatcher) newHedge(original *generation) *generation {
	s := original.shard
	s.mu.Lock()
	allowed := s.hasAlternative() && s.hedgeBudget.Take(d.options.Now())
	s.mu.Unlock()
	if !allowed {
		return nil
	}
	original.mu.Lock()
	collected := original.collected.clone()
	exclude := original.triedUpstreams
	original.mu.Unlock()
	hedge := newGeneration(d, s, original.request, collected)
	hedge.isHedge = true
	hedge.inheritedTokens = collected.tokens
	hedge.placement.route.Exclude = append(hedge.placement.route.Exclude, exclude...)
	hedgesMade.Add(1)
	d.recordEvent("hedge", original.id, original.placement.team, "", "")
	return hedge
}

// hasAlternative reports whether the group has more than one usable upstream.
func (s *shard) hasAlternative() bool {
	usable := 0
	for _, m := range s.used {
		if m.usable() {
			usable++
		}
	}
	return usable > 1
}

func replayChunks(chunks []upstream.Chunk, onChunk func(upstream.Chunk) error) error {
	if onChunk == nil {
		return nil
	}
	for _, chunk := range chunks {
		if err := onChunk(chunk); err != nil {
			return &Error{Reason: ReasonCancelled, Err: err}
		}
	}
	return nil
}
