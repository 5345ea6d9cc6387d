package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

const (
	// electionCheckInterval is the time between two checks whether this daemon is a publisher.
	electionCheckInterval = 500 * time.Millisecond
	// publishInterval is the time between two checks of a publisher for changes to publish.
	publishInterval = 100 * time.Millisecond
	// firstCountInterval and maxCountInterval bound the time between two counts of the daemons by
	// a publisher that publishes nothing. The interval doubles each time, since a fleet grows most
	// while it starts.
	firstCountInterval = 1 * time.Second
	maxCountInterval   = 32 * time.Second
)

var (
	appendCount         = metrics.Counter("relay_appends")
	appendedRecordCount = metrics.Counter("relay_records")
	appendConflictCount = metrics.Counter("relay_append_conflicts")
)

// publisher writes the shards while this daemon is a publisher.
type publisher struct {
	options  Options
	shards   []*shard
	rank     func() (rank int, ok bool)
	assigner *assigner

	// Used only by run.
	nextCountAt   time.Duration // when the daemons are counted next
	countInterval time.Duration // between that count and the one after it
	daemons       int           // as last counted
	shardReleases []func()      // end the holds on the shards; nil while they aren't published
	packed        packedConfig
	desired       desiredShards
	pendingSince  []time.Duration // by shard: since when a change isn't published, 0: none
}

// packedConfig is the newest configuration in the form in which it is published.
type packedConfig struct {
	offset int64             // after the configuration's record
	values map[string][]byte // its chunks by key
}

// desiredShards is what the shards should hold, with the versions of the data that it was
// computed from.
type desiredShards struct {
	upstreamChanges uint64              // number of changes of the upstreams
	configOffset    int64               // after the configuration's record
	values          []map[string][]byte // by shard and key
}

func newPublisher(o Options, shards []*shard, rank func() (int, bool)) *publisher {
	return &publisher{options: o, shards: shards, rank: rank, assigner: newAssigner(o.Partitions), pendingSince: make([]time.Duration, len(shards))}
}

// run publishes whenever this daemon is a publisher, until the context ends.
func (p *publisher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := p.rank(); !ok {
			pause.For(ctx, electionCheckInterval)
			continue
		}
		p.publishSession(ctx)
	}
}

// publishSession publishes until this daemon isn't a publisher any more.
func (p *publisher) publishSession(ctx context.Context) {
	defer p.options.DirectReader.Hold()()
	p.nextCountAt, p.countInterval = p.options.Now(), firstCountInterval
	p.options.Logger.Info().Msg("acting as a publisher of the relay")
	for ctx.Err() == nil {
		rank, ok := p.rank()
		if !ok {
			break
		}
		p.update(ctx, rank)
		interval := electionCheckInterval
		if p.publishing() {
			interval = publishInterval
		}
		pause.For(ctx, interval)
	}
	p.releaseShards()
}

// publishing reports whether this publisher considers the shards published. It follows all of
// them then.
func (p *publisher) publishing() bool { return p.shardReleases != nil }

// releaseShards ends the holds on the shards.
func (p *publisher) releaseShards() {
	for _, release := range p.shardReleases {
		release()
	}
	p.shardReleases = nil
}

// update decides whether the shards are to be published at all, and updates those that are due.
func (p *publisher) update(ctx context.Context, rank int) {
	snapshot, ok := p.options.DirectReader.Snapshot()
	if !ok {
		return
	}
	p.updateDaemonCount(ctx)
	readTime := readLoad{daemons: p.daemons, bytesPerDaemon: snapshot.DirectReadBytes, bytesPerSecond: p.options.ReadRate}.duration()
	threshold := time.Duration(returnToDirectShare * float64(directReadBudget))
	switch {
	case !p.publishing() && readTime >= threshold:
		p.options.Logger.Info().Int("daemons", p.daemons).Int("bytes", snapshot.DirectReadBytes).Dur("direct_takes", readTime).Msg("publishing the relay shards")
		for _, s := range p.shards {
			p.shardReleases = append(p.shardReleases, s.follower.Hold())
		}
	case p.publishing() && readTime < threshold/2:
		p.clearShards(ctx, rank)
		return
	}
	if !p.publishing() {
		return
	}
	watermark := Watermark{ServersOffset: snapshot.ServersOffset, OperatorOffset: snapshot.OperatorOffset, DirectReadBytes: snapshot.DirectReadBytes, Daemons: p.daemons, AgeMS: snapshot.Age.Milliseconds()}
	desired, err := p.desiredValues(snapshot)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("contents of the relay shards not computed")
		return
	}
	p.publish(ctx, rank, watermark, desired)
}

