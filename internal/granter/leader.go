package granter

import (
	"time"

	"papayaseam/internal/messenger"
)

func (m *Machine) startLeading(now time.Duration) {
	m.leadership = &leadership{Assignment: m.current, grants: map[string]*grant{}, nextRenewal: now}
	for _, other := range m.otherMembers(m.current.Spec) {
		m.leadership.grants[other.Instance] = &grant{sentAt: map[int]time.Duration{}}
	}
}

// stepLeader sends due renewals, starts draining when the epoch has to end and
// releases the members once draining has finished.
func (m *Machine) stepLeader(now time.Duration) {
	if m.leadership == nil {
		return
	}
	epochEnding := !m.leadership.sameRole(m.desired) || (m.leaving && now >= m.leaveGraceEnd)
	if epochEnding && !m.leadership.draining {
		m.startDrain(now)
	}
	if m.leadership.draining && (m.runningCount == 0 || now >= m.leadership.drainDeadline || !m.Complete(now)) {
		m.releaseMembers()
		return
	}
	if now >= m.leadership.nextRenewal {
		m.sendRenewals(now)
	}
}

func (m *Machine) startDrain(now time.Duration) {
	m.leadership.draining = true
	m.leadership.drainDeadline = now + m.options.drainTimeout
	m.emit(DrainEffect{})
}

// releaseMembers ends the epoch: it aborts work that is still running, then
// releases the members from their promises.
func (m *Machine) releaseMembers() {
	if m.runningCount > 0 {
		m.emit(AbortEffect{Reason: ReasonEpochOver})
	}
	for _, other := range m.otherMembers(m.leadership.Spec) {
		m.emit(RenewEffect{Member: other, Request: messenger.RenewRequest{
			Group: m.leadership.Group, Epoch: m.leadership.Spec.Epoch, Leader: m.instance, Release: true,
		}})
	}
	m.leadership = nil
}

func (m *Machine) sendRenewals(now time.Duration) {
	m.leadership.nextRenewal = now + m.options.renewInterval
	m.leadership.sequence++
	for _, other := range m.otherMembers(m.leadership.Spec) {
		m.sendRenewal(now, other)
	}
}

func (m *Machine) sendRenewal(now time.Duration, other messenger.Member) {
	g := m.leadership.grants[other.Instance]
	g.sentAt[m.leadership.sequence] = now
	delete(g.sentAt, m.leadership.sequence-maxPendingRenewals)
	m.emit(RenewEffect{Member: other, Request: messenger.RenewRequest{
		Group: m.leadership.Group, Epoch: m.leadership.Spec.Epoch, Leader: m.instance,
		Sequence: m.leadership.sequence, GrantMs: int(m.options.grantDuration / time.Millisecond),
	}})
}

// handleConnClosed sends a renewal to the member whose connection closed. The
// operating system closes the connections of a process that dies long before its
// grant expires, so the attempt detects the failure early.
func (m *Machine) handleConnClosed(now time.Duration, msg ConnClosedMsg) {
	if m.leadership == nil {
		return
	}
	for _, other := range m.otherMembers(m.leadership.Spec) {
		g := m.leadership.grants[other.Instance]
		if other.Address != msg.Address || now < g.nextCheck {
			continue
		}
		g.nextCheck = now + m.options.renewRetryDelay
		m.leadership.sequence++
		m.sendRenewal(now, other)
	}
}

// handleMemberDown ends the grant of a member whose process no longer runs.
// Answers it sent before it stopped are ignored.
func (m *Machine) handleMemberDown(msg MemberDownMsg) {
	if m.leadership == nil || msg.Group != m.leadership.Group || msg.Epoch != m.leadership.Spec.Epoch {
		return
	}
	if g, ok := m.leadership.grants[msg.Instance]; ok {
		g.expiresAt = 0
		clear(g.sentAt)
	}
}

// handleRenewAnswer handles a member's answer to a renewal. The grant is counted
// from the time the renewal was sent, minus a margin for the drift between the
// two clocks.
func (m *Machine) handleRenewAnswer(now time.Duration, msg RenewAnswerMsg) {
	answer := msg.Answer
	if m.leadership == nil || answer.Epoch != m.leadership.Spec.Epoch || msg.Group != m.leadership.Group {
		return
	}
	g, ok := m.leadership.grants[answer.Instance]
	if !ok {
		return
	}
	if answer.NewestEpoch > m.leadership.Spec.Epoch {
		m.emit(RefreshConfigEffect{})
	}
	sentAt, known := g.sentAt[answer.Sequence]
	if !known {
		return
	}
	if !answer.Granted {
		g.expiresAt = 0
		m.leadership.nextRenewal = min(m.leadership.nextRenewal, now+m.options.renewRetryDelay)
		return
	}
	if answer.Leaving && !m.leadership.draining {
		m.startDrain(now)
	}
	g.expiresAt = max(g.expiresAt, sentAt+m.options.grantDuration-m.options.grantDuration/clockMarginDivisor)
}

// handleWithdraw ends the grant of a member that has withdrawn it. Answers in
// flight are ignored.
func (m *Machine) handleWithdraw(notice messenger.WithdrawNotice) {
	if notice.Reason == ReasonEndpointReturned || m.leadership == nil || notice.Group != m.leadership.Group || notice.Epoch != m.leadership.Spec.Epoch {
		return
	}
	if g, ok := m.leadership.grants[notice.Instance]; ok {
		g.expiresAt = 0
		clear(g.sentAt)
		m.leadership.lostMember = ""
		if notice.Reason == ReasonEndpointDown {
			m.leadership.lostMember = notice.Instance
		}
	}
}

// updateServing emits an effect when the group becomes complete or stops being
// complete. In the latter case it first aborts running work.
func (m *Machine) updateServing(now time.Duration) {
	if m.leadership == nil {
		return
	}
	complete := m.Complete(now)
	if complete == m.leadership.serving {
		return
	}
	m.leadership.serving = complete
	if !complete {
		m.emit(AbortEffect{Reason: m.abortReason(), Lost: m.lostInstance()})
	}
	m.leadership.lostMember = ""
	m.emit(ServingEffect{Group: m.leadership.Group, Epoch: m.leadership.Spec.Epoch, Complete: complete})
}

// abortReason distinguishes an endpoint crash from other causes of an incomplete
// group.
func (m *Machine) abortReason() string {
	if m.leadership.lostMember != "" || !m.endpoint.Up || m.endpoint.Loaded == "" {
		return ReasonEndpointDown
	}
	return ReasonIncomplete
}

// lostInstance returns the member of the led group that has lost its endpoint, or an
// empty string if none has.
func (m *Machine) lostInstance() string {
	if !m.endpoint.Up {
		return m.instance
	}
	return m.leadership.lostMember
}
