package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// hedgeSlack is how much longer than expected a straggler runs before its copy.
const hedgeSlack = 1.5

// generateHedged runs a step's last sample. If it takes long, a copy goes on from
// what it has on another engine; the first whole one wins and the other is
// cancelled. Chunks are reported once it is known which one that is.
func (d *Dispatcher) generateHedged(ctx context.Context, s *shard, g Generate, onChunk func(upstream.Chunk) error) (Generated, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the loser's connection
	first := newGeneration(d, s, g, &collector{keep: true})
	ended := make(chan ending, 2)
	go first.end(ctx, ended)

	winner, err := d.race(ctx, first, ended)
	if err != nil {
		return Generated{}, err
	}
	return winner.had.generated(), replay(winner.had.chunks, onChunk)
}

// ending is how one of the copies ended.
type ending struct {
	of  *generation
	err error
}

func (c *generation) end(ctx context.Context, ended chan<- ending) {
	ended <- ending{c, c.do(ctx)}
}

// race returns the first whole copy, or the first copy's error if none is.
func (d *Dispatcher) race(ctx context.Context, first *generation, ended chan ending) (*generation, error) {
	timer := time.NewTimer(d.hedgeDelay(first))
	defer timer.Stop()
	running := 1
	var failed error
	for {
		select {
		case <-timer.C:
			if second := d.hedge(first); second != nil {
				running++
				go second.end(ctx, ended)
			}
		case e := <-ended:
			running--
			if e.err == nil {
				d.won(e.of)
				return e.of, nil
			}
			if failed == nil || e.of == first {
				failed = e.err
			}
			if running == 0 {
				return nil, failed
			}
		}
	}
}

func (d *Dispatcher) won(c *generation) {
	if c.hedge {
		hedgesWon.Add(1)
	}
	d.record("hedge-end", c.id, c.want.team, "", "")
}

// hedgeDelay is when the sample has taken clearly longer than expected.
func (d *Dispatcher) hedgeDelay(c *generation) time.Duration {
	c.s.mu.Lock()
	expected := c.s.pace.of(c.g.ExpectedTokens)
	c.s.mu.Unlock()
	return max(d.o.HedgeAfter, time.Duration(hedgeSlack*float64(expected)))
}

// hedge makes the second copy, nil if the budget doesn't allow one or there is
// no other upstream.
func (d *Dispatcher) hedge(first *generation) *generation {
	s := first.s
	s.mu.Lock()
	allowed := s.spare() && s.hedges.Take(d.o.Now())
	s.mu.Unlock()
	if !allowed {
		return nil
	}
	first.mu.Lock()
	had := first.had.clone()
	exclude := first.tried
	first.mu.Unlock()
	second := newGeneration(d, s, first.g, had)
	second.hedge = true
	second.began = had.tokens
	second.want.route.Exclude = append(second.want.route.Exclude, exclude...)
	hedgesMade.Add(1)
	d.record("hedge", first.id, first.want.team, "", "")
	return second
}

// spare says whether another upstream than a running one is live.
func (s *shard) spare() bool {
	live := 0
	for _, m := range s.order {
		if m.usable() {
			live++
		}
	}
	return live > 1
}

func replay(chunks []upstream.Chunk, onChunk func(upstream.Chunk) error) error {
	if onChunk == nil {
		return nil
	}
	for _, ch := range chunks {
		if err := onChunk(ch); err != nil {
			return &Error{Reason: Cancelled, Err: err}
		}
	}
	return nil
}
