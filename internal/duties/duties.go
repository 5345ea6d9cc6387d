// Package duties performs the duties, the tasks that one daemon at a time performs for the
// whole fleet: it reports the customers' usage to the platform and orders servers. Packages
// usage and scaling decide what to report and to order; this package reads and writes the
// duties' log, claims a duty before each call, and makes the calls.
//
// # One holder at a time
//
// A daemon's rank follows from the partitions that it owns. The owner of the last partition
// has rank 0 and performs the duties; the owners of the partitions before it are standbys,
// which act when something is overdue. Ranks are an optimisation: what excludes concurrent
// calls of two daemons is the claim before each call. The claim's offset in the log is the
// call's fencing token, and the claim blocks all other daemons until no call made under it
// can still arrive. A daemon that can't append a claim makes no call.
package duties

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// Outcome is the result of a call to the platform.
type Outcome int

// The outcomes.
const (
	Unknown     Outcome = iota // no answer: the call may have taken effect, or may still do so
	Done                       // the call took effect
	Fenced                     // refused, the platform has seen a higher fencing token
	Refused                    // refused by the platform's rate limit, without effect
	Rejected                   // the platform considers the call invalid
	Unavailable                // no server of this kind is available in the data centre now
)

// String returns the outcome's name for log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "fenced", "refused", "rejected", "unavailable"}[o]
}

// Claim identifies the claim under which a call is made.
type Claim struct {
	Holder       string // this VM
	FencingToken int64  // fencing token of the claim
}

// Platform is the API of the platform that the duties call.
type Platform interface {
	// ReportUsage reports the counts of a window. The platform accepts an identical report
	// more than once.
	ReportUsage(ctx context.Context, c Claim, report usage.WindowCounts) (Outcome, error)
	// Scale orders servers of a service. The order's count includes the existing servers.
	Scale(ctx context.Context, c Claim, service string, o scaling.Order) (Outcome, error)
	// Reachable reports whether the platform's address accepts connections.
	Reachable(ctx context.Context) bool
}

// Claims claims duties for this VM, each before a call.
type Claims interface {
	// Claim claims a duty for this VM. After an error no call may be made.
	Claim(ctx context.Context, duty string) (loads.Permit, error)
	// BlockedFor returns how long another VM's claim still blocks this VM, 0 if none does.
	BlockedFor(duty string) time.Duration
}

// RankFunc returns a daemon's rank. Rank 0 performs the duties, higher ranks are standbys. ok is
// false for a daemon that isn't a candidate.
type RankFunc func() (rank int, ok bool)

// Options of a Service.
type Options struct {
	VM       string // this VM's name
	Log      store.Log
	Claims   Claims
	Rank     RankFunc // this daemon's rank
	Platform Platform
	// Usage defines the windows that are reported. nil: usage isn't reported.
	Usage *usage.Timing
	// ScaledServices returns the services whose servers may be ordered. nil: none are.
	ScaledServices func() []ScaledService
	// HoldUpstreams, if set, makes the daemon follow the platform's list of upstreams until release is
	// called. It is held while the daemon is a candidate. nil: the list is always followed.
	HoldUpstreams func() (release func())
	Now           func() time.Duration // monotonic clock, also advances while the VM is suspended
	Clock         func() time.Time     // wall clock
	Logger        zerolog.Logger
}

// task is one duty.
type task interface {
	// runDue does what is due now for a daemon of this rank.
	runDue(ctx context.Context, rank int)
}

// Service performs the duties in one daemon. It is safe for concurrent use.
type Service struct {
	options Options
	view    *view
	tasks   []task

	mu   sync.Mutex
	rank int // this daemon's rank, or notCandidate
}

// notCandidate is the rank of a daemon that isn't a candidate.
const notCandidate = -1

// New returns a Service.
func New(o Options) *Service {
	s := &Service{options: o, view: newView(o), rank: notCandidate}
	calls := &fencedCaller{options: o}
	if o.Usage != nil {
		s.tasks = append(s.tasks, &reporter{options: o, view: s.view, caller: calls})
	}
	if o.ScaledServices != nil {
		s.tasks = append(s.tasks, newScaler(o, s.view, calls))
	}
	return s
}

