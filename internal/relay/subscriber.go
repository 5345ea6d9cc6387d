package relay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// subscriber applies the records of this daemon's shard to the fleet's view, except while the
// daemon reads the platform's topics directly.
type subscriber struct {
	options Options
	shard   *shard

	mu            sync.Mutex
	chunks        map[int]chunk // of the configuration
	appliedConfig int64         // offset after the configuration that was applied last
	chunksMissing bool          // some but not all chunks of the newest configuration were read
}

// awaitsChunks reports whether some but not all chunks of the newest configuration were read.
func (s *subscriber) awaitsChunks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chunksMissing
}

// applyAll applies all values of the shard in place of what it applied before.
func (s *subscriber) applyAll(values map[string][]byte) {
	s.mu.Lock()
	s.chunks = map[int]chunk{}
	s.mu.Unlock()
	for key, value := range values {
		s.applyChunk(key, value)
	}
	if !s.active() {
		return
	}
	s.options.View.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
		var upstreams []registry.Upstream
		for key, value := range values {
			if id, ok := idFromKey(key, upstreamPrefix); ok {
				if u, ok := s.decodeUpstream(r, id, value, now); ok {
					upstreams = append(upstreams, u)
				}
			}
		}
		r.Replace(upstreams, now)
	})
}

// active reports whether the fleet's view comes from the shard. A shard without a watermark
// isn't published and holds no upstreams.
func (s *subscriber) active() bool { return s.shard.published() && !s.options.DirectReader.Loaded() }

// applyRecord applies one record; one without a value deletes its key.
func (s *subscriber) applyRecord(key string, value []byte) {
	s.applyChunk(key, value)
	id, ok := idFromKey(key, upstreamPrefix)
	if !ok || !s.active() {
		return
	}
	s.options.View.UpdateUpstreams(func(r *registry.Registry, now time.Duration) {
		if len(value) == 0 {
			s.options.Logger.Info().Str("upstream", id).Msg("upstream removed according to the relay, it gets no new work")
			r.Remove(id, now)
			return
		}
		if u, ok := s.decodeUpstream(r, id, value, now); ok {
			r.Put(u)
		}
	})
}

// decodeUpstream decodes an upstream's value. If it is malformed, decodeUpstream logs an error, drops
// the upstream and returns false.
func (s *subscriber) decodeUpstream(r *registry.Registry, id string, value []byte, now time.Duration) (registry.Upstream, bool) {
	e, err := decode[endpoint](value)
	u := e.upstream(id)
	if err == nil {
		err = r.Check(u)
	}
	if err != nil {
		s.options.Logger.Error().Err(err).Str("upstream", id).Msg("malformed upstream of a relay shard isn't used")
		r.Reject(id, now)
		return registry.Upstream{}, false
	}
	return u, true
}

// applyChunk stores a chunk of the configuration, and applies the configuration once all of its
// chunks are there.
func (s *subscriber) applyChunk(key string, value []byte) {
	if !strings.HasPrefix(key, configPrefix) || len(value) == 0 {
		return
	}
	c, err := decode[chunk](value)
	if err != nil {
		s.options.Logger.Error().Err(err).Str("key", key).Msg("malformed chunk of a relayed configuration skipped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[int]chunk{}
	}
	s.chunks[c.Index] = c
	data, offset, complete, err := unpackConfig(s.chunks)
	s.chunksMissing = err == nil && !complete
	if err == nil && (!complete || offset <= s.appliedConfig) {
		return
	}
	if err == nil {
		err = s.options.Configure(data, offset)
	}
	if err != nil {
		s.options.Logger.Error().Err(err).Int64("at", offset).Msg("relayed configuration not applied, the previous one stays in force")
		return
	}
	s.appliedConfig = offset
}

const (
	// presenceInterval is the time between two records by which a daemon says that it runs on a VM.
	presenceInterval = time.Hour
	// presenceTTL is how long after its last record a VM still counts as having a daemon.
	presenceTTL          = 3 * presenceInterval
	presenceWriteTimeout = 2 * time.Second
)

// announcePresence writes this VM's presence record if it is due, so that publishers count its
// daemon.
func (s *Service) announcePresence(ctx context.Context) {
	now := s.options.Clock()
	if s.presenceWrittenAt.IsZero() {
		s.presenceWrittenAt, _ = s.ownShard.presenceOf(s.options.VM) // an earlier process may have written it
	}
	if now.Sub(s.presenceWrittenAt).Abs() < presenceInterval {
		return
	}
	if err := s.writePresence(ctx, now); err != nil {
		s.options.Logger.Warn().Err(err).Msg("presence record not written, will retry")
		return
	}
	s.presenceWrittenAt = now
}

func (s *Service) writePresence(ctx context.Context, now time.Time) error {
	value, err := cbor.Marshal(presence{At: now.Unix()})
	if err != nil {
		return err
	}
	record, err := store.EncodeEntry(daemonPrefix+s.options.VM, value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, presenceWriteTimeout)
	defer cancel()
	_, err = s.options.Log.Append(ctx, topic, s.ownShard.partition, [][]byte{record})
	return err
}

// presenceOf returns when a VM's daemon last wrote its presence record, false if there is none.
func (s *shard) presenceOf(vm string) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := decode[presence](s.values[daemonPrefix+vm])
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(p.At, 0), true
}
