package dispatcher

import "time"

// broken handles a connection that failed, closed early or went silent. Unless
// no byte left, the attempt may be running: first re-attach, then revoke.
func (m *Machine) broken(now time.Duration, msg BrokenMsg) {
	switch m.phase {
	case sending:
		if !msg.Sent {
			m.notRun(now, "unreachable", "the group's leader could not be reached")
			return
		}
		m.lostSince = now
		m.attach()
	case attaching:
		m.attachFailed(now, msg)
	}
}

func (m *Machine) attachFailed(now time.Duration, msg BrokenMsg) {
	if m.lostSince == 0 {
		m.lostSince = now
	}
	switch {
	case msg.Unknown:
		m.revoke()
	case now-m.lostSince < m.options.attachFor:
		m.attach()
	default:
		m.lost(now, "leader-unreachable", "the group's leader no longer answers")
	}
}

func (m *Machine) revoke() {
	m.phase = revoking
	m.emit(RevokeEffect{Target: m.target, Attempt: m.attempt})
}

// revoked goes on after the leader was asked that the attempt never starts.
func (m *Machine) revoked(now time.Duration, msg RevokedMsg) {
	if m.phase != revoking {
		return
	}
	switch {
	case msg.NotRun:
		m.notRun(now, "revoked", "the attempt was revoked before it started")
	case msg.Failed && now-m.lostSince < m.options.attachFor:
		m.attach()
	case !msg.Failed && msg.State == "running" && m.attaches < m.options.attaches:
		m.attach()
	default:
		m.lost(now, "leader-restarted", "the group's leader no longer knows the attempt")
	}
}
