package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// tick is the grain of probes, weights, queue deadlines and peers' expiry.
const tick = 50 * time.Millisecond

// Run polls load reports and keeps time until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Dispatcher) tick(ctx context.Context) {
	now := d.o.Now()
	d.expirePeers(now)
	d.poisonMu.Lock()
	d.keeper.Tick(now)
	d.poisonMu.Unlock()
	taken := d.taken(now)
	for _, s := range d.allShards() {
		s.tick(ctx, now, taken)
	}
}

func (s *shard) tick(ctx context.Context, now time.Time, taken []ident.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(health.Tick{}, now)
	s.renewLanes(now)
	s.keepClear(taken)
	if s.kind == config.KindEngine && s.d.o.Policy != Naive {
		s.table.SetReserve(s.need.tick())
	}
	s.pump(now)
	s.sweep()
	for _, m := range s.polled() {
		if m.probing || now.Before(m.nextProbe) {
			continue
		}
		m.probing = true
		go s.poll(ctx, m)
	}
}

// poll takes one load report by schedule.
func (s *shard) poll(ctx context.Context, m *member) {
	s.probe(ctx, m, s.d.o.Now())
	s.mu.Lock()
	m.probing = false
	s.mu.Unlock()
}

// probed is what a probe found.
type probed struct {
	started time.Time
	bootID  string
	refused bool // nothing listens
	broken  bool // a connection was made and broke
	err     error
}

// prober lets one probe of a member run at a time, and shares its result with
// those who waited. The semaphore is a channel, so that waiting for it counts as
// blocked under testing/synctest.
type prober struct {
	busy chan struct{}
	last probed
}

func newProber() prober { return prober{busy: make(chan struct{}, 1)} }

// probe returns what a probe that began at or after since found: the last one
// if it is new enough, else one made now.
func (s *shard) probe(ctx context.Context, m *member, since time.Time) probed {
	m.probes.busy <- struct{}{}
	defer func() { <-m.probes.busy }()
	if last := m.probes.last; !last.started.IsZero() && last.started.After(since) {
		return last
	}
	s.mu.Lock()
	target := m.target
	s.mu.Unlock()
	found := probed{started: s.d.o.Now()}
	limited, cancel := context.WithTimeout(ctx, s.d.o.ProbeTimeout)
	defer cancel()
	report, err := s.d.o.Client.Load(limited, target)
	if ctx.Err() != nil {
		return probed{err: ctx.Err()} // says nothing about the upstream
	}
	found.err = err
	if err == nil {
		found.bootID = report.BootID
	}
	found.refused, found.broken = brokenBy(err)
	m.probes.last = found
	s.learn(m, report, found)
	return found
}

func brokenBy(err error) (refused, broken bool) {
	var ue *upstream.Error
	if !errors.As(err, &ue) {
		return false, false
	}
	return ue.Fault == upstream.Refused, ue.Fault == upstream.Reset || ue.Fault == upstream.Truncated
}

// learn takes a probe's result into health, routing and the books.
func (s *shard) learn(m *member, report wire.LoadReport, found probed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.o.Now()
	m.nextProbe = now.Add(s.pollInterval(m))
	name := m.target.Name
	if s.members[name] != m {
		return
	}
	if found.err != nil {
		s.step(health.ProbeFailed{Upstream: name, Refused: found.refused}, now)
		s.pump(now)
		return
	}
	m.bootID = report.BootID
	m.serving = servingOf(report)
	m.loaded = loadedOf(report)
	m.reported = now
	m.others = max(0, report.Running-m.inFlight)
	s.table.Report(name, report.Running, report.Queued, now.Add(-time.Duration(report.AgeMillis)*time.Millisecond))
	s.step(health.Reported{Upstream: name, BootID: report.BootID, Leaving: report.Leaving}, now)
	s.refresh(m)
	s.pump(now)
}

func servingOf(r wire.LoadReport) map[ident.Model]ident.Version {
	if len(r.Serving) == 0 {
		return nil
	}
	serving := make(map[ident.Model]ident.Version, len(r.Serving))
	for model, v := range r.Serving {
		serving[ident.Model(model)] = ident.Version(v)
	}
	return serving
}

// pollInterval is jittered by a fifth, so that daemons don't poll in step.
func (s *shard) pollInterval(m *member) time.Duration {
	interval := s.d.o.IdlePoll
	if m.inFlight > 0 {
		interval = s.d.o.BusyPoll
	}
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

func loadedOf(r wire.LoadReport) map[ident.Model][]ident.Version {
	loaded := make(map[ident.Model][]ident.Version, len(r.Loaded))
	for model, versions := range r.Loaded {
		for _, v := range versions {
			loaded[ident.Model(model)] = append(loaded[ident.Model(model)], ident.Version(v))
		}
	}
	return loaded
}
