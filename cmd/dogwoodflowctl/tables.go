package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// timeFormat is the format of event times, in UTC and with milliseconds, since events follow each
// other that closely.
const timeFormat = "2006-01-02T15:04:05.000Z"

func historyTable(t table, entries []config.HistoryEntry) {
	t.row("VERSION", "BRANCH", "AT", "AUTHOR", "CHANGE", "PATHS")
	for _, e := range entries {
		t.row(e.Version, e.Branch, e.At.UTC().Format(time.RFC3339), e.Author, e.ChangeID, displayPaths(e.Paths))
	}
}

// displayPaths formats the paths that a change set.
func displayPaths(paths []string) string {
	shown := make([]string, len(paths))
	for i, p := range paths {
		shown[i] = displayPath(config.Op{Path: p})
	}
	return strings.Join(shown, " ")
}

func jobTable(t table, j httpapi.JobView) {
	t.row("job", j.Name)
	t.row("team", j.Team)
	t.row("state", jobState(j))
	t.row("model", j.Model)
	t.row("scorer", j.Scorer)
	t.row("group size", j.GroupSize)
	t.row("max tokens", j.MaxTokens)
	t.row("staleness bound", formatBound(j))
	t.row("branch version", j.Version)
}

func jobsTable(t table, jobs []httpapi.JobView) {
	t.row("JOB", "STATE", "MODEL", "SCORER", "GROUP SIZE", "MAX TOKENS", "BOUND")
	for _, j := range jobs {
		t.row(j.Name, jobState(j), j.Model, j.Scorer, j.GroupSize, j.MaxTokens, j.Bound)
	}
}

func jobState(j httpapi.JobView) string {
	if j.Cancelled {
		return "cancelled"
	}
	return "open"
}

// formatBound formats a job's staleness bound and says where it is set.
func formatBound(j httpapi.JobView) string {
	source := "the model's"
	if j.StalenessBound != nil {
		source = "the job's own"
	}
	return fmt.Sprintf("%d (%s)", j.Bound, source)
}

func stepTable(t table, s rollouts.StatusResponse) {
	c := s.Counts
	t.row("job", s.Job)
	t.row("step", s.Step)
	t.row("model", s.Model)
	t.row("newest version", c.Newest)
	t.row("groups", fmt.Sprintf("%d of %d with the trainer, %d ready for it", c.HeldGroups, s.Groups, c.Deliverable))
	t.row("samples", fmt.Sprintf("%d waiting, %d generating, %d scoring, %d ready", c.Waiting, c.Generating, c.Scoring, c.Ready))
	t.row("attempts", fmt.Sprintf("%d, of them %d failed, %d dropped as stale", c.Tally.Attempts, c.Tally.Failures, c.Tally.Stale))
	t.row("failed groups", c.Tally.FailedGroups)
	t.row("cancelled", yesNo(c.Cancelled))
}

func stepsTable(t table, steps []peer.HeldStep) {
	t.row("JOB", "STEP", "DAEMON", "GROUPS", "WITH TRAINER", "READY", "WAITING", "GENERATING", "SCORING", "STALE", "NEWEST")
	for _, s := range steps {
		c := s.Counts
		t.row(s.Job, s.Step, s.VM, s.Groups, c.HeldGroups, c.Deliverable, c.Waiting, c.Generating, c.Scoring, c.Tally.Stale, c.Newest)
	}
}

// progressLine returns a line of "step watch".
func progressLine(s rollouts.StatusResponse) string {
	c := s.Counts
	percent := 100
	if s.Groups > 0 {
		percent = 100 * (c.HeldGroups + c.Deliverable) / s.Groups
	}
	return fmt.Sprintf("%s/%d  %3d%%  groups: %d of %d with the trainer, %d ready  samples: %d waiting, %d generating, %d scoring, %d ready  version %s",
		s.Job, s.Step, min(percent, 100), c.HeldGroups, s.Groups, c.Deliverable, c.Waiting, c.Generating, c.Scoring, c.Ready, c.Newest)
}

