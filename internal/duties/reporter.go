package duties

import (
	"context"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// UsageDuty names the duty in claims.
const UsageDuty = "duty/usage"

var (
	reportsSent   = metrics.Counter("usage_reports_sent")
	reportsFailed = metrics.Counter("usage_reports_failed")
	windowsFixed  = metrics.Counter("usage_windows_decided")
)

// reporter reports usage.
type reporter struct {
	options Options
	view    *view
	caller  *caller
}

// act does what is due now.
func (r *reporter) act(ctx context.Context, rank int) {
	r.begin()
	for ctx.Err() == nil {
		if _, idle := r.next(rank, true).(usage.Wait); idle {
			return
		}
		if !r.view.catchUp(ctx) {
			return
		}
		if !r.do(ctx, r.next(rank, r.view.follower.InContact())) {
			r.caller.rest(ctx, UsageDuty, rank)
			return
		}
	}
}

// begin has a fleet that starts for the first time report from the present window on.
func (r *reporter) begin() {
	now := r.options.Clock()
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.startLocked(now) // no record is left behind a gap
	r.view.usage.StartAt(r.options.Usage.Windows.IndexAt(now))
	r.view.usage.DropBefore(r.options.Usage.Windows.IndexAt(now.Add(-r.options.Usage.Retention())))
}

func (r *reporter) next(rank int, current bool) usage.Action {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.usage.NextAction(*r.options.Usage, usage.Conditions{
		Now: r.options.Clock(), UpToDate: current, ContactDuration: r.options.Now() - r.view.since, Rank: rank,
	})
}

// do carries a step out and reports whether it succeeded.
func (r *reporter) do(ctx context.Context, step usage.Action) bool {
	switch s := step.(type) {
	case usage.Decide:
		windowsFixed.Add(1)
		return r.record(ctx, usage.Record{Decided: &usage.Decided{Report: s.Report}})
	case usage.Send:
		return r.send(ctx, s.Report) && r.record(ctx, usage.Record{Sent: &usage.Sent{Window: s.Report.Window}})
	}
	return true // done by another daemon meanwhile
}

func (r *reporter) record(ctx context.Context, record usage.Record) bool {
	return r.view.append(ctx, entry{Usage: &record}) && r.view.catchUp(ctx)
}

func (r *reporter) send(ctx context.Context, report usage.WindowCounts) bool {
	outcome, fence, made := r.caller.do(ctx, UsageDuty, func(ctx context.Context, c Call) (Outcome, error) {
		return r.options.Platform.ReportUsage(ctx, c, report)
	})
	if !made {
		return false
	}
	if outcome == Done {
		reportsSent.Add(1)
	} else {
		reportsFailed.Add(1)
	}
	r.options.Logger.Info().Str("duty", UsageDuty).Int64("window", report.Window).Int("customers", len(report.Counts)).Int("requests", total(report.Counts)).
		Int64("fence", fence).Str("outcome", outcome.String()).Dur("after_end", r.options.Clock().Sub(r.options.Usage.Windows.End(report.Window))).Msg("usage reported")
	return outcome == Done
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
