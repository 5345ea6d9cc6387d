// Package engine is the stand-in for a model engine: continuous batching with a
// stated slowdown for each concurrent stream, a prefix cache of limited memory,
// weight versions that are loaded and switched by orders, and the record of
// what it truly ran.
package engine

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
)

// Options describe one engine. Zero values get the defaults of withDefaults.
type Options struct {
	// Models maps each model that the engine serves to its first version.
	Models map[string]int64
	// TokenTime is the time between two tokens of a stream that runs alone.
	TokenTime time.Duration
	// Slowdown lengthens the token time by this share for each further stream:
	// TokenTime x (1 + Slowdown x (running - 1)).
	Slowdown float64
	// Speed divides every time; 2 is an engine twice as fast.
	Speed float64
	// MaxRunning is how many streams run at once; more wait in order of arrival.
	MaxRunning int
	// PrefixCapacity is how many prompt prefixes the cache holds.
	PrefixCapacity int
	// PrefillPerByte is the time that a byte of uncached prompt costs.
	PrefillPerByte time.Duration
	// LoadLag is the time between two load reports; 0: each is fresh.
	LoadLag time.Duration
	// EventLag is how late cache events show, EventGap the share that is lost.
	EventLag time.Duration
	EventGap float64
	// WeightStore is the URL that versions are fetched from; empty: nowhere.
	WeightStore string
	// LoadTime and SwitchTime are what these orders take besides the fetch.
	LoadTime, SwitchTime time.Duration
	// MaxLoaded is how many versions of a model fit into memory.
	MaxLoaded int
	// CheckFencing makes the engine refuse orders below the highest number seen.
	CheckFencing bool
	// Seed drives the losses of cache events.
	Seed uint64
	// Faults is where faults come from; nil: none.
	Faults *fault.Injector
}

const (
	defaultTokenTime      = 5 * time.Millisecond
	defaultMaxRunning     = 64
	defaultPrefixCapacity = 256
	defaultMaxLoaded      = 3
)

func (o Options) withDefaults() Options {
	if o.TokenTime <= 0 {
		o.TokenTime = defaultTokenTime
	}
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.MaxRunning <= 0 {
		o.MaxRunning = defaultMaxRunning
	}
	if o.PrefixCapacity <= 0 {
		o.PrefixCapacity = defaultPrefixCapacity
	}
	if o.MaxLoaded < 2 {
		o.MaxLoaded = defaultMaxLoaded
	}
	if o.Faults == nil {
		o.Faults = fault.New()
	}
	return o
}

// tokenTime is the time of one token step with so many streams running.
func (o Options) tokenTime(running int) time.Duration {
	factor := 1 + o.Slowdown*float64(max(running-1, 0))
	return time.Duration(float64(o.TokenTime) * factor / o.Speed)
}

// prefillTime is the time that so many bytes of uncached prompt take.
func (o Options) prefillTime(bytes int) time.Duration {
	return time.Duration(float64(o.PrefillPerByte) * float64(bytes) / o.Speed)
}
