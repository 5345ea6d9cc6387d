package duties

import (
	"context"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/usage"
)

// UsageDuty is the name in claims of the duty to report usage.
const UsageDuty = "duty/usage"

var (
	reportsSent    = metrics.Counter("usage_reports_sent")
	reportsFailed  = metrics.Counter("usage_reports_failed")
	windowsDecided = metrics.Counter("usage_windows_decided")
)

// reporter performs the duty of reporting usage.
type reporter struct {
	options Options
	view    *view
	caller  *fencedCaller
}

// runDue decides and sends the reports that are due now.
func (r *reporter) runDue(ctx context.Context, rank int) {
	r.updateWindows()
	for ctx.Err() == nil {
		if _, wait := r.nextAction(rank, true).(usage.Wait); wait {
			return
		}
		if !r.view.catchUp(ctx) {
			return
		}
		if !r.perform(ctx, r.nextAction(rank, r.view.follower.InContact())) {
			r.caller.waitToRetry(ctx, UsageDuty, rank)
			return
		}
	}
}

// updateWindows drops old windows. In a fleet that starts for the first time, it makes the
// current window the first one that is reported.
func (r *reporter) updateWindows() {
	now := r.options.Clock()
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.endGapLocked(now) // needed if the log has no records after the missing ones
	r.view.usage.StartAt(r.options.Usage.Windows.IndexAt(now))
	r.view.usage.DropBefore(r.options.Usage.Windows.IndexAt(now.Add(-r.options.Usage.Retention())))
}

// nextAction returns what to do next. upToDate says that the log has been read to its end.
func (r *reporter) nextAction(rank int, upToDate bool) usage.Action {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.usage.NextAction(*r.options.Usage, usage.Conditions{
		Now: r.options.Clock(), UpToDate: upToDate, ContactDuration: r.options.Now() - r.view.inContactSince, Rank: rank,
	})
}

// perform performs an action and reports whether it succeeded.
func (r *reporter) perform(ctx context.Context, action usage.Action) bool {
	switch a := action.(type) {
	case usage.Decide:
		windowsDecided.Add(1)
		return r.appendRecord(ctx, usage.Record{Decided: &usage.Decided{Report: a.Report}})
	case usage.Send:
		return r.sendReport(ctx, a.Report) && r.appendRecord(ctx, usage.Record{Sent: &usage.Sent{Window: a.Report.Window}})
	}
	return true // another daemon has done it in the meantime
}

// appendRecord appends a record and reads it back.
func (r *reporter) appendRecord(ctx context.Context, record usage.Record) bool {
	return r.view.append(ctx, logRecord{Usage: &record}) && r.view.catchUp(ctx)
}

// sendReport sends a report and reports whether the platform accepted it.
func (r *reporter) sendReport(ctx context.Context, report usage.WindowCounts) bool {
	outcome, fence, made := r.caller.claimAndCall(ctx, UsageDuty, func(ctx context.Context, c Claim) (Outcome, error) {
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
	r.options.Logger.Info().Str("duty", UsageDuty).Int64("window", report.Window).Int("customers", len(report.Counts)).Int("requests", totalRequests(report.Counts)).
		Int64("fence", fence).Str("outcome", outcome.String()).Dur("after_end", r.options.Clock().Sub(r.options.Usage.Windows.End(report.Window))).Msg("usage reported")
	return outcome == Done
}

// totalRequests returns the sum of the counts.
func totalRequests(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
