// Package routing selects the upstream that serves a request.
//
// The package is deterministic: callers pass the time in, random choices come from
// a seeded generator, and there are no locks, goroutines or clock reads. The same
// sequence of calls with the same seed returns exactly the same picks. A Table is
// not safe for concurrent use; its caller must lock or shard it.
//
// # Selection
//
//  1. A quarantined request (Only) goes to its upstream or to none.
//  2. A latency-sensitive request takes a reserved upstream while one has capacity.
//     Production is latency-sensitive, and so are rollouts that are likely to
//     determine when their step ends (stragglers, and samples that are expected to
//     be long). Other rollouts avoid reserved upstreams unless no other upstream can
//     serve them (reserve.go).
//  3. A straggler or a long sample takes the fastest upstream with capacity.
//  4. A request with a prefix takes the less loaded of the two upstreams with the
//     highest rendezvous scores, among those whose load, adjusted for slowdown, is
//     at most PrefixLoadFactor times the mean.
//  5. Any other request takes the cheapest of a few random upstreams, or of all in
//     a small group.
//
// The cost of an upstream is
//
//	((load + 1) x locality penalty / slow-start weight + HalfSpeedLoad) x slowdown
//
// An engine's time per token grows linearly with its load but is not proportional
// to it, so an empty slow engine costs more than a fast one with some load. The
// product of locality and slowdown is the L x V product of PAL (see slowdown.go).
//
// # Alternatives considered
//
// A full scan is exact but linear in the number of members; it is used up to
// maxFullScan members, where it is cheap. In larger groups, power-of-d choices
// keeps the cost of a pick constant and the most loaded upstream close to the mean.
// A heap ordered by cost would need an update for each class whenever a load
// changes. With delayed load reports an exact minimum is also worse, because every
// daemon would send its requests to the same upstream.
package routing

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Class is the priority class of a request. Classes also differ in what slows a
// request down, so token times are learnt for each class separately.
type Class uint8

const (
	// ClassProduction is a caller's request, with a person waiting for the answer.
	ClassProduction Class = iota
	// ClassRollout is a request for a sample of a training step.
	ClassRollout

	classCount = 2
)

// String returns the name of the class.
func (c Class) String() string {
	if c == ClassRollout {
		return "rollout"
	}
	return "production"
}

// Upstream is the state of one upstream in a Table.
type Upstream struct {
	Name       ident.Upstream
	DataCentre ident.DataCentre
	// Eligible is false while the upstream is unhealthy or leaving; it is then never
	// picked.
	Eligible bool
	// Weight is the slow-start weight, from 0 to 1. Values below minWeight count as
	// minWeight.
	Weight float64
	// Limit is the concurrency limit in requests, 0 if unknown.
	Limit int
	// Numbers of requests in flight from this daemon and from the other daemons.
	OwnInFlight, PeersInFlight int
	// ReportedRunning and ReportedQueued are the requests that the upstream counted
	// in its last load report, which arrives with a delay.
	ReportedRunning, ReportedQueued int
	// ReportedAt is when the upstream made the report, not when it arrived.
	ReportedAt time.Time
	// Serving is the newest weight version that the upstream serves.
	Serving ident.Version
}

// Request holds the properties of a request that Pick considers.
type Request struct {
	Class Class
	// Prefix is a hash of the prompt prefix that requests share, 0 for none.
	Prefix uint64
	// MinVersion excludes upstreams that only serve older weight versions, 0 for
	// none.
	MinVersion ident.Version
	// Exclude lists upstreams that must not be picked, such as those already tried.
	Exclude []ident.Upstream
	// Straggler marks one of the last unfinished samples of a step.
	Straggler bool
	// ExpectedTokens is the expected length of the answer in tokens, 0 if unknown.
	ExpectedTokens int
	// Only is the single upstream allowed for a quarantined request, empty for any.
	Only ident.Upstream
}

// Default values of Options.
const (
	DefaultPrefixLoadFactor = 1.25
	DefaultLocalityPenalty  = 1.1
	DefaultLongSampleFactor = 2.0
	DefaultMaxReserveLoad   = 10.0
	DefaultHalfSpeedLoad    = 16.0
	DefaultReportTTL        = 4 * time.Second
	DefaultChoices          = 4
)

// Options configures a Table. Zero values select the defaults.
type Options struct {
	// DataCentre is this daemon's data centre.
	DataCentre ident.DataCentre
	// Seed initialises the random number generator.
	Seed uint64
	// PrefixLoadFactor is the maximum load of an upstream picked by prefix, as a
	// multiple of the mean load. At least 1.
	PrefixLoadFactor float64
	// LocalityPenalty multiplies the load of upstreams in other data centres when
	// costs are compared. At least 1.
	LocalityPenalty float64
	// LongSampleFactor is the multiple of the rollouts' mean expected length from
	// which on a sample counts as long. Above 1.
	LongSampleFactor float64
	// HalfSpeedLoad is about the number of concurrent requests at which an engine
	// takes twice as long per token as with a single request. It sets how slowdown
	// is weighed against load in the cost.
	HalfSpeedLoad float64
	// MaxReserveLoad is the number of requests that a reserved upstream accepts,
	// expressed as the equivalent load of an upstream of median speed.
	MaxReserveLoad float64
	// ReportTTL is how long a load report stays valid after it was made.
	ReportTTL time.Duration
	// Choices is d in power-of-d choices.
	Choices int
	// IgnoreSpeed treats the slowdown of every upstream as 1, for benchmarks.
	IgnoreSpeed bool
}

func (o Options) withDefaults() Options {
	if o.PrefixLoadFactor < 1 {
		o.PrefixLoadFactor = DefaultPrefixLoadFactor
	}
	if o.LocalityPenalty < 1 {
		o.LocalityPenalty = DefaultLocalityPenalty
	}
	if o.LongSampleFactor <= 1 {
		o.LongSampleFactor = DefaultLongSampleFactor
	}
	if o.HalfSpeedLoad <= 0 {
		o.HalfSpeedLoad = DefaultHalfSpeedLoad
	}
	if o.MaxReserveLoad < 1 {
		o.MaxReserveLoad = DefaultMaxReserveLoad
	}
	if o.ReportTTL <= 0 {
		o.ReportTTL = DefaultReportTTL
	}
	if o.Choices < 2 {
		o.Choices = DefaultChoices
	}
	return o
}
