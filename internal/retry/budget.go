package retry

import "time"

// Budget is a token bucket that successes and, slowly, time fill. A repetition
// takes one token, so repetitions stay a share of the traffic: an outage can't
// multiply the load by the number of attempts. Not safe for concurrent use.
type Budget struct {
	options BudgetOptions
	tokens  float64
	filled  time.Time
}

// BudgetOptions of a budget.
type BudgetOptions struct {
	Share     float64 // tokens for each success; default 0.1
	PerSecond float64 // tokens for each second without traffic; default 3
	Max       float64 // tokens kept at most; default 50
}

// NewBudget returns a budget that starts full.
func NewBudget(o BudgetOptions, now time.Time) *Budget {
	if o.Share <= 0 {
		o.Share = 0.1
	}
	if o.PerSecond <= 0 {
		o.PerSecond = 3
	}
	if o.Max <= 0 {
		o.Max = 50
	}
	return &Budget{options: o, tokens: o.Max, filled: now}
}

// Succeeded adds the share of one success.
func (b *Budget) Succeeded(now time.Time) {
	b.fill(now)
	b.add(b.options.Share)
}

// Take takes one token if there is one.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many are left.
func (b *Budget) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

func (b *Budget) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.add(elapsed.Seconds() * b.options.PerSecond)
		b.filled = now
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.options.Max) }