func upstreamsTable(t table, list []dispatch.Status) {
	t.row("GROUP", "UPSTREAM", "DATA CENTRE", "ADDRESS", "HEALTH", "WEIGHT", "IN FLIGHT", "LIMIT", "QUEUED IN GROUP", "SERVING")
	for _, u := range list {
		health := u.Health
		if u.Leaving {
			health += ", leaving"
		}
		t.row(u.Group, u.Name, u.DataCentre, u.Address, health, fmt.Sprintf("%.2f", u.Weight), u.InFlight, u.Limit, u.Queued, formatServing(u.Serving))
	}
}

// formatServing formats the weight versions by model.
func formatServing(serving map[ident.Model]ident.Version) string {
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(serving)) {
		parts = append(parts, fmt.Sprintf("%s=%s", model, serving[model]))
	}
	return strings.Join(parts, " ")
}

func daemonsTable(t table, list []peer.MemberStatus) {
	t.row("VM", "DATA CENTRE", "ADDRESS", "STATE", "CONNECTED", "CONFIG VERSION", "LOG READ TO")
	for _, d := range list {
		t.row(d.VM, d.DataCentre, d.Address, daemonState(d), formatConnected(d), d.Config.Version, d.Config.Through)
	}
}

func daemonState(d peer.MemberStatus) string {
	switch {
	case !d.Live && d.Reason != "":
		return "down: " + d.Reason
	case !d.Live:
		return "down"
	case d.Draining:
		return "draining"
	}
	return "live"
}

func formatConnected(d peer.MemberStatus) string {
	if d.Self {
		return "this one"
	}
	return yesNo(d.Connected)
}

func timelineTable(t table, events []timeline.Event) {
	t.row("TIME", "VM", "EVENT", "TEAM", "REQUEST", "JOB", "SAMPLE", "UPSTREAM", "VERSION", "DETAIL")
	for _, e := range events {
		t.row(e.HLC.Time().Format(timeFormat), e.VM, e.Kind, e.Team, e.Request, formatStep(e), e.Sample, e.Upstream, formatVersion(e.Version), e.Detail)
	}
}

// formatStep formats the step of an event as JOB/STEP, "" if the event has none.
func formatStep(e timeline.Event) string {
	if e.Job == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d", e.Job, e.Step)
}

func formatVersion(v ident.Version) string {
	if v == 0 {
		return ""
	}
	return v.String()
}

func loadTable(t table, daemons []daemonLoad) {
	t.row("DAEMON", "SERVICE", "ADMITTED", "CONTENDED", "QUEUE TIME", "RUN TIME", "SHARES FROM", "AGE", "DAEMONS", "WAITING", "OLDEST WAIT")
	for _, d := range daemons {
		for _, s := range d.Services {
			queueTime, runTime := "unknown", "unknown"
			if s.QueueTimeMS >= 0 {
				queueTime, runTime = formatMS(s.QueueTimeMS), formatMS(s.RunTimeMS)
			}
			age := "" // there is none while all calls are admitted
			if s.SourceAgeMS >= 0 {
				age = formatAge(s.SourceAgeMS)
			}
			oldestWait := ""
			if s.Waiting > 0 {
				oldestWait = formatMS(s.OldestWaitMS)
			}
			t.row(d.Daemon, s.Service, formatFraction(s.Admitted), yesNo(s.Contended), queueTime, runTime, s.Source, age, s.Daemons, s.Waiting, oldestWait)
		}
	}
	t.row("DAEMON", "SERVICE", "CUSTOMER", "LEVEL", "CALLS/S", "ADMITTED", "CALLS ADMITTED", "REFUSED: SHARE", "REFUSED: DEADLINE", "REFUSED: QUEUE")
	for _, d := range daemons {
		for _, s := range d.Services {
			for _, c := range s.Customers {
				level, rate, fraction := fmt.Sprint(c.Level), fmt.Sprintf("%.1f", c.Rate), formatFraction(c.Fraction)
				if c.Level == admission.NoLevel {
					level, rate, fraction = "", "0", ""
				}
				t.row(d.Daemon, s.Service, c.Customer, level, rate, fraction, c.Admitted, c.RefusedShare, c.RefusedDeadline, c.RefusedQueue)
			}
		}
	}
}

func formatMS(ms float64) string { return fmt.Sprintf("%.1fms", ms) }

func formatFraction(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
