// Package relay distributes the platform's configuration and upstreams in a large fleet
// without each daemon reading them in full.
//
// The platform writes both to topics of the store, whose reads share one rate. N daemons that
// each read M upstreams directly read N times M records, at every start and whenever the store
// has lost its history. Where that would take too long, a few daemons, the publishers, read
// the topics and publish what the others need: the compressed configuration, and the upstreams
// that calls go to, divided into as many shards as a topic has partitions. A daemon reads one
// shard. What all daemons read together then grows with N + M.
//
// The publishers are elected by the partitions that they own. One of them writes; the others
// write if it is late. Two things keep a publisher that was frozen from publishing outdated
// data: each append is conditional on the shard's end being where the publisher has read to,
// and a shard's watermark has the offsets that its data is up to date with. Daemons that need
// every upstream, because they run samples on them, read the topics directly in any case.
//
// nextMode, publishState and assigner do no I/O; Service runs them.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// topic holds the shards, one in each partition.
const topic = store.KeyedTopicPrefix + "relay"

// DirectReader reads the platform's topics directly on this daemon.
type DirectReader interface {
	// Hold keeps the topics followed until release is called.
	Hold() (release func())
	// HoldLowPriority does the same, but reading is throttled until the topics are read to their
	// ends, unless somebody else needs them soon.
	HoldLowPriority() (release func())
	// Loaded reports whether the topics have been read to their ends since they are followed.
	// The fleet's view comes from them then.
	Loaded() bool
	// ReadBytes returns the size of the topics' newest records, as far as it is known.
	ReadBytes() int
	// Snapshot returns the data to publish, false while the topics aren't read to their ends or
	// the store doesn't answer.
	Snapshot() (Snapshot, bool)
}

// Snapshot is what is known of the platform's topics.
type Snapshot struct {
	ServersOffset, OperatorOffset int64         // offsets after the last records read of the two topics
	Config                        []byte        // as the operator wrote it, nil: none yet
	ConfigOffset                  int64         // offset after the configuration's record
	DirectReadBytes               int           // size of the newest records of all keys
	Age                           time.Duration // since the older of the two views was up to date
}

// Options of a Service.
type Options struct {
	VM          string // this daemon's VM
	Log         store.Log
	Partitions  int // partitions of a topic
	RecordBytes int // size limit of a record
	CallBytes   int // size limit of an append
	ReadRate    int // bytes per second that all daemons' reads share, 0: unknown
	// Bootstrap says that the whole fleet starts for the first time, so that nothing is
	// published yet.
	Bootstrap     bool
	View          *fleet.View // to which the upstreams are applied
	DirectReader  DirectReader
	PublisherRank RankFunc
	// Configure puts a configuration in force; at is the offset after its record.
	Configure func(data []byte, at int64) error
	Now       func() time.Duration // a monotonic clock that runs on while the VM is suspended
	Clock     func() time.Time     // the time of day
	Logger    zerolog.Logger
}

// RankFunc returns this daemon's rank among the elected publishers, from 0 to below their number,
// and false if it isn't one of them.
type RankFunc func() (rank int, ok bool)

// Service reads this daemon's shard, and publishes all shards if the daemon is a publisher. It
// is safe for concurrent use.
type Service struct {
	options   Options
	shards    []*shard
	ownShard  *shard
	publisher *publisher

	presenceWrittenAt time.Time // of this VM's presence record, used only by followShard

	mu            sync.Mutex
	mode          mode
	releaseDirect func() // ends direct reading, nil while it isn't needed
}

// New returns a Service that has read nothing.
func New(o Options) *Service {
	s := &Service{options: o}
	for n := range o.Partitions {
		s.shards = append(s.shards, newShard(o, n))
	}
	s.ownShard = s.shards[shardOf(o.VM, o.Partitions)]
	s.ownShard.subscribe(&subscriber{options: o, shard: s.ownShard})
	s.publisher = newPublisher(o, s.shards, s.rank)
	return s
}

// Run reads and publishes until the context ends.
func (s *Service) Run(ctx context.Context) {
	var g errgroup.Group
	for _, x := range s.shards {
		g.Go(func() error { x.follower.Run(ctx); return nil })
	}
	g.Go(func() error { s.followShard(ctx); return nil })
	g.Go(func() error { s.publisher.run(ctx); return nil })
	_ = g.Wait() // none of them returns an error
}

// modeInterval is the time between two mode decisions while the shard doesn't change.
const modeInterval = 1 * time.Second

