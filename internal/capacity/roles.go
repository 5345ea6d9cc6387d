package capacity

import "fmt"

// roles lists what grows with a daemon's own work, and the roles that some play.
func (l lines) roles() []cost {
	return []cost{
		l.requests(), l.tokens(), l.step(), l.ownClaim(), l.othersClaims(), l.orders(), l.snapshots(),
	}
}

func (l lines) requests() cost {
	rate, cpu := requestsPerSec/daemons, l.cpu("requests a second").Slope
	text := fmt.Sprintf("25,000 / 690 = %s a second × %s%%", number(rate), number(cpu))
	return cost{"entry for callers: requests (data path)", text, rate * cpu, 0, 0}
}

func (l lines) tokens() cost {
	rate, cpu := tokensPerSec/daemons, l.cpu("chunks a second").Slope
	text := fmt.Sprintf("7.4 M / 690 = %s chunks a second × %s%%, one token a chunk", number(rate), number(cpu))
	return cost{"entry for callers: tokens (data path)", text, rate * cpu, 0, 0}
}

func (l lines) step() cost {
	sample, mb := l.cpu("samples of a step").Slope, l.resident("samples of a step").Slope*stepSamples // s, MB
	text := fmt.Sprintf("16,384 samples × %s ms = %s s in 23 min; %s MB", number(1e3*sample), number(sample*stepSamples), number(mb))
	return cost{"owner of one step, 14 daemons of 690", text, 100 * sample * stepSamples / stepSeconds, 0, mb}
}

func (l lines) ownClaim() cost {
	cpu := l.cpu("own claims a second").Slope
	return cost{"at-most-once claims: one own keyed call a second", fmt.Sprintf("1 × %s%%", number(cpu)), cpu, 0, 0}
}

func (l lines) othersClaims() cost {
	const series = "others' claim records a second"
	cpu, bytes, mb := l.cpu(series).Slope, l.of(series, wireOf(meterLog)).Slope, l.of("keys held", "retained").At(keys)
	text := fmt.Sprintf("200 records a second of 5 × (%s%%, %s B/s); 200,000 keys", number(cpu), number(bytes))
	return cost{"at-most-once claims: reading the fleet's", text, appendsPerSec * cpu, appendsPerSec * bytes, mb}
}

func (l lines) orders() cost {
	rate, cpu := 2*upstreams/daemons/weightsSeconds, l.cpu("requests a second").Slope
	text := fmt.Sprintf("17.4 engines × load and switch / 660 s = %s a second, at a request's cost", number(rate))
	return cost{"holder of leases: orders", text, rate * cpu, 0, 0}
}

func (l lines) snapshots() cost {
	const series = "snapshot of the state, upstreams"
	ms, mb := l.of(series, "processor").At(upstreams), l.of(series, "allocated").At(upstreams)
	kb := l.of("state of the configuration, upstreams", "marshalled").At(upstreams)
	text := fmt.Sprintf("%s ms / 28,800 s; %s MB allocated, %s KB appended", number(ms), number(mb), number(kb))
	return cost{"snapshot writer, a snapshot in 8 h", text, ms / 10 / snapshotSeconds, 0, mb}
}
