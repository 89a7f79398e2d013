package admitter

import (
	"slices"
	"time"
)

// startNext starts queued attempts up to the concurrency limit, in weighted fair
// order of their organisations. The caller has checked the group's grants.
func (m *Machine) startNext(now time.Duration) {
	m.refuseIneligible(now)
	m.updateActiveWeight(now)
	for m.running < m.concurrencyLimit && m.closeReason == "" {
		rec := m.next(now)
		if rec == nil {
			return
		}
		m.start(now, rec)
	}
}

// next returns the first startable attempt of the organisation with the lowest
// virtual time, or nil if none may start.
func (m *Machine) next(now time.Duration) *record {
	var best *record
	var bestOrg *orgState
	for _, org := range m.orgs {
		if org.limit > 0 && org.running >= org.limit || m.reservedForOthers(org) {
			continue
		}
		rec := m.firstStartable(org)
		if rec == nil || m.reservedForUrgent(now, org, rec) {
			continue
		}
		if best == nil || org.VirtualTime() < bestOrg.VirtualTime() || (org.VirtualTime() == bestOrg.VirtualTime() && rec.seq < best.seq) {
			best, bestOrg = rec, org
		}
	}
	return best
}

// updateActiveWeight sums the weights of the organisations that had queued or
// running attempts within activityWindow.
func (m *Machine) updateActiveWeight(now time.Duration) {
	m.activeWeight = 0
	for _, org := range m.orgs {
		if len(org.queue) > 0 || org.running > 0 {
			org.activeUntil = now + activityWindow
		}
		if org.activeUntil > now {
			m.activeWeight += org.Weight
		}
	}
}

// withinShare reports whether an organisation runs fewer attempts than
// fairShareMultiple times its fair share. The multiple is needed because with many
// organisations a fair share can be less than one running attempt.
func (m *Machine) withinShare(org *orgState) bool {
	return org.running*m.activeWeight < fairShareMultiple*m.concurrencyLimit*org.Weight
}

// reservedForOthers reports whether the remaining capacity is reserved for
// organisations within their share, so that these need not wait until a response
// to another organisation ends.
func (m *Machine) reservedForOthers(org *orgState) bool {
	return !m.withinShare(org) && org.Weight < m.activeWeight && m.concurrencyLimit-m.running <= m.concurrencyLimit/reserveDivisor
}

// reservedForUrgent reports whether the last unit of concurrency is reserved for an
// urgent attempt of the same organisation, which sent one within activityWindow.
// A group with a concurrency limit below reserveDivisor reserves nothing.
func (m *Machine) reservedForUrgent(now time.Duration, org *orgState, rec *record) bool {
	return now < org.urgentUntil && rec.Priority == 0 && m.concurrencyLimit-m.running <= 1 && m.concurrencyLimit >= reserveDivisor
}

// firstStartable returns the first queued attempt that may start, or nil. It skips
// suspects while another one runs, so that a crash can be attributed to one suspect.
func (m *Machine) firstStartable(org *orgState) *record {
	i := slices.IndexFunc(org.queue, func(rec *record) bool { return !rec.Suspect || m.runningSuspects == 0 })
	if i < 0 {
		return nil
	}
	return org.queue[i]
}

// start moves an attempt from the queue to the running ones and charges its
// organisation for the start.
func (m *Machine) start(now time.Duration, rec *record) {
	m.dequeue(rec)
	org := m.org(rec.Organisation)
	m.clock.Start(&org.Account, 1)
	org.running++
	m.running++
	m.runningSuspects += boolToInt(rec.Suspect)
	rec.state = Running
	rec.startedAt = now
	m.emit(StartEffect{ID: rec.ID, Waited: now - rec.stateSince})
}

// finish ends a running attempt and updates the moving average of the service time.
func (m *Machine) finish(now time.Duration, id string) {
	rec, ok := m.records[id]
	if !ok || rec.state != Running {
		return
	}
	m.stopRunning(now, rec)
	elapsed := now - rec.startedAt
	m.serviceTime += (elapsed - m.serviceTime) / serviceTimeSmoothing
}