// followShard reads this daemon's shard and decides by it which source to use.
func (s *Service) followShard(ctx context.Context) {
	defer s.ownShard.follower.Hold()()
	if s.ownShard.follower.WaitLoaded(ctx) != nil {
		return
	}
	if s.options.Bootstrap {
		s.delayFirstRead(ctx)
	}
	for ctx.Err() == nil {
		changed := s.ownShard.follower.Changed()
		s.announcePresence(ctx)
		s.updateMode()
		timer := time.NewTimer(modeInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	s.setDirectReading(false)
}

const (
	// startupWindow is the time within which all daemons of a starting fleet have written their
	// presence records.
	startupWindow = 400 * time.Millisecond
	// firstReadBytes is what a daemon of a large fleet first reads of the platform's topics.
	firstReadBytes = 128 << 10
)

// delayFirstRead waits a random time before the topics are read for the first time, at most
// until the shard is published. A thousand daemons that read the configuration at once ask for
// more than the store can send within a call's timeout.
func (s *Service) delayFirstRead(ctx context.Context) {
	s.announcePresence(ctx)
	pause.For(ctx, startupWindow)
	load := readLoad{daemons: s.ownShard.countDaemons() * s.options.Partitions, bytesPerDaemon: firstReadBytes, bytesPerSecond: s.options.ReadRate}
	limit := time.NewTimer(time.Duration(rand.Float64() * float64(load.duration())))
	defer limit.Stop()
	for !s.ownShard.published() {
		changed := s.ownShard.follower.Changed()
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

var modeChanges = metrics.Counter("relay_mode_changes")

// updateMode decides on the mode again, and starts or ends direct reading accordingly.
func (s *Service) updateMode() {
	watermark, published, silentFor := s.ownShard.publication()
	load := readLoad{daemons: watermark.Daemons, bytesPerDaemon: watermark.DirectReadBytes, bytesPerSecond: s.options.ReadRate}
	s.mu.Lock()
	previous := s.mode
	s.mode = nextMode(previous, load, published, silentFor, rand.Float64())
	current := s.mode
	s.mu.Unlock()
	s.setDirectReading(!current.relayed || current.fallbackPublisher)
	if current == previous {
		return
	}
	modeChanges.Add(1)
	s.options.Logger.Info().Bool("relayed", current.relayed).Bool("stand_in", current.fallbackPublisher).Int("slice", s.ownShard.partition).Int("daemons", load.daemons).
		Int("bytes", load.bytesPerDaemon).Dur("direct_takes", load.duration()).Dur("silent", silentFor).Msg("source of configuration and upstreams changed")
}

// setDirectReading starts or ends direct reading of the platform's topics.
func (s *Service) setDirectReading(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case enabled && s.releaseDirect == nil:
		s.releaseDirect = s.options.DirectReader.HoldLowPriority()
	case !enabled && s.releaseDirect != nil:
		s.releaseDirect()
		s.releaseDirect = nil
	}
}

// rank returns this daemon's rank among the publishers, false if it isn't one. A fallback
// publisher comes after the elected ones.
func (s *Service) rank() (rank int, ok bool) {
	if rank, ok = s.options.PublisherRank(); ok {
		return min(rank, unelectedRank), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return unelectedRank, s.mode.fallbackPublisher
}

// relayed reports whether this daemon gets the configuration and the upstreams from its shard.
func (s *Service) relayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode.relayed
}

// Ready reports whether the configuration and the upstreams are known.
func (s *Service) Ready() bool {
	return s.options.DirectReader.Loaded() || s.relayed() && s.ownShard.follower.Loaded()
}

// Lag returns the lag of the shard's view, 0 while this daemon doesn't use it.
func (s *Service) Lag() time.Duration {
	if !s.relayed() {
		return 0
	}
	return s.ownShard.follower.Lag()
}

// ConfigAge returns for how long a newer configuration may have been in force elsewhere, as far
// as the shard tells.
func (s *Service) ConfigAge() time.Duration {
	watermark, published, silentFor := s.ownShard.publication()
	if !published {
		return time.Hour
	}
	return max(silentFor, s.ownShard.follower.Age()) + watermark.age()
}

// DirectReadsFit reports whether all daemons could read the platform's topics directly in time, as far as
// this one knows. While a fleet starts there is no publisher that has counted its daemons yet.
func (s *Service) DirectReadsFit() bool {
	watermark, published, _ := s.ownShard.publication()
	daemons := watermark.Daemons
	if !published {
		daemons = s.ownShard.countDaemons() * s.options.Partitions
	}
	return readLoad{daemons: daemons, bytesPerDaemon: s.options.DirectReader.ReadBytes(), bytesPerSecond: s.options.ReadRate}.duration() < directReadBudget
}

// ConfigBehind reports whether the shard is known to have a newer configuration than the one in
// force.
func (s *Service) ConfigBehind() bool {
	return s.ownShard.follower.Behind() || s.ownShard.subscriber.awaitsChunks()
}

// Refresh applies the shard again. It is called once the platform's topics aren't read directly
// any more.
func (s *Service) Refresh() { s.ownShard.reapply() }

// Views describes, for operators, the shards that this daemon reads.
func (s *Service) Views() []inspect.View {
	var out []inspect.View
	for _, x := range s.shards {
		if x.follower.Following() {
			out = append(out, x.follower.Inspect())
		}
	}
	return out
}
