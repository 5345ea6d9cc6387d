package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	topic = store.KeyedTopicPrefix + "crashes"
	// writeTimeout bounds the write of a record. A lost record costs one more crash.
	writeTimeout = 2 * time.Second
	// cleanupInterval is the time between two deletions of expired crashes.
	cleanupInterval = time.Minute
)

// Tracker shares the crashes that daemons see through the store. It is safe for concurrent
// use.
type Tracker struct {
	vm       string // this daemon's
	log      store.Log
	now      func() time.Duration
	logger   zerolog.Logger
	follower *follow.Follower

	mu    sync.Mutex
	table *Table
}

// New returns a Service without crashes; [Tracker.Run] reads them. now must be a clock that
// goes on while the VM is suspended.
func New(vm string, log store.Log, now func() time.Duration, logger zerolog.Logger) *Tracker {
	s := &Tracker{vm: vm, log: log, now: now, logger: logger, table: NewTable()}
	alwaysRelaxed := func() bool { return true } // crashes are rare: a read every few seconds is enough
	s.follower = follow.New(follow.Options{Log: log, Topic: topic, Keyed: true, Sink: (*sink)(s), Idle: alwaysRelaxed, Now: now, Logger: logger})
	return s
}

// Run follows the records of all daemons, and deletes expired ones, until ctx ends.
func (s *Tracker) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.deleteExpired(ctx)
	}()
	s.follower.Run(ctx)
	<-done
}

// Blocked reports whether a request has crashed too many upstreams to be sent.
func (s *Tracker) Blocked(request poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Blocked(request, s.now())
}

// RetryDelay returns how long a request that is never refused for good must wait, 0: it may be
// sent now.
func (s *Tracker) RetryDelay(request poison.Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RetryDelay(request, s.now())
}

var (
	crashesMarked      = metrics.Counter("crashes_marked")
	crashWriteFailures = metrics.Counter("crash_records_failed")
)

// RecordCrash records that an incarnation of an upstream crashed while it ran a request, and
// tells the other daemons.
func (s *Tracker) RecordCrash(ctx context.Context, request poison.Fingerprint, incarnation string) {
	c := crash{request, incarnation}
	s.mu.Lock()
	s.table.add(c, s.now())
	count := s.table.count(request, s.now())
	s.mu.Unlock()
	crashesMarked.Add(1)
	s.logger.Warn().Str("fingerprint", c.key()).Int("crashes", count).Int("limit", blockAfterCrashes).Msg("upstream crashed while it ran a request")
	data, err := crashRecord{VM: s.vm}.encode()
	if err != nil {
		s.logger.Error().Err(err).Str("fingerprint", c.key()).Msg("crash not encoded; other daemons don't learn of it")
		return
	}
	s.write(ctx, c, data)
}

// RecordSuccess deletes the crashes of a request: one that crashes its upstreams never
// succeeds. It doesn't wait for the store.
func (s *Tracker) RecordSuccess(ctx context.Context, request poison.Fingerprint) {
	s.mu.Lock()
	crashes := s.table.crashesOf(request)
	for _, c := range crashes {
		s.table.remove(c)
	}
	s.mu.Unlock()
	if len(crashes) == 0 {
		return
	}
	go func() {
		for _, c := range crashes {
			s.write(ctx, c, nil)
		}
	}()
}

// write writes a crash's record, or deletes it if data is nil.
func (s *Tracker) write(ctx context.Context, c crash, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record, err := store.EncodeEntry(c.key(), data)
	if err == nil {
		_, err = s.log.Append(ctx, topic, 0, [][]byte{record})
	}
	if err != nil {
		crashWriteFailures.Add(1)
		s.logger.Warn().Err(err).Str("fingerprint", c.key()).Bool("drop", data == nil).Msg("crash record not written; other daemons don't learn of the change")
	}
}

// deleteExpired deletes expired crashes, also from the store, until ctx ends.
func (s *Tracker) deleteExpired(ctx context.Context) {
	pause.Every(ctx, cleanupInterval, func() {
		s.mu.Lock()
		expired := s.table.expired(s.now())
		for _, c := range expired {
			s.table.remove(c)
		}
		s.mu.Unlock()
		for _, c := range expired {
			s.write(ctx, c, nil)
		}
	})
}

// sink applies the records of all daemons to the table.
type sink Tracker

// Reset replaces the table's content by the newest records.
func (s *sink) Reset(entries []store.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = NewTable()
	for _, e := range entries {
		s.applyLocked(e.Key, e.Value)
	}
}

// Record applies one record.
func (s *sink) Record(offset int64, data []byte) {
	key, value, err := store.DecodeEntry(data)
	if err != nil {
		s.logger.Error().Err(err).Int64("offset", offset).Msg("malformed crash record skipped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(key, value)
}

// Gap is never called: the topic is keyed.
func (s *sink) Gap(int64) {}

func (s *sink) applyLocked(key string, value []byte) {
	c, err := parseKey(key)
	switch {
	case err != nil:
		s.logger.Error().Err(err).Msg("crash record with a malformed key skipped")
	case len(value) == 0:
		s.table.remove(c)
	default:
		s.table.add(c, s.now())
	}
}
