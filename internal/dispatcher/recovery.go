package dispatcher

import (
	"time"

	"papayaseam/internal/granter"
)

// Kinds of ends that tell of a leader which can not be reached.
const (
	KindUnreachable       = "unreachable"
	KindLeaderUnreachable = "leader-unreachable"
	KindLeaderGone        = "leader-gone"
)

const kindLeaderRestarted = "leader-restarted"

// broken handles a connection that failed, closed early or went silent. Unless
// no byte left, the attempt may be running: first re-attach, then revoke.
func (m *Machine) broken(now time.Duration, msg ConnectionLostMsg) {
	switch m.phase {
	case sending:
		if !msg.Sent {
			m.neverSent(now)
			return
		}
		m.lostSince = now
		m.attach()
	case attaching:
		m.attachFailed(now, msg)
	}
}

// neverSent goes on after an attempt of which no byte left. The first one at a
// group replaces a try that did not happen, so that it needs no retry budget.
func (m *Machine) neverSent(now time.Duration) {
	m.free = !m.excluded[m.target.Group]
	m.notRun(now, KindUnreachable, "the group's leader could not be reached")
}

func (m *Machine) attachFailed(now time.Duration, msg ConnectionLostMsg) {
	if m.lostSince == 0 {
		m.lostSince = now
	}
	switch {
	case msg.AttemptUnknown:
		m.revoke()
	case msg.ConnectionRefused && m.mayRunAgain():
		m.lost(now, KindLeaderGone, "the process of the group's leader is gone")
	case now-m.lostSince < m.options.attachFor:
		m.attach()
	default:
		m.lost(now, KindLeaderUnreachable, "the group's leader no longer answers")
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
		m.lost(now, kindLeaderRestarted, "the group's leader no longer knows the attempt")
	}
}

// mayRunAgain reports whether the request may be run elsewhere although an
// attempt of it may have run.
func (m *Machine) mayRunAgain() bool {
	return m.request.Repeatable && m.request.IdempotencyKey == "" && !m.foreign
}

// lost goes on after an attempt that may have run: elsewhere for repeatable
// requests, else with the verdict. Replacing an attempt that a leader had taken,
// or whose leader is gone, needs no retry budget: there is one for each group
// that dies under it, so that it can not swell.
func (m *Machine) lost(now time.Duration, kind, message string) {
	m.mayHave = true
	m.lastKind, m.lastText = kind, message
	if groupEnded(kind) && !m.foreign {
		m.emit(ReportRefusalEffect{Target: m.target, Kind: kind})
	}
	if !m.mayRunAgain() {
		m.finish(MayHaveRun, kind, message)
		return
	}
	m.excluded[m.target.Group] = true
	m.free = m.heard || kind == KindLeaderGone
	m.emit(ResumeEffect{})
	m.choose(now)
}

// groupEnded reports whether an attempt's end tells that its group does not
// serve any more, so that the entry's other requests should not try it.
func groupEnded(kind string) bool {
	switch kind {
	case granter.ReasonEndpointDown, granter.ReasonIncomplete, granter.ReasonEpochOver, KindLeaderUnreachable, KindLeaderGone, kindLeaderRestarted:
		return true
	}
	return false
}
