package relay

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// shard is the local view of one partition of the relay topic: the configuration, a part of the
// upstreams, and the daemons that read it.
type shard struct {
	partition int
	follower  *follow.OnDemand
	now       func() time.Duration
	log       zerolog.Logger

	mu          sync.Mutex
	values      map[string][]byte // by key, without the watermark
	watermark   Watermark
	watermarkAt time.Duration // when the watermark was read, 0: there is none
	changes     uint64        // number of changes of values
	subscriber  *subscriber   // nil: another shard serves this daemon
}

func newShard(o Options, partition int) *shard {
	s := &shard{partition: partition, now: o.Now, log: o.Logger, values: map[string][]byte{}}
	s.follower = follow.NewOnDemand(follow.OnDemandOptions{Options: follow.Options{
		Log: o.Log, Topic: topic, Partition: partition, Keyed: true, Sink: s, Idle: s.unpublished, Now: o.Now, Logger: o.Logger,
	}, OnDiscard: s.discard})
	return s
}

// subscribe makes a subscriber receive all records from now on. It must be called before the
// follower runs.
func (s *shard) subscribe(subscriber *subscriber) { s.subscriber = subscriber }

// unpublished reports whether there is no watermark. New records are rare then.
func (s *shard) unpublished() bool { return !s.published() }

// Reset replaces everything by the newest record of each key.
func (s *shard) Reset(entries []store.Entry) {
	s.mu.Lock()
	s.values, s.watermark, s.watermarkAt = map[string][]byte{}, Watermark{}, 0
	for _, e := range entries {
		s.applyLocked(e.Key, e.Value)
	}
	s.mu.Unlock()
	s.reapply()
}

// Record applies one record.
func (s *shard) Record(offset int64, data []byte) {
	key, value, err := store.DecodeEntry(data)
	if err != nil {
		s.log.Error().Err(err).Int("slice", s.partition).Int64("offset", offset).Msg("malformed record of a relay shard skipped")
		return
	}
	s.mu.Lock()
	s.applyLocked(key, value)
	s.mu.Unlock()
	if s.subscriber != nil {
		s.subscriber.applyRecord(key, value)
	}
}

// Gap is never called, since the topic is keyed.
func (s *shard) Gap(int64) {}

func (s *shard) applyLocked(key string, value []byte) {
	switch {
	case key == watermarkKey && len(value) == 0:
		s.watermark, s.watermarkAt = Watermark{}, 0
	case key == watermarkKey:
		watermark, err := decode[Watermark](value)
		if err != nil {
			s.log.Error().Err(err).Int("slice", s.partition).Msg("malformed watermark of a relay shard skipped")
			return
		}
		s.watermark, s.watermarkAt = watermark, s.now()
	case len(value) == 0:
		delete(s.values, key)
		s.changes++
	default:
		s.values[key] = value
		s.changes++
	}
}

// discard empties the view once it isn't followed any more.
func (s *shard) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.watermark, s.watermarkAt = map[string][]byte{}, Watermark{}, 0
	s.changes++
}

// reapply passes all values to the subscriber again.
func (s *shard) reapply() {
	if s.subscriber == nil {
		return
	}
	s.mu.Lock()
	values := maps.Clone(s.values)
	s.mu.Unlock()
	s.subscriber.applyAll(values)
}

// publication returns the newest watermark, whether there is one, and for how long no new one
// has come although the store answers. The sink must not call it: the follower calls the sink
// under the lock that InContact takes.
func (s *shard) publication() (watermark Watermark, published bool, silentFor time.Duration) {
	inContact := s.follower.InContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watermarkAt != 0 && inContact {
		silentFor = s.now() - s.watermarkAt
	}
	return s.watermark, s.watermarkAt != 0, silentFor
}

// published reports whether there is a watermark.
func (s *shard) published() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watermarkAt != 0
}

// countDaemons returns the number of VMs whose daemons read this shard.
func (s *shard) countDaemons() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.values {
		if strings.HasPrefix(key, daemonPrefix) {
			n++
		}
	}
	return n
}
