package health

import "time"

// handleFault handles a failed attempt.
func (g *Group) handleFault(m *member, kind FaultKind, now time.Time) []Action {
	switch kind {
	case Refused:
		return g.markDown(m, "refused", now)
	case Reset:
		return g.markSuspect(m, "reset", now)
	case Silent:
		m.silentFaults++
		if m.silentFaults > 1 {
			// Every probe would end the suspicion of a process that answers probes but
			// no requests, so the time before a probe can do so grows with each fault.
			m.holdUntil = now.Add(g.options.SilentHold << min(m.silentFaults-2, 4))
		}
		return g.markSuspect(m, "silent", now)
	case Malformed:
		m.malformedFaults++
		if m.malformedFaults >= g.options.MalformedLimit {
			return g.markSuspect(m, "garbled answers", now)
		}
	}
	return nil
}

// markSuspect makes the upstream a suspect and asks for a probe, at once or at the end of a
// hold after silent faults. chooseExcluded decides whether the suspect gets new work until
// then.
func (g *Group) markSuspect(m *member, cause string, now time.Time) []Action {
	probeAt := now
	if m.holdUntil.After(now) {
		probeAt = m.holdUntil
	}
	if m.state == Down || m.state == Suspect {
		return []Action{ProbeAt{m.name, probeAt}}
	}
	m.state = Suspect
	return []Action{m.changedAction(cause), ProbeAt{m.name, probeAt}}
}

// markDown records hard evidence that nothing listens or answers.
func (g *Group) markDown(m *member, cause string, now time.Time) []Action {
	if m.state == Down {
		return nil // the next probe is planned already
	}
	m.state = Down
	m.excluded = false
	m.probeDelay = g.options.MinProbeDelay
	return []Action{m.changedAction(cause), ProbeAt{m.name, now.Add(m.probeDelay)}}
}

// handleProbeFailure handles a failed probe. While the upstream is down, the delay of the
// next probe doubles.
func (g *Group) handleProbeFailure(m *member, refused bool, now time.Time) []Action {
	if m.state == Down {
		m.probeDelay = min(m.probeDelay*2, g.options.MaxProbeDelay)
		return []Action{ProbeAt{m.name, now.Add(m.probeDelay)}}
	}
	if refused {
		return g.markDown(m, "probe refused", now)
	}
	// One unanswered probe makes a suspect; a suspect with an unanswered probe is down.
	if m.state == Suspect {
		return g.markDown(m, "probe unanswered", now)
	}
	return g.markSuspect(m, "probe unanswered", now)
}

// handleReport handles the answer to a probe.
func (g *Group) handleReport(m *member, e Reported, now time.Time) []Action {
	var actions []Action
	restarted := e.BootID != "" && m.bootID != "" && e.BootID != m.bootID
	if restarted {
		actions = append(actions, Died{m.name, m.bootID})
		m.restartedAt = now
	}
	if e.BootID != "" {
		m.bootID = e.BootID
	}
	actions = append(actions, g.updateLeaving(m, e, now)...)
	return append(actions, g.markAlive(m, restarted, now)...)
}

// updateLeaving takes from a report whether the upstream is leaving. A report that it isn't
// counts only if it is of another process than the one that was leaving.
func (g *Group) updateLeaving(m *member, e Reported, now time.Time) []Action {
	if e.Leaving {
		return g.markLeaving(m, FromReport, now)
	}
	if !m.leaving {
		return nil
	}
	if m.leavingBootID == "" {
		m.leavingBootID = e.BootID // unknown until now: another source said that it leaves
		return nil
	}
	if e.BootID == m.leavingBootID || e.BootID == "" {
		return nil
	}
	m.leaving, m.leavingFirstHand, m.leavingBootID = false, false, ""
	return []Action{m.changedAction("new process stays")}
}

