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
// Invariant: Current's Through never falls. All states come through the reader,
// under mu, and the reader keeps to it.
type Store struct {
	log     infra.Log
	logger  zerolog.Logger
	options Options

	current atomic.Pointer[config.State]

	mu       sync.Mutex // guards all below
	reader   *config.Reader
	changed  chan struct{}
	lastRead time.Time // when a read of the log last succeeded
}

// New returns a store with an empty configuration. Follow fills it.
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

// Changed returns a channel that is closed when the state next moves forward,
// be it by a change that was rejected. Take it before Current.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Offer takes a peer's state if its Through is larger.
func (s *Store) Offer(state *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reader.UpdateIfNewer(state) {
		return false
	}
	countPeerStates.Add(1)
	s.show()
	return true
}

// LastRead returns when the log was last read with success, the zero time for
// never. A daemon whose log is down acts on what it and its peers have.
func (s *Store) LastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// CaughtUp says whether the state held every record at the last read.
func (s *Store) CaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.CaughtUp()
}

// step takes a page of the log.
func (s *Store) step(page config.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasInGap := s.reader.InGap()
	s.reader.ApplyPage(page)
	s.lastRead = s.options.Now()
	if inGap := s.reader.InGap(); inGap != wasInGap {
		s.logger.Warn().Bool("gap", inGap).Int64("first", int64(page.First)).Msg("configuration behind the log's retention")
	}
	s.show()
}

// show makes the reader's state the current one and wakes who waits for it.
func (s *Store) show() {
	before, after := s.current.Load(), s.reader.State()
	if before == after {
		return
	}
	s.current.Store(after)
	close(s.changed)
	s.changed = make(chan struct{})
	gaugeVersion.Set(int64(after.Version()))
	gaugeThrough.Set(int64(after.Through()))
	if before.Version() != after.Version() {
		s.logger.Info().Int64("version", int64(after.Version())).Msg("configuration in force")
	}
}