// stopRunning marks a running attempt as done and releases its capacity.
func (m *Machine) stopRunning(now time.Duration, rec *record) {
	rec.state = Done
	m.running--
	m.org(rec.Organisation).running--
	m.runningSuspects -= boolToInt(rec.Suspect)
	m.recordEnd(now, rec)
}

// revoke prevents an attempt from starting if it has not started yet. An unknown
// attempt is reported as not run only if its record cannot have been evicted.
func (m *Machine) revoke(now time.Duration, id string, withinRetention bool) {
	rec, ok := m.records[id]
	if !ok && !withinRetention {
		m.emit(RevokedEffect{ID: id, State: Unknown})
		return
	}
	if !ok {
		rec = &record{Attempt: Attempt{ID: id}, state: Refused}
		m.records[id] = rec
		m.recordEnd(now, rec)
	}
	if rec.state == Queued {
		m.dequeue(rec)
		m.refuse(now, rec, RefusedRevoked, "the attempt was revoked")
	}
	m.emit(RevokedEffect{ID: id, NotRun: rec.state == Refused, State: rec.state})
}

// close refuses the queued and all new attempts until the next OpenMsg.
func (m *Machine) close(now time.Duration, reason string) {
	m.closeReason = reason
	for _, rec := range m.queuedRecords() {
		m.dequeue(rec)
		m.refuse(now, rec, reason, "the group takes no new work; try another group")
	}
}

// abortAll ends all running attempts; the caller of Update cancels their calls.
func (m *Machine) abortAll(now time.Duration) {
	var running []*record
	for _, rec := range m.records {
		if rec.state == Running {
			running = append(running, rec)
		}
	}
	slices.SortFunc(running, func(a, b *record) int { return a.seq - b.seq })
	for _, rec := range running {
		m.stopRunning(now, rec)
		m.emit(AbortEffect{ID: rec.ID})
	}
}

// queuedRecords returns the queued attempts of all organisations by arrival.
func (m *Machine) queuedRecords() []*record {
	var list []*record
	for _, org := range m.orgs {
		list = append(list, org.queue...)
	}
	slices.SortFunc(list, func(a, b *record) int { return a.seq - b.seq })
	return list
}

// applyLimits replaces the weights and limits of all organisations and the held
// fingerprints. A concurrency limit of 0 leaves the one of the group unchanged.
func (m *Machine) applyLimits(msg LimitsMsg) {
	if msg.ConcurrencyLimit > 0 {
		m.concurrencyLimit = msg.ConcurrencyLimit
	}
	for _, org := range m.orgs {
		org.Weight, org.limit = 1, 0
	}
	for _, o := range msg.Organisations {
		org := m.org(o.Name)
		org.Weight = max(1, o.Weight)
		org.limit = o.ConcurrencyLimit
	}
	m.heldFingerprints = map[string]bool{}
	for _, fingerprint := range msg.HeldFingerprints {
		m.heldFingerprints[fingerprint] = true
	}
}

// refuseIneligible refuses queued attempts whose deadline has passed or whose
// fingerprint is held.
func (m *Machine) refuseIneligible(now time.Duration) {
	for _, rec := range m.queuedRecords() {
		switch {
		case rec.Deadline > 0 && now > rec.Deadline:
			m.dequeue(rec)
			m.refuse(now, rec, RefusedDeadline, "the deadline passed before the start; retry with a later deadline")
		case m.heldFingerprints[rec.Fingerprint]:
			m.dequeue(rec)
			m.refuse(now, rec, RefusedRequestHeld, "the request crashed replicas and is held; change it or ask an operator to lift the hold")
		}
	}
}

// tick refuses ineligible queued attempts and evicts the records of ended attempts
// after the retention time.
func (m *Machine) tick(now time.Duration) {
	m.refuseIneligible(now)
	n := 0
	for n < len(m.ended) && now-m.ended[n].stateSince > m.options.retention {
		delete(m.records, m.ended[n].ID)
		m.emit(EvictEffect{ID: m.ended[n].ID})
		n++
	}
	m.ended = m.ended[n:]
}
