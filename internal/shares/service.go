package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// callTimeout bounds a call to a coordinator, also the making of a connection. It is far above
// the time of a call in a fleet and half of the shortest interval.
const callTimeout = 100 * time.Millisecond

// unknownSpread is the time over which first reports are spread by daemons that do not know the
// size of the fleet. It is half of the shortest interval, in which a small fleet's tables are due.
const unknownSpread = MinInterval / 2

var (
	reportsSent    = metrics.Counter("shares_reports_sent")    // to another daemon
	reportsFailed  = metrics.Counter("shares_reports_failed")  // without a valid table in return
	reportsRefused = metrics.Counter("shares_reports_refused") // by this daemon as coordinator
	tablesUsed     = metrics.Counter("shares_tables_used")     // also of this daemon as coordinator
)

// Local gives this daemon's own demand. It must be safe for concurrent use.
type Local interface {
	// Contended returns the services for which Snapshot returns true.
	Contended(now time.Duration) []string
	// Changed returns a channel that is closed, or can be received from, once another service
	// is contended.
	Changed() <-chan struct{}
	// Snapshot returns the demand for a service, false if the service is not contended and has
	// not been for the last second. VM, Service and Sequence are set by the caller.
	Snapshot(service string, now time.Duration) (Report, bool)
}

// Sink gets the fleet's demand. It must be safe for concurrent use.
type Sink interface {
	// SetFleet is called with each table; at is the time from which Table.Fresh counts.
	SetFleet(service string, t Table, at time.Duration)
}

// Directory tells which daemons coordinate a service.
type Directory interface {
	// Coordinators returns addresses, the preferred one first. Without news it returns the last
	// known ones. It returns when the context ends at the latest.
	Coordinators(ctx context.Context, service string) []string
}

// Peers makes calls to coordinators.
type Peers interface {
	Exchange(ctx context.Context, address string, r Report) (Table, error)
}

// Options of a Service.
type Options struct {
	VM        string // name of this VM
	Address   string // ip:port where other daemons reach this one, "" for none
	Local     Local  // nil if this daemon reports no demand
	Sink      Sink
	Directory Directory
	Peers     Peers
	Now       func() time.Duration // a clock that keeps running while the VM is suspended
	Random    func() float64       // uniform over [0, 1), safe for concurrent use; nil selects math/rand/v2
	Logger    zerolog.Logger
}

// Service reports this daemon's demand and coordinates that of other daemons. It is safe for
// concurrent use.
type Service struct {
	options Options

	mu          sync.Mutex
	coordinator *Coordinator
	sequence    uint64
	expiry      *time.Timer    // removes expired reports, nil while there are none
	daemons     map[string]int // number of daemons in the last table, by service
}

// NewService returns a Service without reports.
func NewService(o Options) *Service {
	// A restarted daemon continues above its earlier sequence numbers, as its last report may
	// still be valid at the coordinator.
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Service{options: o, coordinator: NewCoordinator(), sequence: uint64(time.Now().UnixNano()), daemons: map[string]int{}}
}

// Exchange handles a report as the service's coordinator.
func (s *Service) Exchange(r Report) (Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := s.coordinator.Exchange(r, s.options.Now())
	if err != nil {
		reportsRefused.Add(1)
	}
	s.expireLaterLocked()
	return t, err
}

// expireLaterLocked makes sure that reports which no later one replaces are removed.
func (s *Service) expireLaterLocked() {
	if s.expiry != nil || s.coordinator.Empty() {
		return
	}
	s.expiry = time.AfterFunc(validIntervals*maxInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.coordinator.Expire(s.options.Now())
		s.expiry = nil
		s.expireLaterLocked()
	})
}

// Run reports the demand for contended services until the context ends. It waits without timers
// and calls while no service is contended. A daemon that others cannot reach uses its own demand
// only.
func (s *Service) Run(ctx context.Context) {
	if s.options.Local == nil || s.options.Address == "" {
		return
	}
	var work sync.WaitGroup
	defer work.Wait()
	running, ended := map[string]bool{}, make(chan string)
	for ctx.Err() == nil {
		changed := s.options.Local.Changed() // before the list, so that no change is missed
		for _, service := range s.options.Local.Contended(s.options.Now()) {
			if running[service] {
				continue
			}
			running[service] = true
			work.Go(func() {
				s.reportWhileContended(ctx, service)
				select {
				case ended <- service:
				case <-ctx.Done():
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case service := <-ended:
			delete(running, service)
		}
	}
}

// reportWhileContended reports the demand for a service. It returns at least MinInterval after
// the last report.
func (s *Service) reportWhileContended(ctx context.Context, service string) {
	if !pause.For(ctx, s.firstDelay(service)) {
		return
	}
	c := newClient()
	for {
		report, contended := s.options.Local.Snapshot(service, s.options.Now())
		if !contended {
			pause.For(ctx, MinInterval)
			return
		}
		report.VM, report.Service = s.options.VM, service
		if !pause.For(ctx, s.report(ctx, c, report)) {
			return
		}
	}
}

// firstDelay returns the time until the first report of a contention, which often begins at all
// daemons at one moment. It spreads their reports as the coordinator does with later ones.
func (s *Service) firstDelay(service string) time.Duration {
	s.mu.Lock()
	daemons, ok := s.daemons[service]
	s.mu.Unlock()
	spread := unknownSpread
	if ok {
		spread = min(time.Duration(daemons)*reportSpacing, maxInterval)
	}
	return time.Duration(s.options.Random() * float64(spread))
}

// report sends a report and returns the time until the next one.
func (s *Service) report(ctx context.Context, c *client, r Report) time.Duration {
	lookupCtx, cancel := context.WithTimeout(ctx, callTimeout)
	coordinators := s.options.Directory.Coordinators(lookupCtx, r.Service)
	cancel()
	sent := s.options.Now()
	address, wait, ok := c.choose(coordinators, sent)
	if !ok {
		return wait
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout) // the look-up does not shorten the call
	defer cancel()
	t, err := s.exchange(callCtx, address, prepare(r))
	if ctx.Err() != nil {
		return 0
	}
	now := s.options.Now()
	if err != nil {
		reportsFailed.Add(1)
		if c.failedCall(address, now) {
			s.options.Logger.Warn().Err(err).Str("service", r.Service).Str("coordinator", address).Msg("coordinator lost; own demand is used once the last table has expired")
		}
		return MinInterval
	}
	if c.succeeded(address) {
		s.options.Logger.Info().Str("service", r.Service).Str("coordinator", address).Int("daemons", t.Daemons).Msg("coordinator regained")
	}
	// The table's age counts from the time of the report: if this VM was suspended during the
	// call, the call's timeout has not noticed it, but the table is out of date.
	if !t.Fresh(sent, now) {
		return MinInterval
	}
	tablesUsed.Add(1)
	s.mu.Lock()
	s.daemons[r.Service] = t.Daemons
	s.mu.Unlock()
	s.options.Sink.SetFleet(r.Service, t, sent)
	return t.NextReport
}

// exchange sends a report to a coordinator, or handles it if this daemon is that one.
func (s *Service) exchange(ctx context.Context, address string, r Report) (Table, error) {
	s.mu.Lock()
	s.sequence++
	r.Sequence = s.sequence
	s.mu.Unlock()
	if address == s.options.Address {
		return s.Exchange(r)
	}
	reportsSent.Add(1)
	t, err := s.options.Peers.Exchange(ctx, address, r)
	if err != nil {
		return Table{}, err
	}
	return t, t.Validate()
}
