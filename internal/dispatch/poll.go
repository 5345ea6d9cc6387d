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

// tickInterval is the resolution of probes, weights, queue deadlines and the expiry of peers.
const tickInterval = 50 * time.Millisecond

// Run polls load reports and drives all timers until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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
	now := d.options.Now()
	d.expirePeers(now)
	d.poisonMu.Lock()
	d.suspectMarks.DropExpired(now)
	d.poisonMu.Unlock()
	peerTrials := d.peerTrials(now)
	for _, s := range d.allShards() {
		s.tick(ctx, now, peerTrials)
	}
}

func (s *shard) tick(ctx context.Context, now time.Time, peerTrials []ident.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyHealthEvent(health.Tick{}, now)
	s.renewTrials(now)
	s.quarantineForPeers(peerTrials)
	if s.kind == config.KindEngine && s.dispatcher.options.Policy != PolicyNaive {
		s.routingTable.UpdateReserve(s.reserveDemand.update())
	}
	s.admitWaiting(now)
	s.dropUnused()
	for _, m := range s.polledMembers() {
		if m.probing || now.Before(m.nextProbe) {
			continue
		}
		m.probing = true
		go s.poll(ctx, m)
	}
}

// poll gets one regular load report.
func (s *shard) poll(ctx context.Context, m *member) {
	s.probe(ctx, m, s.dispatcher.options.Now())
	s.mu.Lock()
	m.probing = false
	s.mu.Unlock()
}

// probeResult is the result of a probe, which is a request for a load report.
type probeResult struct {
	started time.Time
	bootID  string
	refused bool // the connection was refused
	broken  bool // the connection was established and then broke
	err     error
}

// prober runs one probe of a member at a time and shares its result with those who waited.
// The semaphore is a channel, so that waiting for it counts as blocked for
// testing/synctest.
type prober struct {
	semaphore chan struct{}
	last      probeResult
}

func newProber() prober { return prober{semaphore: make(chan struct{}, 1)} }

// probe returns the result of a probe that started after the given time: the last one if it
// is recent enough, otherwise a new one.
func (s *shard) probe(ctx context.Context, m *member, startedAfter time.Time) probeResult {
	m.prober.semaphore <- struct{}{}
	defer func() { <-m.prober.semaphore }()
	if last := m.prober.last; !last.started.IsZero() && last.started.After(startedAfter) {
		return last
	}
	s.mu.Lock()
	target := m.target
	s.mu.Unlock()
	found := probeResult{started: s.dispatcher.options.Now()}
	probeCtx, cancel := context.WithTimeout(ctx, s.dispatcher.options.ProbeTimeout)
	defer cancel()
	report, err := s.dispatcher.options.Client.Load(probeCtx, target)
	if ctx.Err() != nil {
		return probeResult{err: ctx.Err()} // the caller gave up, which says nothing about the upstream
	}
	found.err = err
	if err == nil {
		found.bootID = report.BootID
	}
	found.refused, found.broken = connectionFault(err)
	m.prober.last = found
	s.applyProbe(m, report, found)
	return found
}

// connectionFault reports how the connection of a probe failed, if it did.
func connectionFault(err error) (refused, broken bool) {
	var upstreamErr *upstream.Error
	if !errors.As(err, &upstreamErr) {
		return false, false
	}
	return upstreamErr.Fault == upstream.Refused, upstreamErr.Fault == upstream.Reset || upstreamErr.Fault == upstream.Truncated
}

// applyProbe updates the member's state, health and routing by a probe's result.
func (s *shard) applyProbe(m *member, report wire.LoadReport, found probeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.options.Now()
	m.nextProbe = now.Add(s.pollInterval(m))
	name := m.target.Name
	if s.members[name] != m {
		return
	}
	if found.err != nil {
		s.applyHealthEvent(health.ProbeFailed{Upstream: name, Refused: found.refused}, now)
		s.admitWaiting(now)
		return
	}
	m.bootID = report.BootID
	m.serving = servingVersions(report)
	m.loaded = loadedVersions(report)
	m.reportedAt = now
	m.othersInFlight = max(0, report.Running-m.inFlight)
	s.routingTable.RecordLoadReport(name, report.Running, report.Queued, now.Add(-time.Duration(report.AgeMillis)*time.Millisecond))
	s.applyHealthEvent(health.Reported{Upstream: name, BootID: report.BootID, Leaving: report.Leaving}, now)
	s.updateRouting(m)
	s.admitWaiting(now)
}

func servingVersions(r wire.LoadReport) map[ident.Model]ident.Version {
	if len(r.Serving) == 0 {
		return nil
	}
	serving := make(map[ident.Model]ident.Version, len(r.Serving))
	for model, version := range r.Serving {
		serving[ident.Model(model)] = ident.Version(version)
	}
	return serving
}

// pollInterval returns the member's polling interval with a jitter of ±10%, so that daemons
// don't poll in lockstep.
func (s *shard) pollInterval(m *member) time.Duration {
	interval := s.dispatcher.options.IdlePoll
	if m.inFlight > 0 {
		interval = s.dispatcher.options.BusyPoll
	}
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

func loadedVersions(r wire.LoadReport) map[ident.Model][]ident.Version {
	loaded := make(map[ident.Model][]ident.Version, len(r.Loaded))
	for model, versions := range r.Loaded {
		for _, v := range versions {
			loaded[ident.Model(model)] = append(loaded[ident.Model(model)], ident.Version(v))
		}
	}
	return loaded
}
