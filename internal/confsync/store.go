package confsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
)

// Store holds the newest configuration.
//
// Invariant: the applied offset of the current state never decreases. All states come
// from the reader, which guarantees this, under mu.
type Store struct {
	log     infra.Log
	logger  zerolog.Logger
	options Options

	current atomic.Pointer[config.State]

	mu       sync.Mutex // guards the fields below
	reader   *config.Reader
	changed  chan struct{} // closed and replaced when current changes
	lastRead time.Time     // time of the last successful read of the log
}

// New returns a store with an empty configuration. Follow reads the log into it.
func New(log infra.Log, logger zerolog.Logger, options Options) *Store {
	s := &Store{
		log:     log,
		logger:  logger,
		options: options.withDefaults(),
		reader:  config.NewReader(config.Empty()),
		changed: make(chan struct{}),
	}
	s.current.Store(s.reader.State())
	return s
}

// Current returns the newest state, never nil.
func (s *Store) Current() *config.State { return s.current.Load() }

// Changed returns a channel that is closed when the state is next replaced, which a
// rejected change does too. Call it before Current, so as not to miss a state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// UpdateIfNewer replaces the state by a peer's state if that is newer, and reports whether it
// did.
func (s *Store) UpdateIfNewer(state *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reader.UpdateIfNewer(state) {
		return false
	}
	countPeerStates.Add(1)
	s.updateCurrent()
	return true
}

// LastRead returns the time of the last successful read of the log, zero if there was
// none. While the log is down, a daemon uses its own state and those of its peers.
func (s *Store) LastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// CaughtUp reports whether the state includes every record that the log had at the
// last read.
func (s *Store) CaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.CaughtUp()
}

// applyPage processes a page of the log.
func (s *Store) applyPage(page config.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasInGap := s.reader.InGap()
	s.reader.ApplyPage(page)
	s.lastRead = s.options.Now()
	if inGap := s.reader.InGap(); inGap != wasInGap {
		s.logger.Warn().Bool("gap", inGap).Int64("first", int64(page.First)).Msg("configuration behind the log's retention")
	}
	s.updateCurrent()
}

// updateCurrent makes the reader's state the current one and wakes the waiters on
// changed. The caller holds mu.
func (s *Store) updateCurrent() {
	before, after := s.current.Load(), s.reader.State()
	if before == after {
		return
	}
	s.current.Store(after)
	close(s.changed)
	s.changed = make(chan struct{})
	gaugeVersion.Set(int64(after.Version()))
	gaugeAppliedOffset.Set(int64(after.AppliedOffset()))
	if before.Version() != after.Version() {
		s.logger.Info().Int64("version", int64(after.Version())).Msg("configuration updated")
	}
}