// clearShards empties the shards, since the fleet is small enough to read the topics directly.
func (p *publisher) clearShards(ctx context.Context, rank int) {
	p.publish(ctx, rank, Watermark{}, make([]map[string][]byte, len(p.shards)))
	for _, s := range p.shards {
		if s.published() || !s.follower.Loaded() {
			return // update calls it again
		}
	}
	p.options.Logger.Info().Int("daemons", p.daemons).Msg("relay shards cleared, daemons read the topics directly")
	p.releaseShards()
}

// updateDaemonCount counts the daemons by their presence records, in the local views of the
// shards if these are published, else by reading them from the store.
func (p *publisher) updateDaemonCount(ctx context.Context) {
	if p.publishing() {
		p.daemons = 0
		for _, s := range p.shards {
			p.daemons += s.countDaemons()
		}
		return
	}
	if p.options.Now() < p.nextCountAt {
		return
	}
	daemons := 0
	for partition := range p.shards {
		for page := (store.NewestPage{More: true}); page.More; {
			var err error
			if page, err = p.options.Log.Newest(ctx, topic, partition, page.LastKey()); err != nil {
				p.options.Logger.Debug().Err(err).Msg("daemons not counted")
				return
			}
			for _, e := range page.Entries {
				if _, ok := idFromKey(e.Key, daemonPrefix); ok {
					daemons++
				}
			}
		}
	}
	p.daemons = daemons
	p.nextCountAt = p.options.Now() + p.countInterval
	p.countInterval = min(2*p.countInterval, maxCountInterval)
}

// desiredValues returns what each shard should hold, by key.
func (p *publisher) desiredValues(snapshot Snapshot) ([]map[string][]byte, error) {
	changes := p.options.View.UpstreamChanges()
	if p.desired.values != nil && p.desired.upstreamChanges == changes && p.desired.configOffset == snapshot.ConfigOffset {
		return p.desired.values, nil
	}
	if err := p.packConfig(snapshot); err != nil {
		return nil, err
	}
	services := map[string][]registry.Upstream{}
	for _, name := range calledServices(p.options.View.Config()) {
		services[name] = p.options.View.ByService(name)
	}
	assigned, err := p.assigner.assign(services)
	if err != nil {
		return nil, err
	}
	for _, values := range assigned {
		for key, value := range p.packed.values {
			values[key] = value
		}
	}
	p.desired = desiredShards{changes, snapshot.ConfigOffset, assigned}
	return assigned, nil
}

// chunkMargin is the part of a record, in bytes, that is left for its key and the encoding.
const chunkMargin = 1 << 10

// packConfig updates the packed configuration if there is a newer one.
func (p *publisher) packConfig(snapshot Snapshot) error {
	if snapshot.Config == nil || p.packed.offset == snapshot.ConfigOffset {
		return nil
	}
	chunks, err := packConfig(snapshot.Config, snapshot.ConfigOffset, p.options.RecordBytes-chunkMargin)
	if err != nil {
		return err
	}
	values := map[string][]byte{}
	for _, c := range chunks {
		if values[configKey(c.Index)], err = cbor.Marshal(c); err != nil {
			return err
		}
	}
	p.packed = packedConfig{snapshot.ConfigOffset, values}
	return nil
}

