package capacity

import "fmt"

// control lists what every daemon spends on control at the planned size, when it
// polls so many upstreams, and so many daemons write their leases into its stream.
func (l lines) control(polled, holders float64) []cost {
	return []cost{
		l.rest(), l.peers(), l.load(polled), l.ownLeases(), l.othersLeases(holders), l.configuration(), l.timeline(), l.list(),
	}
}

func (l lines) rest() cost {
	cpu, mb, log := l.cpu("upstreams, idle").Intercept, l.resident("upstreams, idle").Intercept, l.of("upstreams, idle", wireOf(meterLog)).Intercept
	text := fmt.Sprintf("intercepts at 0 upstreams: %s%%, %s B/s, %s MB", number(cpu), number(log), number(mb))
	return cost{"process at rest, polls of the log", text, cpu, log, mb}
}

// peers takes the whole line for the bytes: few links are served at a faster pace.
func (l lines) peers() cost {
	const series = "peers, at work"
	cpu, mb, bytes := l.cpu(series).Slope, l.resident(series).Slope, l.of(series, wireOf(meterPeers))
	text := fmt.Sprintf("%d links × (%s%%, %s B/s, %s MB) + %s B/s", links, number(cpu), number(bytes.Slope), number(mb), number(bytes.Intercept))
	return cost{"peer exchange", text, links * cpu, bytes.At(links), links * mb}
}

func (l lines) load(polled float64) cost {
	const series = "upstreams, idle"
	cpu, mb, bytes := l.cpu(series).Slope, l.resident(series).Slope, l.of(series, wireOf(meterLoad)).Slope
	text := fmt.Sprintf("%s upstreams × (%s%%, %s B/s, %s MB)", number(polled), number(cpu), number(bytes), number(mb))
	return cost{"load and health", text, polled * cpu, polled * bytes, polled * mb}
}

func (l lines) ownLeases() cost {
	bytes := l.of("upstreams, idle", wireOf(meterLog)).Slope
	return cost{"holder of leases: own records", fmt.Sprintf("%s owned × %s B/s", number(owned), number(bytes)), 0, owned * bytes, 0}
}

func (l lines) othersLeases(holders float64) cost {
	const series = "others' lease records a second"
	cpu, bytes, rate := l.cpu(series).Slope, l.of(series, wireOf(meterLog)).Slope, holders/renewSeconds
	text := fmt.Sprintf("%.0f daemons / 5 s = %s records a second of 17 × (%s%%, %s B/s)", holders, number(rate), number(cpu), number(bytes))
	return cost{"holder of leases: reading the others'", text, rate * cpu, rate * bytes, 0}
}

func (l lines) configuration() cost {
	change := l.of("change to the state, upstreams", "processor a change").At(upstreams) // ms
	state, rate := l.of("state of the configuration, upstreams", "retained").At(upstreams), changesPerDay/daySeconds
	text := fmt.Sprintf("%s a second × %s ms at 12,000 upstreams; state %s MB, twice while it changes", number(rate), number(change), number(state))
	return cost{"reader of the configuration", text, rate * change / 10, 0, 2 * state}
}

func (l lines) timeline() cost {
	return cost{"time line", "16,384 events", 0, 0, l.of("events of the time line", "retained").At(timelineEvents)}
}

func (l lines) list() cost {
	const all = daemons + upstreams
	read := l.of("VMs on the list", "bytes a read").At(all) // KB
	text := fmt.Sprintf("%s KB for %.0f lines, a read in %s s", number(read), all, number(1e3*read/listBudget))
	return cost{"list of VMs", text, 0, listBudget, 0}
}
