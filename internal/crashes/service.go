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
	topic = store.KeyedPrefix + "crashes"
	// writeTimeout bounds the record of a mark. One that is lost costs one more crash.
	writeTimeout = 2 * time.Second
	// sweepEvery is how often marks that don't count any more are dropped.
	sweepEvery = time.Minute
)

// Service shares the ledger of all daemons through the store. It is safe for
// concurrent use.
type Service struct {
	vm       string
	log      store.Log
	now      func() time.Duration
	lines    zerolog.Logger
	follower *follow.Follower

	mu     sync.Mutex
	ledger *Ledger
}

// New returns a Service that knows nothing yet. now is a clock that goes on while the
// VM is suspended.
func New(vm string, log store.Log, now func() time.Duration, lines zerolog.Logger) *Service {
	s := &Service{vm: vm, log: log, now: now, lines: lines, ledger: NewLedger()}
	always := func() bool { return true } // crashes are rare: one read in some seconds does
	s.follower = follow.New(follow.Options{Log: log, Topic: topic, Keyed: true, Sink: (*sink)(s), Relaxed: always, Now: now, Logger: lines})
	return s
}

// Run follows the ledger until the context ends.
func (s *Service) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.sweep(ctx)
	}()
	s.follower.Run(ctx)
	<-done
}

// Blocked reports whether a request has crashed too many upstreams to be sent.
func (s *Service) Blocked(request poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Blocked(request, s.now())
}

var (
	crashesMarked = metrics.Counter("crashes_marked")
	crashRecords  = metrics.Counter("crash_records_failed")
)

// Crashed notes that an upstream crashed while it ran a request, and tells the
// other daemons.
func (s *Service) Crashed(ctx context.Context, request poison.Fingerprint, upstream string) {
	m := mark{request, upstream}
	s.mu.Lock()
	s.ledger.add(m, s.now())
	count := s.ledger.count(request, s.now())
	s.mu.Unlock()
	crashesMarked.Add(1)
	s.lines.Warn().Str("fingerprint", m.key()).Int("crashes", count).Int("limit", limit).Msg("upstream crashed under a request")
	data, err := value{VM: s.vm}.encode()
	if err != nil {
		s.lines.Error().Err(err).Str("fingerprint", m.key()).Msg("mark not encoded")
		return
	}
	s.write(ctx, m, data)
}

// Succeeded clears a request: what crashes upstreams never succeeds. It doesn't wait
// for the record.
func (s *Service) Succeeded(ctx context.Context, request poison.Fingerprint) {
	s.mu.Lock()
	marks := s.ledger.of(request)
	for _, m := range marks {
		s.ledger.remove(m)
	}
	s.mu.Unlock()
	if len(marks) == 0 {
		return
	}
	go func() {
		for _, m := range marks {
			s.write(ctx, m, nil)
		}
	}()
}

// write records a mark, or drops it if data is nil.
func (s *Service) write(ctx context.Context, m mark, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record, err := store.EncodeEntry(m.key(), data)
	if err == nil {
		_, err = s.log.Append(ctx, topic, 0, [][]byte{record})
	}
	if err != nil {
		crashRecords.Add(1)
		s.lines.Warn().Err(err).Str("fingerprint", m.key()).Bool("drop", data == nil).Msg("mark not recorded, other daemons don't know of it")
	}
}

// sweep drops marks that don't count any more, also from the store.
func (s *Service) sweep(ctx context.Context) {
	pause.Every(ctx, sweepEvery, func() {
		s.mu.Lock()
		old := s.ledger.expired(s.now())
		for _, m := range old {
			s.ledger.remove(m)
		}
		s.mu.Unlock()
		for _, m := range old {
			s.write(ctx, m, nil)
		}
	})
}

// sink applies the records of all daemons.
type sink Service

// Reset replaces the ledger by the newest records.
func (s *sink) Reset(entries []store.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = NewLedger()
	for _, e := range entries {
		s.takeLocked(e.Key, e.Value)
	}
}

// Record applies one record.
func (s *sink) Record(offset int64, data []byte) {
	key, value, err := store.DecodeEntry(data)
	if err != nil {
		s.lines.Error().Err(err).Int64("offset", offset).Msg("mark skipped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeLocked(key, value)
}

// Gap is never called: the topic has keys.
func (s *sink) Gap(int64) {}

func (s *sink) takeLocked(key string, value []byte) {
	m, err := parseMark(key)
	switch {
	case err != nil:
		s.lines.Error().Err(err).Msg("mark skipped")
	case len(value) == 0:
		s.ledger.remove(m)
	default:
		s.ledger.add(m, s.now())
	}
}
