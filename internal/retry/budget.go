package retry

import "time"

// Budget is a token bucket that is filled by successes and, slowly, by time. A repetition
// takes one token, so repetitions are limited to a share of the traffic, and an outage can't
// multiply the load by the number of attempts. Budget is not safe for concurrent use.
type Budget struct {
	options    BudgetOptions
	tokens     float64
	refilledAt time.Time
}

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	PerSuccess float64 // tokens added for each success; default 0.1
	PerSecond  float64 // tokens added in each second, also without traffic; default 3
	Capacity   float64 // maximum number of tokens; default 50
}

// NewBudget returns a full budget.
func NewBudget(o BudgetOptions, now time.Time) *Budget {
	if o.PerSuccess <= 0 {
		o.PerSuccess = 0.1
	}
	if o.PerSecond <= 0 {
		o.PerSecond = 3
	}
	if o.Capacity <= 0 {
		o.Capacity = 50
	}
	return &Budget{options: o, tokens: o.Capacity, refilledAt: now}
}

// Succeeded adds the tokens for one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.addTokens(b.options.PerSuccess)
}

// Take takes a token and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.addTokens(elapsed.Seconds() * b.options.PerSecond)
		b.refilledAt = now
	}
}

func (b *Budget) addTokens(tokens float64) { b.tokens = min(b.tokens+tokens, b.options.Capacity) }