// pollInterval is the time between two checks of the rank and of what is due. Windows last
// seconds.
const pollInterval = 250 * time.Millisecond

// Run performs the duties whenever this daemon is a candidate, until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil && len(s.tasks) > 0 {
		if !s.updateRank() {
			pause.For(ctx, pollInterval)
			continue
		}
		s.runWhileCandidate(ctx)
	}
}

// updateRank updates the rank and reports whether this daemon is a candidate.
func (s *Service) updateRank() bool {
	rank, ok := s.options.Rank()
	if !ok {
		rank = notCandidate
	}
	s.mu.Lock()
	changed := s.rank != rank
	s.rank = rank
	s.mu.Unlock()
	if changed {
		s.options.Logger.Info().Int("rank", rank).Msg("turn for the duties changed")
	}
	return ok
}

func (s *Service) currentRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank
}

// runWhileCandidate follows the log and does what is due until this daemon is no longer a
// candidate. Each duty has its own loop, so that a platform that is slow to answer a report
// doesn't delay an order.
func (s *Service) runWhileCandidate(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	if s.options.HoldUpstreams != nil && s.options.ScaledServices != nil {
		defer s.options.HoldUpstreams()()
	}
	var work sync.WaitGroup
	work.Go(func() { s.view.follow(ctx) })
	for _, t := range s.tasks {
		work.Go(func() {
			pause.Every(ctx, pollInterval, func() {
				if rank := s.currentRank(); rank != notCandidate && s.view.follower.Loaded() {
					t.runDue(ctx, rank)
				}
			})
		})
	}
	for ctx.Err() == nil && s.updateRank() {
		pause.For(ctx, pollInterval)
	}
	cancel()
	work.Wait()
}

// MaxCandidates is the number of partitions whose owners are candidates. A candidate follows
// what the duties need, so that it can take over at once.
const MaxCandidates = 6

// RankByPartition ranks daemons by the partitions that they own, which owns returns. The owner of
// the last of parts partitions has rank 0, the owner of the one before it rank 1, and so on.
// The owners of the last candidates partitions are the candidates. Ranks start at the last
// partition because models are assigned the first ones, so that mostly a daemon without
// samples to run performs the duties.
func RankByPartition(owns func() []int, parts, candidates int) RankFunc {
	return func() (rank int, ok bool) {
		rank = parts
		for _, part := range owns() {
			rank = min(rank, parts-1-part)
		}
		return rank, rank < min(candidates, parts)
	}
}

// State is the state of the duties that operators see.
type State struct {
	Rank int // this daemon's rank, -1 if it isn't a candidate
	// LastReportedWindow is the newest window whose report the platform accepted, as far as this
	// daemon has read the log. 0: none.
	LastReportedWindow int64
	DutyNames          []string // the duties' names in claims
	Servers            []ServersState
}

// ServersState describes a service's servers in one data centre.
type ServersState struct {
	Service, DataCentre string
	Existing            scaling.Servers
	SpotOrdered         int // count of the last order of spot servers known here, -1 if none is
}

// State returns the state of the duties as this daemon knows it.
func (s *Service) State() State {
	out := State{Rank: s.currentRank()}
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	if last, ok := s.view.usage.LastSent(); ok {
		out.LastReportedWindow = last
	}
	if s.options.Usage != nil {
		out.DutyNames = append(out.DutyNames, UsageDuty)
	}
	if s.options.ScaledServices == nil {
		return out
	}
	for _, service := range s.options.ScaledServices() {
		for _, dc := range slices.Sorted(maps.Keys(service.Spec.RegularPrices)) {
			out.DutyNames = append(out.DutyNames, scalingDuty(service.Service, dc))
			state := ServersState{Service: service.Service, DataCentre: dc, Existing: service.Servers[dc], SpotOrdered: -1}
			if count, ok := s.view.plannerLocked(service.Service).LastOrdered(scaling.Pool{DataCentre: dc, Spot: true}); ok {
				state.SpotOrdered = count
			}
			out.Servers = append(out.Servers, state)
		}
	}
	return out
}