// markAlive handles the evidence of a report that a process is alive.
func (g *Group) markAlive(m *member, restarted bool, now time.Time) []Action {
	switch {
	case m.state == Down, restarted:
		m.state = SlowStart
		m.slowStartSince = now
		m.excluded = false
		m.silentFaults, m.malformedFaults = 0, 0
		m.holdUntil = time.Time{}
		return []Action{m.changedAction("answers again")}
	case m.state == Suspect && !now.Before(m.holdUntil):
		m.state = Up
		m.excluded = false
		m.malformedFaults = 0
		return []Action{m.changedAction("same process answers")}
	case m.state == Suspect:
		return []Action{ProbeAt{m.name, m.holdUntil}}
	}
	return nil
}

// markLeaving records that a source says that the upstream is leaving.
func (g *Group) markLeaving(m *member, source Source, now time.Time) []Action {
	m.leavingFirstHand = m.leavingFirstHand || source != FromPeer
	if m.leaving {
		return nil
	}
	recentlyRestarted := !m.restartedAt.IsZero() && now.Sub(m.restartedAt) < g.options.StalePeerWindow
	if source == FromPeer && recentlyRestarted {
		// The peer probably means the previous process. If it were believed, the new
		// process would get no work until its next restart.
		return nil
	}
	m.leaving = true
	m.leavingBootID = m.bootID
	return []Action{m.changedAction("leaving: " + string(source))}
}

// updateEligibility derives eligibility and weight of all upstreams from their states and returns
// what changed.
func (g *Group) updateEligibility(now time.Time) []Action {
	g.chooseExcluded()
	var actions []Action
	for _, m := range g.members {
		actions = append(actions, g.endSlowStart(m, now)...)
		eligible := !m.leaving && m.state != Down && !m.excluded
		if eligible != m.eligible {
			m.eligible = eligible
			actions = append(actions, SetEligible{m.name, eligible})
		}
		if w := g.weightOf(m, now); w != m.weight {
			m.weight = w
			actions = append(actions, SetWeight{m.name, w})
		}
	}
	return actions
}

// chooseExcluded chooses the suspects that get no new work, at most MaxSuspectShare of the
// group. Suspects that are excluded already stay excluded.
func (g *Group) chooseExcluded() {
	allowed := int(g.options.MaxSuspectShare * float64(len(g.members)))
	for _, m := range g.members {
		if m.state != Suspect {
			m.excluded = false
		}
		if m.excluded {
			allowed--
		}
	}
	for _, m := range g.members {
		if m.state == Suspect && !m.excluded && allowed > 0 {
			m.excluded = true
			allowed--
		}
	}
	for i := len(g.members) - 1; i >= 0 && allowed < 0; i-- { // the group shrank
		if g.members[i].excluded {
			g.members[i].excluded = false
			allowed++
		}
	}
}

// endSlowStart returns an upstream to Up when its slow start is over.
func (g *Group) endSlowStart(m *member, now time.Time) []Action {
	if m.state != SlowStart || now.Sub(m.slowStartSince) < g.options.SlowStart {
		return nil
	}
	m.state = Up
	return []Action{m.changedAction("slow start done")}
}

// weightSteps: during a slow start a weight is rounded down to a multiple of 1/weightSteps,
// so that not every tick results in an action.
const weightSteps = 20

func (g *Group) weightOf(m *member, now time.Time) float64 {
	switch m.state {
	case Down:
		return 0
	case Suspect:
		return g.options.SuspectWeight
	case SlowStart:
		progress := float64(now.Sub(m.slowStartSince)) / float64(g.options.SlowStart)
		w := g.options.InitialWeight + (1-g.options.InitialWeight)*min(max(progress, 0), 1)
		return float64(int(w*weightSteps)) / weightSteps
	}
	return 1
}

// changedAction returns the action that tells of a change of the member's state.
func (m *member) changedAction(cause string) Changed {
	return Changed{Upstream: m.name, State: m.state, Leaving: m.leaving, Cause: cause}
}
