// Package duties does what one daemon at a time has to do for the whole fleet: it reports
// the customers' usage. What is decided, package usage decides; here are the claims under
// which calls leave, the log that is read and written, and the calls.
//
// # One holder at a time
//
// A daemon's turn follows from the partitions that it owns: the owner of the last one does
// the duties, the owners of those before stand in for it when something is overdue. That is
// an optimisation. What keeps two daemons apart is the claim before each call: its offset in
// the log is the call's fencing number, and it bars all others until nothing that was sent
// under it can arrive. Whoever can't write a claim sends nothing.
package duties

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// Outcome is what became of a call to the platform.
type Outcome int

// The outcomes.
const (
	Unknown  Outcome = iota // no answer: it may be carried out, also later
	Done                    // carried out
	Fenced                  // a higher fencing number was seen
	Refused                 // too many calls at this moment, nothing was done
	Rejected                // the call makes no sense to the platform
)

// String names the outcome for log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "fenced", "refused", "rejected"}[o]
}

// Call is under which claim a call leaves.
type Call struct {
	Holder string // this VM
	Fence  int64  // fencing number
}

// Platform takes the duties' calls.
type Platform interface {
	// ReportUsage reports a window. An exact copy of a report is taken again.
	ReportUsage(ctx context.Context, c Call, report usage.WindowCounts) (Outcome, error)
	// Reachable reports whether anything listens at the platform's address.
	Reachable(ctx context.Context) bool
}

// Claims are written before calls leave.
type Claims interface {
	// Claim claims a duty for this VM. An error means that nothing may leave.
	Claim(ctx context.Context, duty string) (loads.Permit, error)
}

// Turn tells a daemon's rank for the duties: 0 does them, higher ones stand in. It reports
// false for a daemon that has no turn.
type Turn func() (rank int, ok bool)

// Options of a Service.
type Options struct {
	VM       string
	Log      store.Log
	Claims   Claims
	Turn     Turn
	Platform Platform
	// Usage says when windows are reported, nil if that is no duty here.
	Usage  *usage.Timing
	Now    func() time.Duration // a clock that goes on while the VM is suspended
	Clock  func() time.Time     // the time of day
	Logger zerolog.Logger
}

// Service does the duties of a daemon. It is safe for concurrent use.
type Service struct {
	options Options
	reports *reporter // nil: usage isn't reported here
}

// New returns a Service.
func New(o Options) *Service {
	s := &Service{options: o}
	if o.Usage != nil {
		s.reports = newReporter(o)
	}
	return s
}

// Run does the duties whenever it is this daemon's turn, until the context ends.
func (s *Service) Run(ctx context.Context) {
	if s.reports != nil {
		s.reports.run(ctx)
	}
}

// candidates is how many daemons read what a duty needs, so that they can stand in at once:
// the owners of so many partitions.
const candidates = 6

// ByPartition is a daemon's turn by the partitions that it owns: 0 for the owner of the last
// one. Models get the first partitions, so that the duties are mostly done by a daemon
// without samples to run.
func ByPartition(owns func() []int, parts int) Turn {
	return func() (rank int, ok bool) {
		rank = parts
		for _, part := range owns() {
			rank = min(rank, parts-1-part)
		}
		return rank, rank < min(candidates, parts)
	}
}

// State is what operators see of a duty.
type State struct {
	Duty string
	Rank int // -1: this daemon is no candidate
	// LastWindow is the newest window whose report was taken, by this daemon's view; 0: none.
	LastWindow int64
}

// States tells how this daemon stands to each duty.
func (s *Service) States() []State {
	if s.reports == nil {
		return nil
	}
	return []State{s.reports.state()}
}
