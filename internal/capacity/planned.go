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
	// subset is how many upstreams a daemon uses, see routing.Subset.
	subset = 50.0
	// listBudget is what a daemon reads of the list a second, see platform.HTTPVMLister.
	listBudget = 2000.0
	// renewSeconds is between two renewals of a lease, see weightsync.Options.
	renewSeconds = 5.0
	// snapshotSeconds is a third of the log's retention of 24 h, see config.Retention.
	snapshotSeconds = 8 * 3600.0
	// timelineEvents is how many events a daemon keeps, see package app.
	timelineEvents = 65_536
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

func (l lines) of(series, quantity string, nth int) Line {
	for _, r := range l.rows {
		if r.Series != series || r.Name != quantity {
			continue
		}
		if nth > 0 {
			nth--
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

const wireBytes = "both ways with headers"

// control lists what a daemon spends on control at the planned size.
func control(l lines, polled, configured float64) []cost {
	peersCPU := l.of("peers, at work", "processor", 0).Slope
	peersBytes := l.of("peers, at work", wireBytes, 0)
	peersMB := l.of("peers, at work", "resident", 0).Slope
	pollCPU := l.of("upstreams, idle", "processor", 0).Slope
	pollBytes := l.of("upstreams, idle", wireBytes, 0).Slope
	pollMB := l.of("upstreams, idle", "resident", 0).Slope
	base := l.of("upstreams, idle", "processor", 0).Intercept
	baseMB := l.of("upstreams, idle", "resident", 0).Intercept
	logBytes := l.of("upstreams, idle", wireBytes, 1)
	change := l.of("change to the state, upstreams", "processor a change", 0)
	state := l.of("state of the configuration, upstreams", "retained", 0)
	events := l.of("events of the time line", "retained", 0).At(timelineEvents)
	perSecond := changesPerDay / daySeconds
	owned := upstreams / daemons
	leaseCPU := l.of("others' lease records a second", "processor", 0).Slope
	leaseBytes := l.of("others' lease records a second", wireBytes, 0).Slope
	renewals := daemons / renewSeconds
	list := daemons + upstreams
	read := 1e3 * l.of("VMs on the list", "bytes a read", 0).At(list)
	return []cost{
		{"process at rest, polls of log and weight store", fmt.Sprintf("intercepts at 0 upstreams: %s%%, %s B/s, %s MB", number(base), number(logBytes.Intercept), number(baseMB)),
			base, logBytes.Intercept, baseMB},
		{"peer exchange", fmt.Sprintf("%d links × (%s%%, %s B/s, %s MB) + %s B/s", links, number(peersCPU), number(peersBytes.Slope), number(peersMB), number(peersBytes.Intercept)),
			links * peersCPU, peersBytes.At(links), links * peersMB},
		{"load and health", fmt.Sprintf("%.0f upstreams polled × (%s%%, %s B/s); %.0f held × %s MB", polled, number(pollCPU), number(pollBytes), configured, number(pollMB)),
			polled * pollCPU, polled * pollBytes, configured * pollMB},
		{"holder of leases: own records", fmt.Sprintf("%s owned × %s B/s", number(owned), number(logBytes.Slope)), 0, owned * logBytes.Slope, 0},
		{"holder of leases: reading the fleet's", fmt.Sprintf("690 / 5 s = %s records a second of 17 × (%s%%, %s B/s)", number(renewals), number(leaseCPU), number(leaseBytes)),
			renewals * leaseCPU, renewals * leaseBytes, 0},
		{"reader of the configuration", fmt.Sprintf("%s a second × %s ms at 12,000 upstreams; state %s MB, twice while it changes", number(perSecond), number(change.At(upstreams)), number(state.At(upstreams))),
			perSecond * change.At(upstreams) / 10, 0, 2 * state.At(upstreams)},
		{"time line", "65,536 events", 0, 0, events},
		{"list of VMs", fmt.Sprintf("%s KB for %.0f lines, a read in %s s", number(read/1e3), list, number(read/listBudget)), 0, listBudget, 0},
	}
}

// shares lists what grows with a daemon's own work.
func shares(l lines) []cost {
	requests, chunks := requestsPerSec/daemons, tokensPerSec/daemons
	request, chunk := l.of("requests a second", "processor", 0).Slope, l.of("chunks a second", "processor", 0).Slope
	step := l.of("samples of a step", "processor", 0)
	stepMB := l.of("samples of a step", "resident", 0)
	ownClaim := l.of("own claims a second", "processor", 0).Slope
	foreignCPU := l.of("others' claim records a second", "processor", 0).Slope
	foreignBytes := l.of("others' claim records a second", wireBytes, 0).Slope
	keysMB := l.of("keys held", "retained", 0).At(keys)
	orders := 2 * upstreams / daemons / weightsSeconds
	snapshot := l.of("snapshot of the state, upstreams", "processor", 0).At(upstreams)
	snapshotMB := l.of("snapshot of the state, upstreams", "allocated", 0).At(upstreams)
	snapshotKB := l.of("state of the configuration, upstreams", "marshalled", 0).At(upstreams)
	perStep := step.Slope * stepSamples
	return []cost{
		{"entry for callers: requests (data path)", fmt.Sprintf("25,000 / 690 = %s a second × %s%%", number(requests), number(request)), requests * request, 0, 0},
		{"entry for callers: tokens (data path)", fmt.Sprintf("7.4 M / 690 = %s chunks a second × %s%%, one token a chunk", number(chunks), number(chunk)), chunks * chunk, 0, 0},
		{"owner of one step, 14 daemons of 690", fmt.Sprintf("16,384 samples × %s ms = %s s in 23 min; %s MB", number(step.Slope*1e3), number(perStep), number(stepMB.Slope*stepSamples)),
			100 * perStep / stepSeconds, 0, stepMB.Slope * stepSamples},
		{"at-most-once claims: one own keyed call a second", fmt.Sprintf("1 × %s%%", number(ownClaim)), ownClaim, 0, 0},
		{"at-most-once claims: reading the fleet's", fmt.Sprintf("200 records a second of 5 × (%s%%, %s B/s); 200,000 keys", number(foreignCPU), number(foreignBytes)),
			appendsPerSec * foreignCPU, appendsPerSec * foreignBytes, keysMB},
		{"holder of leases: orders", fmt.Sprintf("17.4 engines × load and switch / 660 s = %s a second, at a request's cost", number(orders)), orders * request, 0, 0},
		{"snapshot writer, a snapshot in 8 h", fmt.Sprintf("%s ms / 28,800 s; %s MB allocated, %s KB appended", number(snapshot), number(snapshotMB), number(snapshotKB)),
			snapshot / 1e3 / snapshotSeconds * 100, 0, snapshotMB},
	}
}

// Planned writes the arithmetic for the planned size.
func Planned(rows []Row) string {
	l := lines{rows}
	var b strings.Builder
	b.WriteString("Slopes are the means of the runs. Bytes are both ways, with 52 for a segment's header and 52 for its ACK.\n\n")
	costTable(&b, "Control, with a subset of 50 polled and the own data centre's 522 upstreams held", control(l, subset, upstreams/dataCentres))
	costTable(&b, "Control, all 12,000 upstreams polled and held, as without a subset", control(l, upstreams, upstreams))
	costTable(&b, byRole, shares(l))
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
