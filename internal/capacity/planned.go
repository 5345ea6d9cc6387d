package capacity

import (
	"fmt"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/membership"
)

// The planned size, from the users' letter.
const (
	daemons        = 690.0
	upstreams      = 12_000.0
	dataCentres    = 23.0
	requestsPerSec = 25_000.0
	tokensPerSec   = 7_400_000.0
	stepSamples    = 16_384.0
	stepSeconds    = 23 * 60.0
	weightsSeconds = 11 * 60.0
	changesPerDay  = 7_600.0
	daySeconds     = 86_400.0
)

// What a daemon's share of it is.
const (
	// links: a daemon picks so many and is picked by as many, see membership.Targets.
	links = 2 * (membership.DefaultNearPicks + membership.DefaultFarCap)
	// subset is how many upstreams of a large group a daemon uses, see routing.Subset.
	// Those it gives orders to are polled too.
	subset = 50.0
	owned  = upstreams / daemons
	// listBudget is what a daemon reads of the list a second, see platform.HTTPVMLister.
	listBudget = 2000.0
	// renewSeconds is between two renewals of a lease, see weightsync.Options.
	renewSeconds = 5.0
	// snapshotSeconds is a third of the log's retention of 24 h, see config.Retention.
	snapshotSeconds = 8 * 3600.0
	// timelineEvents is how many events a daemon keeps, see package app.
	timelineEvents = 16_384
	// keys is how many idempotency keys a daemon holds at most, see keyed.Options.
	keys = 200_000.0
	// appendsPerSec is the log's budget for claims, see keyed.Options.
	appendsPerSec = 200.0
)

// The bounds of the letter for control.
const (
	boundCPU   = 2.9 // % of a core
	boundMB    = 64.0
	boundBytes = 5000.0 // a second
)

// cost is one line of the arithmetic.
type cost struct {
	what       string
	arithmetic string
	cpu        float64 // % of a core
	bytes      float64 // a second, both ways with headers
	megabytes  float64
}

// lines looks fitted lines up; the mean of the runs stands for both.
type lines struct{ rows []Row }

// of returns the line of a quantity, flat at 0 when it wasn't measured.
func (l lines) of(series, quantity string) Line {
	for _, r := range l.rows {
		if r.Series != series || r.Name != quantity {
			continue
		}
		var sum Line
		for _, each := range r.Lines {
			sum.Slope += each.Slope / float64(len(r.Lines))
			sum.Intercept += each.Intercept / float64(len(r.Lines))
		}
		return sum
	}
	return Line{}
}

func (l lines) cpu(series string) Line      { return l.of(series, cpuQuantity.Name) }
func (l lines) resident(series string) Line { return l.of(series, rssQuantity.Name) }

// Planned writes the arithmetic for the planned size.
func Planned(rows []Row) string {
	l := lines{rows}
	var b strings.Builder
	b.WriteString("Slopes are the means of the runs. Bytes are both ways, with 52 for a segment's header and 52 for its ACK.\n\n")
	costTable(&b, "Control", l.control(subset+owned, daemons/dataCentres))
	costTable(&b, "For comparison, as it was: all 12,000 upstreams polled, leases of all daemons in one stream", l.control(upstreams, daemons))
	costTable(&b, byRole, l.roles())
	return b.String()
}

// byRole is the table of what isn't summed up.
const byRole = "By role, beside the above"

func costTable(b *strings.Builder, title string, costs []cost) {
	fmt.Fprintf(b, "**%s**\n\n| what | arithmetic | %% of a core | B/s | MB |\n|---|---|---|---|---|\n", title)
	var sum cost
	for _, c := range costs {
		costLine(b, c)
		sum.cpu, sum.bytes, sum.megabytes = sum.cpu+c.cpu, sum.bytes+c.bytes, sum.megabytes+c.megabytes
	}
	if title == byRole {
		b.WriteString("\n")
		return // one daemon hardly plays all roles
	}
	sum.what, sum.arithmetic = "sum", fmt.Sprintf("bounds: %s, %s, %s", number(boundCPU), number(boundBytes), number(boundMB))
	costLine(b, sum)
	b.WriteString("\n")
}

func costLine(b *strings.Builder, c cost) {
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", c.what, c.arithmetic, number(c.cpu), number(c.bytes), number(c.megabytes))
}
