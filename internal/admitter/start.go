package admitter

import (
	"slices"
	"time"
)

// startNext starts the next attempts that fit, by the weighted fair order of
// organisations. The caller has checked the group's grants.
func (m *Machine) startNext(now time.Duration) {
	m.expire(now)
	m.noteShares(now)
	for m.running < m.parallel && m.closed == "" {
		it := m.next(now)
		if it == nil {
			return
		}
		m.start(now, it)
	}
}

// next returns the first startable attempt of the organisation that is
// furthest behind its share.
func (m *Machine) next(now time.Duration) *item {
	var best *item
	var bestShare *share
	for _, s := range m.shares {
		if s.limit > 0 && s.running >= s.limit || m.reserved(s) {
			continue
		}
		it := m.firstStartable(s)
		if it == nil || m.keptForUrgent(now, s, it) {
			continue
		}
		if best == nil || s.virtual < bestShare.virtual || (s.virtual == bestShare.virtual && it.seq < best.seq) {
			best, bestShare = it, s
		}
	}
	return best
}

// noteShares sums the weights of the organisations that were active of late.
func (m *Machine) noteShares(now time.Duration) {
	m.weights = 0
	for _, s := range m.shares {
		if len(s.queue) > 0 || s.running > 0 {
			s.active = now + activeFor
		}
		if s.active > now {
			m.weights += s.weight
		}
	}
}

// within reports whether an organisation runs less than a multiple of its
// share; the shares of many organisations can be less than one place.
func (m *Machine) within(s *share) bool {
	return s.running*m.weights < shareMultiple*m.parallel*s.weight
}

// reserved reports whether the places that are still free are kept for
// organisations within their share, so that these need not wait for the end of
// another one's answer.
func (m *Machine) reserved(s *share) bool {
	return !m.within(s) && s.weight < m.weights && m.parallel-m.running <= m.parallel/reserveDivisor
}

// keptForUrgent reports whether the last free place is kept for an urgent
// attempt of the same organisation, which sent some of late. A group with few
// places keeps none.
func (m *Machine) keptForUrgent(now time.Duration, s *share, it *item) bool {
	return now < s.await && it.Priority == 0 && m.parallel-m.running <= 1 && m.parallel >= reserveDivisor
}

// firstStartable skips suspects while another suspect runs, so that a crash
// never has two suspects.
func (m *Machine) firstStartable(s *share) *item {
	i := slices.IndexFunc(s.queue, func(it *item) bool { return !it.Suspect || m.suspects == 0 })
	if i < 0 {
		return nil
	}
	return s.queue[i]
}

func (m *Machine) start(now time.Duration, it *item) {
	m.dequeue(it)
	s := m.share(it.Organisation)
	m.virtual = max(m.virtual, s.virtual)
	s.virtual += 1 / float64(max(1, s.weight))
	s.running++
	m.running++
	m.suspects += btoi(it.Suspect)
	it.state = Running
	it.started = now
	m.emit(StartEffect{ID: it.ID, Waited: now - it.since})
}

func (m *Machine) finish(now time.Duration, id string) {
	it, ok := m.items[id]
	if !ok || it.state != Running {
		return
	}
	m.stopRunning(now, it)
	took := now - it.started
	m.service += (took - m.service) / serviceSmoothing
}

func (m *Machine) stopRunning(now time.Duration, it *item) {
	it.state = Done
	m.running--
	m.share(it.Organisation).running--
	m.suspects -= btoi(it.Suspect)
	m.end(now, it)
}

// revoke makes certain that an attempt never starts, unless it has. An unknown
// attempt counts as not run only if it can not have been forgotten.
func (m *Machine) revoke(now time.Duration, id string, remembered bool) {
	it, ok := m.items[id]
	if !ok && !remembered {
		m.emit(RevokedEffect{ID: id, State: Unknown})
		return
	}
	if !ok {
		it = &item{Attempt: Attempt{ID: id}, state: Refused}
		m.items[id] = it
		m.end(now, it)
	}
	if it.state == Queued {
		m.dequeue(it)
		m.refuse(now, it, RefusedRevoked, "the attempt was revoked")
	}
	m.emit(RevokedEffect{ID: id, NotRun: it.state == Refused, State: it.state})
}

// close refuses all that waits and all that comes, until the next OpenMsg.
func (m *Machine) close(now time.Duration, reason string) {
	m.closed = reason
	for _, it := range m.waiting() {
		m.dequeue(it)
		m.refuse(now, it, reason, "the group takes no new work; try another group")
	}
}

// cut ends all that runs; the owner aborts the calls.
func (m *Machine) cut(now time.Duration) {
	var running []*item
	for _, it := range m.items {
		if it.state == Running {
			running = append(running, it)
		}
	}
	slices.SortFunc(running, func(a, b *item) int { return a.seq - b.seq })
	for _, it := range running {
		m.stopRunning(now, it)
		m.emit(AbortEffect{ID: it.ID})
	}
}

func (m *Machine) waiting() []*item {
	var list []*item
	for _, s := range m.shares {
		list = append(list, s.queue...)
	}
	slices.SortFunc(list, func(a, b *item) int { return a.seq - b.seq })
	return list
}

func (m *Machine) limits(msg LimitsMsg) {
	if msg.ConcurrencyLimit > 0 {
		m.parallel = msg.ConcurrencyLimit
	}
	for _, s := range m.shares {
		s.weight, s.limit = 1, 0
	}
	for _, o := range msg.Organisations {
		s := m.share(o.Name)
		s.weight = max(1, o.Weight)
		s.limit = o.ConcurrencyLimit
	}
	m.held = map[string]bool{}
	for _, fingerprint := range msg.HeldFingerprints {
		m.held[fingerprint] = true
	}
}

// expire refuses what waits past its deadline.
func (m *Machine) expire(now time.Duration) {
	for _, it := range m.waiting() {
		switch {
		case it.Deadline > 0 && now > it.Deadline:
			m.dequeue(it)
			m.refuse(now, it, RefusedDeadline, "the deadline passed before the start; retry with a later deadline")
		case m.held[it.Fingerprint]:
			m.dequeue(it)
			m.refuse(now, it, RefusedRequestHeld, "the request crashed replicas and is held; change it or ask an operator to lift the hold")
		}
	}
}

// tick expires waiting attempts and forgets ended ones past the retention.
func (m *Machine) tick(now time.Duration) {
	m.expire(now)
	n := 0
	for n < len(m.ended) && now-m.ended[n].since > m.options.retention {
		delete(m.items, m.ended[n].ID)
		m.emit(ForgetEffect{ID: m.ended[n].ID})
		n++
	}
	m.ended = m.ended[n:]
}
