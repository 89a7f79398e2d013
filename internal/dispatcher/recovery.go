package dispatcher

import (
	"time"

	"papayaseam/internal/granter"
)

// Error kinds of attempts whose leader can not be reached.
const (
	KindUnreachable       = "unreachable"
	KindLeaderUnreachable = "leader-unreachable"
	KindLeaderGone        = "leader-gone"
)

const (
	kindLeaderRestarted = "leader-restarted"
	kindDraining        = "draining"
)

// handleConnectionLost handles a connection that failed, closed early or timed
// out. Unless no byte was sent, the attempt may be running: the machine first
// reattaches, and revokes the attempt if the leader does not know it.
func (m *Machine) handleConnectionLost(now time.Duration, msg ConnectionLostMsg) {
	switch m.phase {
	case sending:
		if !msg.Sent {
			m.handleNotSent(now)
			return
		}
		m.disconnectedSince = now
		m.attach()
	case attaching:
		m.handleReattachFailed(now, msg)
	}
}

// handleNotSent retries an attempt of which no byte was sent. The first such retry
// for a group needs no retry budget, since it replaces an attempt that was never
// made.
func (m *Machine) handleNotSent(now time.Duration) {
	m.freeRetry = !m.excluded[m.target.Group]
	m.handleNotRun(now, KindUnreachable, "the group's leader could not be reached")
}

func (m *Machine) handleReattachFailed(now time.Duration, msg ConnectionLostMsg) {
	if m.disconnectedSince == 0 {
		m.disconnectedSince = now
	}
	switch {
	case msg.AttemptUnknown:
		m.revoke()
	case msg.ConnectionRefused && m.mayRunAgain():
		m.handleMayHaveRun(now, KindLeaderGone, "the process of the group's leader is gone")
	case now-m.disconnectedSince < m.options.reattachTimeout:
		m.attach()
	default:
		m.handleMayHaveRun(now, KindLeaderUnreachable, "the group's leader no longer answers")
	}
}

func (m *Machine) revoke() {
	m.phase = revoking
	m.emit(RevokeEffect{Target: m.target, Attempt: m.attemptID, Await: true})
}

// handleRevoked continues after the leader was asked to revoke the attempt.
func (m *Machine) handleRevoked(now time.Duration, msg RevokedMsg) {
	if m.phase != revoking {
		return
	}
	switch {
	case m.stopping:
		m.finishStopping(msg.NotRun)
	case msg.NotRun:
		m.handleNotRun(now, "revoked", "the attempt was revoked before it started")
	case msg.Failed && now-m.disconnectedSince < m.options.reattachTimeout:
		m.attach()
	case !msg.Failed && msg.State == "running" && m.reattachments < m.options.maxReattachments:
		m.attach()
	default:
		m.handleMayHaveRun(now, kindLeaderRestarted, "the group's leader no longer knows the attempt")
	}
}

// handleStopping ends the request. An attempt that was sent is revoked first, since it
// may not have started. One with an idempotency key is not cancelled: the caller can
// get its answer by the key at another entry.
func (m *Machine) handleStopping() {
	m.stopping = true
	switch {
	case m.phase == revoking:
	case m.followsEarlier:
		m.finishStopping(false)
	case m.phase == sending || m.phase == attaching:
		m.phase = revoking
		m.emit(RevokeEffect{Target: m.target, Attempt: m.attemptID, Cancel: m.request.IdempotencyKey == "", Await: true})
	default:
		m.finishStopping(true)
	}
}

// finishStopping ends the request because this process is about to end.
func (m *Machine) finishStopping(attemptNotRun bool) {
	m.mayHaveRun = m.mayHaveRun || !attemptNotRun
	m.finish(NotRun, kindDraining, "this entry is stopping")
}

// mayRunAgain reports whether the request may be sent to another group although
// an attempt of it may have run.
func (m *Machine) mayRunAgain() bool {
	return m.request.Repeatable && m.request.IdempotencyKey == "" && !m.followsEarlier
}

// handleMayHaveRun handles an attempt that may have run: it sends a repeatable
// request to another group and ends any other request. Replacing an attempt that
// the leader had accepted, or whose leader process is gone, needs no retry budget:
// there is at most one such retry for each failed group, so that they can not
// cause a retry storm.
func (m *Machine) handleMayHaveRun(now time.Duration, kind, message string) {
	m.mayHaveRun = true
	m.lastErrorKind, m.lastErrorMessage = kind, message
	if groupUnavailable(kind) && !m.followsEarlier {
		m.emit(ReportRefusalEffect{Target: m.target, Kind: kind})
	}
	if !m.mayRunAgain() {
		m.finish(MayHaveRun, kind, message)
		return
	}
	m.excluded[m.target.Group] = true
	m.freeRetry = m.leaderResponded || kind == KindLeaderGone
	m.emit(ResumeEffect{})
	m.choose(now)
}

// groupUnavailable reports whether the error kind of an attempt means that its
// group stopped serving, so that other requests of this entry should avoid it.
func groupUnavailable(kind string) bool {
	switch kind {
	case granter.ReasonEndpointDown, granter.ReasonIncomplete, granter.ReasonEpochOver, KindLeaderUnreachable, KindLeaderGone, kindLeaderRestarted:
		return true
	}
	return false
}
