package relay

import "time"

// directReadBudget is for how long the direct reads of the platform's topics by all daemons
// may use up the store's shared read rate. It is a small part of the time that a fleet has to
// recover after the loss of all VMs, and within which a configuration must be in force.
const directReadBudget = 500 * time.Millisecond

// returnToDirectShare is the share of directReadBudget below which relayed daemons return to
// reading the topics directly. It is below 1 so that a fleet near the budget doesn't flap.
const returnToDirectShare = 0.25

// readLoad is the load on the store if every daemon reads the platform's topics directly.
type readLoad struct {
	daemons        int // an estimate
	bytesPerDaemon int // that each of them reads
	bytesPerSecond int // rate that all reads share, 0: unknown
}

// duration returns how long the store takes for it, 0 if its rate is unknown.
func (l readLoad) duration() time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(l.daemons) * float64(l.bytesPerDaemon) / float64(l.bytesPerSecond) * float64(time.Second))
}

// mode says where a daemon gets the configuration and the upstreams from.
type mode struct {
	// relayed: from its shard; otherwise from the platform's topics.
	relayed bool
	// fallbackPublisher: the shard is out of date, and this daemon, though not elected, reads
	// the topics and publishes.
	fallbackPublisher bool
}

// nextMode returns the mode that follows the current one. published says whether the shard has
// a watermark, silentFor is for how long no new one has come although the store answers, and
// random is drawn from [0, 1).
//
// While nobody updates a shard, its readers miss leaving upstreams and new configurations. If
// all daemons read the topics then, they would compete for the shared read rate with each
// other and with those that are about to publish. So at each decision only about as many
// daemons start as can read within directReadBudget; the others are served by what these
// publish.
func nextMode(current mode, load readLoad, published bool, silentFor time.Duration, random float64) mode {
	readTime := load.duration()
	switch {
	case !published, current.relayed && readTime < time.Duration(returnToDirectShare*float64(directReadBudget)):
		return mode{}
	case !current.relayed && readTime < directReadBudget:
		return mode{}
	case silentFor < publisherTimeout:
		return mode{relayed: true}
	}
	return mode{relayed: true, fallbackPublisher: current.fallbackPublisher || random < float64(directReadBudget)/float64(readTime)}
}

const (
	// heartbeatInterval is the time between two watermarks of a shard in which nothing changes.
	heartbeatInterval = 1 * time.Second
	// takeoverDelay is how much longer each further rank waits before it publishes in place of
	// the rank before it. It is longer than an append, reading it back and a slow answer of the
	// store take together.
	takeoverDelay = 400 * time.Millisecond
	// publisherTimeout is the time without a new watermark after which a shard is assumed to
	// have no elected publisher.
	publisherTimeout = heartbeatInterval + unelectedRank*takeoverDelay + 500*time.Millisecond
	// ElectedPublishers is the number of elected publishers: the active one and two standbys.
	ElectedPublishers = 3
	// unelectedRank is the rank of a daemon that isn't elected.
	unelectedRank = ElectedPublishers
)

// publishState is what a publisher knows of one shard.
type publishState struct {
	rank int // of this publisher, 0: the first to write
	// pendingSince is since when the shard lacks a change that this daemon knows, 0: it lacks none.
	pendingSince time.Duration
	// watermarkAt is when the last watermark was read.
	watermarkAt time.Duration
}

// due reports whether the publisher writes to the shard now. Rank 0 writes each change at
// once; each higher rank waits takeoverDelay longer, in which those before it may write.
func (p publishState) due(now time.Duration) bool {
	delay := time.Duration(p.rank) * takeoverDelay
	if p.pendingSince != 0 && now-p.pendingSince >= delay {
		return true
	}
	return now-p.watermarkAt >= heartbeatInterval+delay
}
