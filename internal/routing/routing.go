// Package routing decides which upstream a request goes to.
//
// It is pure: time is passed in, nothing is locked, started or read from a
// clock, and chance comes from a small seeded generator of its own. The same
// session of calls gives the same picks to the byte. A Table is not safe for
// concurrent use; the runtime around it locks or shards.
//
// # How a pick is made
//
//  1. A quarantined request (Only) goes to its upstream or nowhere.
//  2. Production, and what decides when a step ends (a straggler, or a sample
//     expected to be long), takes an upstream of the reserve while that has room;
//     other rollouts keep off the reserve while anything else suits (reserve.go).
//  3. A straggler or a long sample takes the fastest upstream with room.
//  4. A request with a prefix takes the upstream that rendezvous hashing names,
//     while that one's load, times its speed score, stays within PrefixLoadFactor
//     times the mean.
//  5. Anything else takes the cheapest of a few random choices.
//
// Cost is ((load+1) x locality penalty / slow-start weight + HalfLoad) x speed score:
// an engine's token time is about linear in its load, and not in proportion to it,
// so an empty slow engine is dearer than a fast one with some load. The product of
// locality and speed is the L x V product of PAL (see speed.go).
//
// # What was weighed
//
// A full scan is exact and linear; it is used up to scanUpTo members, where it
// is cheap. Above it, power-of-d choices keeps the cost of a pick flat, and its
// heaviest upstream stays close to the mean. A heap by cost would need an update
// at each change of load, for each class; late reports make such an exact
// minimum worse besides, since every daemon would herd onto the same upstream.
package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Class separates requests that differ in priority and in what slows them.
type Class uint8

const (
	// ClassProduction is a caller's request; people wait for it.
	ClassProduction Class = iota
	// ClassRollout is a sample of a training step.
	ClassRollout

	classes = 2
)

// String names the class.
func (c Class) String() string {
	if c == ClassRollout {
		return "rollout"
	}
	return "production"
}

// Upstream is what the table knows of one upstream.
type Upstream struct {
	Name       ident.Upstream
	DataCentre ident.DataCentre
	// Eligible is false while it is unhealthy or leaving: it is never picked.
	Eligible bool
	// Weight is the slow-start weight, 0 to 1; below minWeight counts as that.
	Weight float64
	// Limit is its concurrency limit in requests, 0 if unknown.
	Limit int
	// Own and Peers are requests in flight from this daemon and from others.
	Own, Peers int
	// ReportedRunning and ReportedQueued are its own, late, words.
	ReportedRunning, ReportedQueued int
	// ReportedAt is when it said so, not when we heard.
	ReportedAt time.Time
	// Serving is the newest weight version it serves.
	Serving ident.Version
}

// Request is what Pick needs to know of a request.
type Request struct {
	Class Class
	// Prefix is a hash of the prompt's shared beginning, 0 for none.
	Prefix uint64
	// MinVersion leaves out upstreams that serve an older one, 0 for any.
	MinVersion ident.Version
	// Exclude names upstreams already tried.
	Exclude []ident.Upstream
	// Straggler marks one of the last of a step.
	Straggler bool
	// ExpectedTokens is the expected length of the answer, 0 if unknown.
	ExpectedTokens int
	// Only names the single upstream allowed (quarantine), empty for any.
	Only ident.Upstream
}

// Defaults of Options.
const (
	DefaultPrefixLoadFactor = 1.25
	DefaultLocalityPenalty  = 1.1
	DefaultLongFactor       = 2.0
	DefaultReserveLoad      = 10.0
	DefaultHalfLoad         = 16.0
	DefaultReportLife       = 4 * time.Second
	DefaultChoices          = 4
)

// Options tune a Table; zero values take the defaults.
type Options struct {
	// Self is this daemon's data centre.
	Self ident.DataCentre
	// Seed starts the generator of random choices.
	Seed uint64
	// PrefixLoadFactor bounds a preferred upstream's load, in means. At least 1.
	PrefixLoadFactor float64
	// LocalityPenalty multiplies the cost of another data centre. At least 1.
	LocalityPenalty float64
	// LongFactor is how many times the mean expected length of rollouts makes a
	// long one. Above 1.
	LongFactor float64
	// HalfLoad is about how many requests at once make an engine's token take twice
	// the time that it takes one alone: what speed is weighed against load by.
	HalfLoad float64
	// ReserveLoad is how many requests a reserved upstream takes, in requests at
	// one of median speed.
	ReserveLoad float64
	// ReportLife is how long a load report counts after it was made.
	ReportLife time.Duration
	// Choices is d of the power-of-d choices.
	Choices int
	// IgnoreSpeed counts every speed score as 1 (for the bench).
	IgnoreSpeed bool
}

func (o Options) withDefaults() Options {
	if o.PrefixLoadFactor < 1 {
		o.PrefixLoadFactor = DefaultPrefixLoadFactor
	}
	if o.LocalityPenalty < 1 {
		o.LocalityPenalty = DefaultLocalityPenalty
	}
	if o.LongFactor <= 1 {
		o.LongFactor = DefaultLongFactor
	}
	if o.HalfLoad <= 0 {
		o.HalfLoad = DefaultHalfLoad
	}
	if o.ReserveLoad < 1 {
		o.ReserveLoad = DefaultReserveLoad
	}
	if o.ReportLife <= 0 {
		o.ReportLife = DefaultReportLife
	}
	if o.Choices < 2 {
		o.Choices = DefaultChoices
	}
	return o
}
