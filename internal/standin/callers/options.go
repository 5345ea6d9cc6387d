// Package callers is a seeded load driver that plays production callers: it
// sends completions and service calls through the daemons, verifies that every
// answer is whole and its own, and counts what it saw.
package callers

import (
	"time"
)

// Options describe a run of callers.
type Options struct {
	Daemons []string // base URLs, behind the platform's balancer
	Key     string   // bearer key of the team's caller
	Seed    uint64
	// Rate is how many calls a second begin (open loop); 0: a closed loop of
	// Concurrency callers, each of which begins a call when its last one ended.
	Rate        float64
	Concurrency int
	// Duration and Calls end the run, whichever comes first.
	Duration time.Duration
	Calls    int

	// Model is asked for completions; CompletionShare of the calls are those,
	// StreamShare and ChatShare of the completions are streamed and chats.
	Model                                   string
	CompletionShare, StreamShare, ChatShare float64
	MinTokens, MaxTokens                    int
	// ServicePath takes calls that may not be repeated, IdempotentPath others;
	// an empty one isn't called. KeyedShare of the calls to ServicePath bear an
	// Idempotency-Key.
	ServicePath, IdempotentPath string
	KeyedShare                  float64
	// TwinShare of the calls with a key are sent twice at the same moment, through
	// two daemons if there are two.
	TwinShare float64
	BodyBytes int
	// Resends is how often a caller sends a call again where that is safe: after
	// "not run", and after any failure of a completion, of a call with a key and
	// of one that is idempotent.
	Resends int
	// Timeout is when a caller gives an attempt up.
	Timeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Concurrency <= 0 {
		o.Concurrency = 8
	}
	if o.Duration <= 0 {
		o.Duration = 10 * time.Second
	}
	if o.Calls <= 0 {
		o.Calls = 1_000_000
	}
	if o.MinTokens <= 0 {
		o.MinTokens = 8
	}
	o.MaxTokens = max(o.MaxTokens, o.MinTokens)
	if o.BodyBytes <= 0 {
		o.BodyBytes = 256
	}
	if o.Timeout <= 0 {
		o.Timeout = 30 * time.Second
	}
	return o
}
