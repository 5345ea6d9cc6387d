package health

import "time"

// faulted takes a failed attempt.
func (g *Group) faulted(m *member, kind FaultKind, now time.Time) []Action {
	switch kind {
	case Refused:
		return g.down(m, "refused", now)
	case Reset:
		return g.suspect(m, "reset", now)
	case Silent:
		m.silences++
		if m.silences > 1 {
			// A process that answers probes and no requests would be let in
			// again by every probe: hold it out longer each time.
			m.holdUntil = now.Add(g.options.HoldSilent << min(m.silences-2, 4))
		}
		return g.suspect(m, "silent", now)
	case Garbled:
		m.garbled++
		if m.garbled >= g.options.GarbledLimit {
			return g.suspect(m, "garbled answers", now)
		}
	}
	return nil
}

// suspect asks for a probe at once; settle decides whether it is kept out.
func (g *Group) suspect(m *member, cause string, now time.Time) []Action {
	probe := now
	if m.holdUntil.After(now) {
		probe = m.holdUntil
	}
	if m.state == Down || m.state == Suspect {
		return []Action{ProbeAt{m.name, probe}}
	}
	m.state = Suspect
	return []Action{m.changed(cause), ProbeAt{m.name, probe}}
}

// down takes hard evidence.
func (g *Group) down(m *member, cause string, now time.Time) []Action {
	if m.state == Down {
		return nil // the next probe is planned already
	}
	m.state = Down
	m.out = false
	m.probeWait = g.options.ProbeFirst
	return []Action{m.changed(cause), ProbeAt{m.name, now.Add(m.probeWait)}}
}

// probeFailed plans the next probe with backoff.
func (g *Group) probeFailed(m *member, refused bool, now time.Time) []Action {
	if m.state == Down {
		m.probeWait = min(m.probeWait*2, g.options.ProbeMax)
		return []Action{ProbeAt{m.name, now.Add(m.probeWait)}}
	}
	if refused {
		return g.down(m, "probe refused", now)
	}
	// One unanswered probe is suspicion; a suspect that fails one is down.
	if m.state == Suspect {
		return g.down(m, "probe unanswered", now)
	}
	return g.suspect(m, "probe unanswered", now)
}

// reported takes the answer to a probe.
func (g *Group) reported(m *member, e Reported, now time.Time) []Action {
	var acts []Action
	restarted := e.BootID != "" && m.bootID != "" && e.BootID != m.bootID
	if restarted {
		acts = append(acts, Died{m.name, m.bootID})
		m.restarted = now
	}
	if e.BootID != "" {
		m.bootID = e.BootID
	}
	acts = append(acts, g.reportedLeaving(m, e, now)...)
	return append(acts, g.reportedAlive(m, restarted, now)...)
}

// reportedLeaving ends leaving only for a process other than the one that left.
func (g *Group) reportedLeaving(m *member, e Reported, now time.Time) []Action {
	if e.Leaving {
		return g.saidLeaving(m, FromReport, now)
	}
	if !m.leaving {
		return nil
	}
	if m.leavingBoot == "" {
		m.leavingBoot = e.BootID // first report after another source said so
		return nil
	}
	if e.BootID == m.leavingBoot || e.BootID == "" {
		return nil
	}
	m.leaving, m.firstHand, m.leavingBoot = false, false, ""
	return []Action{m.changed("new process stays")}
}

func (g *Group) reportedAlive(m *member, restarted bool, now time.Time) []Action {
	switch {
	case m.state == Down, restarted:
		m.state = SlowStart
		m.slowSince = now
		m.out = false
		m.silences, m.garbled = 0, 0
		m.holdUntil = time.Time{}
		return []Action{m.changed("answers again")}
	case m.state == Suspect && !now.Before(m.holdUntil):
		m.state = Up
		m.out = false
		m.garbled = 0
		return []Action{m.changed("same process answers")}
	case m.state == Suspect:
		return []Action{ProbeAt{m.name, m.holdUntil}}
	}
	return nil
}

func (g *Group) saidLeaving(m *member, source Source, now time.Time) []Action {
	m.firstHand = m.firstHand || source != FromPeer
	if m.leaving {
		return nil
	}
	stale := !m.restarted.IsZero() && now.Sub(m.restarted) < g.options.PeerGrace
	if source == FromPeer && stale {
		// The peer still talks about the process before this one; held, it
		// would keep the new process out until its next restart.
		return nil
	}
	m.leaving = true
	m.leavingBoot = m.bootID
	return []Action{m.changed("leaving: " + string(source))}
}

// settle turns states into eligibility and weight and tells what changed.
func (g *Group) settle(now time.Time) []Action {
	g.chooseOut()
	var acts []Action
	for _, m := range g.members {
		acts = append(acts, g.climb(m, now)...)
		eligible := !m.leaving && m.state != Down && !m.out
		if eligible != m.eligible {
			m.eligible = eligible
			acts = append(acts, SetEligible{m.name, eligible})
		}
		if w := g.weightOf(m, now); w != m.weight {
			m.weight = w
			acts = append(acts, SetWeight{m.name, w})
		}
	}
	return acts
}

// chooseOut keeps suspects off new work up to the share. Who is out stays out.
func (g *Group) chooseOut() {
	room := int(g.options.SuspectShare * float64(len(g.members)))
	for _, m := range g.members {
		if m.state != Suspect {
			m.out = false
		}
		if m.out {
			room--
		}
	}
	for _, m := range g.members {
		if m.state == Suspect && !m.out && room > 0 {
			m.out = true
			room--
		}
	}
	for i := len(g.members) - 1; i >= 0 && room < 0; i-- { // the group shrank
		if g.members[i].out {
			g.members[i].out = false
			room++
		}
	}
}

func (g *Group) climb(m *member, now time.Time) []Action {
	if m.state != SlowStart || now.Sub(m.slowSince) < g.options.SlowStart {
		return nil
	}
	m.state = Up
	return []Action{m.changed("slow start done")}
}

// weightSteps quantises a climbing weight, so that not every tick is an action.
const weightSteps = 20

func (g *Group) weightOf(m *member, now time.Time) float64 {
	switch m.state {
	case Down:
		return 0
	case Suspect:
		return g.options.SuspectLoad
	case SlowStart:
		share := float64(now.Sub(m.slowSince)) / float64(g.options.SlowStart)
		w := g.options.StartWeight + (1-g.options.StartWeight)*min(max(share, 0), 1)
		return float64(int(w*weightSteps)) / weightSteps
	}
	return 1
}

func (m *member) changed(cause string) Changed {
	return Changed{Upstream: m.name, State: m.state, Leaving: m.leaving, Cause: cause}
}