// calledServices returns the services that callers' requests may be sent to, sorted.
func calledServices(config *routes.Config) []string {
	if config == nil {
		return nil
	}
	var out []string
	for _, s := range config.Services {
		if s.Engine == nil {
			out = append(out, s.Name)
		}
	}
	for _, r := range config.Routes() {
		if r.Kind == routes.Batch {
			continue
		}
		for _, s := range r.Services {
			out = append(out, s.Service)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// publish writes the shards that are due. An empty watermark deletes the published one.
func (p *publisher) publish(ctx context.Context, rank int, watermark Watermark, desired []map[string][]byte) {
	var work errgroup.Group
	for i, s := range p.shards {
		if !s.follower.Loaded() {
			continue
		}
		offset := s.follower.NextOffset() // read first: a record written after this makes the append fail
		changes, watermarkAt, current := s.pendingChanges(desired[i], p.options.Clock())
		switch {
		case watermark == Watermark{} && watermarkAt != 0:
			changes = append(changes, change{key: watermarkKey})
		case watermark == Watermark{}, current.ServersOffset > watermark.ServersOffset, current.OperatorOffset > watermark.OperatorOffset:
			continue // nothing to delete, or what is published is newer than what is known here
		}
		if len(changes) == 0 {
			p.pendingSince[i] = 0
		} else if p.pendingSince[i] == 0 {
			p.pendingSince[i] = p.options.Now()
		}
		if (publishState{rank, p.pendingSince[i], watermarkAt}).due(p.options.Now()) {
			work.Go(func() error { p.appendToShard(ctx, s, offset, watermark, changes); return nil })
		}
	}
	_ = work.Wait() // none of them returns an error
}

// appendToShard appends changes and the watermark to a shard, on the condition that the shard
// ends at offset: it fails if another publisher has written meanwhile.
func (p *publisher) appendToShard(ctx context.Context, s *shard, offset int64, watermark Watermark, changes []change) {
	records, err := p.encodeRecords(watermark, changes)
	if err == nil {
		appendCount.Add(1)
		appendedRecordCount.Add(int64(len(records)))
		ctx, cancel := context.WithTimeout(ctx, store.FirstAppendTimeout)
		defer cancel()
		_, err = p.options.Log.AppendAt(ctx, topic, s.partition, offset, records)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		appendConflictCount.Add(1)
	}
	if err != nil {
		p.options.Logger.Warn().Err(err).Int("slice", s.partition).Int64("at", offset).Int("records", len(records)).Msg("relay shard not published, will retry")
	}
	// Also after an append without an answer: if it wrote, the next append must know that.
	if err := s.follower.CatchUp(ctx); err != nil {
		p.options.Logger.Debug().Err(err).Int("slice", s.partition).Msg("relay shard not read back")
	}
}

// encodeRecords returns as many changes as fit into one append, followed by the watermark if
// all do. The remaining changes follow with the next append.
func (p *publisher) encodeRecords(watermark Watermark, changes []change) ([][]byte, error) {
	var out [][]byte
	size := 0
	for _, c := range changes {
		record, err := store.EncodeEntry(c.key, c.value)
		if err != nil {
			return nil, err
		}
		if size += len(record); size > p.options.CallBytes/2 && len(out) > 0 {
			return out, nil
		}
		out = append(out, record)
	}
	if watermark == (Watermark{}) {
		return out, nil
	}
	value, err := cbor.Marshal(watermark)
	if err != nil {
		return nil, err
	}
	record, err := store.EncodeEntry(watermarkKey, value)
	return append(out, record), err
}

// pendingChanges returns the changes that the shard lacks, when its watermark was read, and the
// watermark. They include the deletion of outdated presence records.
func (s *shard) pendingChanges(desired map[string][]byte, now time.Time) (changes []change, watermarkAt time.Duration, watermark Watermark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[string][]byte{}
	for key, value := range s.values {
		if _, ok := idFromKey(key, daemonPrefix); !ok {
			current[key] = value
		} else if p, err := decode[presence](value); err != nil || now.Sub(time.Unix(p.At, 0)) > presenceTTL {
			changes = append(changes, change{key: key})
		}
	}
	return append(changes, diff(current, desired)...), s.watermarkAt, s.watermark
}
