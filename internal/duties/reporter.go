package duties

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/follow"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/pause"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// UsageDuty names the duty in claims.
const UsageDuty = "duty/usage"

const (
	// turnLook is between two looks whose turn it is and what is due. Windows last seconds.
	turnLook = 250 * time.Millisecond
	// readTimeout bounds a read that brings the view up to date before a step.
	readTimeout = 800 * time.Millisecond
	// stepPause follows a step that failed: a claim that was refused, a call without an
	// answer. Reports have some seconds.
	stepPause = 400 * time.Millisecond
)

var (
	reportsSent   = metrics.Counter("usage_reports_sent")
	reportsFailed = metrics.Counter("usage_reports_failed")
	windowsFixed  = metrics.Counter("usage_windows_decided")
)

// reporter reports usage whenever it is this daemon's turn.
type reporter struct {
	options  Options
	follower *follow.Follower

	mu    sync.Mutex
	fold  *usage.Fold
	rank  int           // noCandidate: it isn't this daemon's turn
	since time.Duration // when the store's answers began without an interruption

	unanswered bool // the last call was; used by run alone
}

// noCandidate is the rank of a daemon that isn't one.
const noCandidate = -1

func newReporter(o Options) *reporter {
	r := &reporter{options: o, fold: usage.NewFold(), rank: noCandidate}
	always := func() bool { return true } // it is brought up to date before each step
	r.follower = follow.New(follow.Options{Log: o.Log, Topic: usageTopic, Part: usagePart, Sink: r, OnContact: r.contact, Relaxed: always, Now: o.Now, Logger: o.Logger})
	return r
}

// Reset is never called: the topic has no keys.
func (r *reporter) Reset([]store.Entry) {}

// Gap: what is lost was older than the log's retention, and so are its windows' reports.
func (r *reporter) Gap(int64) {}

// Record applies a record of the log.
func (r *reporter) Record(offset int64, data []byte) {
	record, err := usage.Decode(data)
	if err != nil {
		r.options.Logger.Error().Err(err).Int64("offset", offset).Msg("usage record skipped")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.Apply(record)
}

func (r *reporter) contact(bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = r.options.Now()
}

// run follows the log and does what is due while this daemon is a candidate.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.candidate() {
			pause.For(ctx, turnLook)
			continue
		}
		r.session(ctx)
	}
}

// candidate renews the rank and reports whether there is one.
func (r *reporter) candidate() bool {
	rank, ok := r.options.Turn()
	if !ok {
		rank = noCandidate
	}
	r.mu.Lock()
	changed := r.rank != rank
	r.rank = rank
	r.mu.Unlock()
	if changed {
		r.options.Logger.Info().Str("duty", UsageDuty).Int("rank", rank).Msg("turn for a duty changed")
	}
	return ok
}

// session reads the log from its oldest record and does what is due until this daemon is
// no candidate any more.
func (r *reporter) session(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	r.mu.Lock()
	r.fold = usage.NewFold()
	r.since = r.options.Now()
	r.mu.Unlock()
	r.follower.Restart()
	go func() {
		r.follower.Run(ctx)
		close(done)
	}()
	for ctx.Err() == nil && r.candidate() {
		pause.For(ctx, turnLook)
		if r.follower.Loaded() {
			r.act(ctx)
		}
	}
	cancel()
	<-done
}

// act does what is due now.
func (r *reporter) act(ctx context.Context) {
	r.begin()
	for ctx.Err() == nil {
		if _, idle := r.next(true).(usage.Wait); idle {
			return
		}
		if !r.catchUp(ctx) {
			return
		}
		if !r.do(ctx, r.next(r.follower.InContact())) {
			pause.For(ctx, stepPause)
			return
		}
	}
}

// begin has a fleet that starts for the first time report from the present window on.
func (r *reporter) begin() {
	now := r.options.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.Begin(r.options.Usage.Windows.Of(now))
	r.fold.Forget(r.options.Usage.Windows.Of(now.Add(-r.options.Usage.Keep())))
}

func (r *reporter) next(current bool) usage.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Next(*r.options.Usage, usage.Situation{
		Now: r.options.Clock(), Current: current, InContact: r.options.Now() - r.since, Rank: r.rank,
	})
}

// catchUp brings the view up to date: what another daemon decided or sent has to be known.
func (r *reporter) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := r.follower.CatchUp(ctx)
	if err != nil {
		r.options.Logger.Info().Str("duty", UsageDuty).Err(err).Msg("view not brought up to date, nothing is done")
	}
	return err == nil
}

// do carries a step out and reports whether it succeeded.
func (r *reporter) do(ctx context.Context, step usage.Step) bool {
	switch s := step.(type) {
	case usage.Decide:
		windowsFixed.Add(1)
		return r.append(ctx, usage.Record{Decided: &usage.Decided{Report: s.Report}}) && r.catchUp(ctx)
	case usage.Send:
		return r.send(ctx, s.Report) && r.append(ctx, usage.Record{Sent: &usage.Sent{Window: s.Report.Window}}) && r.catchUp(ctx)
	}
	return true // done by another daemon meanwhile
}

// append writes a record. One that stands twice counts once.
func (r *reporter) append(ctx context.Context, record usage.Record) bool {
	data, err := usage.Encode(record)
	if err != nil {
		r.options.Logger.Error().Err(err).Msg("usage record not encoded")
		return false
	}
	if _, err = store.AppendRepeatable(ctx, r.options.Log, usageTopic, usagePart, [][]byte{data}, 1); err != nil {
		r.options.Logger.Warn().Str("duty", UsageDuty).Err(err).Msg("usage record not appended")
	}
	return err == nil
}

// send claims the duty and sends a report under the claim.
func (r *reporter) send(ctx context.Context, report usage.WindowCounts) bool {
	if r.unanswered && !r.options.Platform.Reachable(ctx) {
		// The way to the platform may be cut for this daemon alone. Its claims would bar
		// those that could stand in.
		r.options.Logger.Info().Str("duty", UsageDuty).Int64("window", report.Window).Msg("platform not reached, duty left to others")
		return false
	}
	permit, err := r.options.Claims.Claim(ctx, UsageDuty)
	if err != nil {
		r.options.Logger.Info().Str("duty", UsageDuty).Int64("window", report.Window).Err(err).Msg("duty not claimed")
		return false
	}
	left := permit.Until - r.options.Now()
	if left <= 0 {
		r.options.Logger.Warn().Str("duty", UsageDuty).Int64("window", report.Window).Int64("fence", permit.Fence).Msg("claim too old for a call")
		return false
	}
	began := r.options.Now()
	outcome, err := r.options.Platform.ReportUsage(ctx, Call{Holder: r.options.VM, Fence: permit.Fence}, report)
	r.unanswered = outcome == Unknown
	line := r.options.Logger.Info()
	if outcome != Done {
		reportsFailed.Add(1)
		line = r.options.Logger.Warn().Err(err)
	} else {
		reportsSent.Add(1)
	}
	line.Str("duty", UsageDuty).Int64("window", report.Window).Int("customers", len(report.Counts)).Int("requests", total(report.Counts)).
		Int64("fence", permit.Fence).Str("outcome", outcome.String()).
		Dur("after_end", r.options.Clock().Sub(r.options.Usage.Windows.End(report.Window))).Dur("took", r.options.Now()-began).Msg("usage reported")
	return outcome == Done
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func (r *reporter) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := State{Duty: UsageDuty, Rank: r.rank}
	if last, ok := r.fold.LastSent(); ok {
		out.LastWindow = last
	}
	return out
}
