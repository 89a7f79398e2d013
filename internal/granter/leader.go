package granter

import (
	"time"

	"papayaseam/internal/messenger"
)

func (m *Machine) startLeading(now time.Duration) {
	m.lead = &leadership{Assignment: m.held, grants: map[string]*grant{}, nextSend: now}
	for _, other := range m.others(m.held.Spec) {
		m.lead.grants[other.Instance] = &grant{sent: map[int]time.Duration{}}
	}
}

// stepLeader sends renewals, starts to drain when the epoch is to end, and
// releases the members when the drain has ended.
func (m *Machine) stepLeader(now time.Duration) {
	if m.lead == nil {
		return
	}
	over := !m.lead.same(m.wanted) || (m.leaving && now >= m.leaveAt)
	if over && !m.lead.draining {
		m.drain(now)
	}
	if m.lead.draining && (m.running == 0 || now >= m.lead.drainEnd || !m.Complete(now)) {
		m.release()
		return
	}
	if now >= m.lead.nextSend {
		m.sendRenewals(now)
	}
}

func (m *Machine) drain(now time.Duration) {
	m.lead.draining = true
	m.lead.drainEnd = now + m.options.drain
	m.emit(DrainEffect{})
}

// release ends the epoch: work that still runs is cut, then the members are
// told that their promises are over.
func (m *Machine) release() {
	if m.running > 0 {
		m.emit(AbortEffect{Reason: ReasonEpochOver})
	}
	for _, other := range m.others(m.lead.Spec) {
		m.emit(RenewEffect{Member: other, Request: messenger.RenewRequest{
			Group: m.lead.Group, Epoch: m.lead.Spec.Epoch, Leader: m.instance, Release: true,
		}})
	}
	m.lead = nil
}

func (m *Machine) sendRenewals(now time.Duration) {
	m.lead.nextSend = now + m.options.renewEvery
	m.lead.sequence++
	for _, other := range m.others(m.lead.Spec) {
		m.sendRenewal(now, other)
	}
}

func (m *Machine) sendRenewal(now time.Duration, other messenger.Member) {
	g := m.lead.grants[other.Instance]
	g.sent[m.lead.sequence] = now
	delete(g.sent, m.lead.sequence-sentKept)
	m.emit(RenewEffect{Member: other, Request: messenger.RenewRequest{
		Group: m.lead.Group, Epoch: m.lead.Spec.Epoch, Leader: m.instance,
		Sequence: m.lead.sequence, GrantMs: int(m.options.grant / time.Millisecond),
	}})
}

// lost follows up a closed connection to a member: the operating system closes
// those of a process that dies, long before its grant ends.
func (m *Machine) lost(now time.Duration, msg ConnClosedMsg) {
	if m.lead == nil {
		return
	}
	for _, other := range m.others(m.lead.Spec) {
		g := m.lead.grants[other.Instance]
		if other.Address != msg.Address || now < g.followAt {
			continue
		}
		g.followAt = now + m.options.retryRenew
		m.lead.sequence++
		m.sendRenewal(now, other)
	}
}

// gone ends the grant of a member whose process no longer runs; what it still
// answered before does not count.
func (m *Machine) gone(msg MemberDownMsg) {
	if m.lead == nil || msg.Group != m.lead.Group || msg.Epoch != m.lead.Spec.Epoch {
		return
	}
	if g, ok := m.lead.grants[msg.Instance]; ok {
		g.until = 0
		clear(g.sent)
	}
}

// renewed takes a member's answer. The grant counts from the sending of the
// renewal, less a margin for the rates of the two clocks.
func (m *Machine) renewed(now time.Duration, msg RenewAnswerMsg) {
	answer := msg.Answer
	if m.lead == nil || answer.Epoch != m.lead.Spec.Epoch || msg.Group != m.lead.Group {
		return
	}
	g, ok := m.lead.grants[answer.Instance]
	if !ok {
		return
	}
	if answer.NewestEpoch > m.lead.Spec.Epoch {
		m.emit(RefreshConfigEffect{})
	}
	sent, known := g.sent[answer.Sequence]
	if !known {
		return
	}
	if !answer.Granted {
		g.until = 0
		m.lead.nextSend = min(m.lead.nextSend, now+m.options.retryRenew)
		return
	}
	if answer.Leaving && !m.lead.draining {
		m.drain(now)
	}
	g.until = max(g.until, sent+m.options.grant-m.options.grant/clockMarginDivisor)
}

func (m *Machine) withdrawn(notice messenger.WithdrawNotice) {
	if m.lead == nil || notice.Group != m.lead.Group || notice.Epoch != m.lead.Spec.Epoch {
		return
	}
	if g, ok := m.lead.grants[notice.Instance]; ok {
		g.until = 0
		clear(g.sent)
		m.lead.crashed = notice.Reason == ReasonEndpointDown
	}
}

// checkServing tells the owner when the group becomes complete or breaks; at a
// break, running work must end at once.
func (m *Machine) checkServing(now time.Duration) {
	if m.lead == nil {
		return
	}
	complete := m.Complete(now)
	if complete == m.lead.serving {
		return
	}
	m.lead.serving = complete
	if !complete {
		m.emit(AbortEffect{Reason: m.breakReason()})
	}
	m.lead.crashed = false
	m.emit(ServingEffect{Group: m.lead.Group, Epoch: m.lead.Spec.Epoch, Complete: complete})
}

// breakReason tells a crash of an endpoint from any other break.
func (m *Machine) breakReason() string {
	if m.lead.crashed || !m.endpoint.Up || m.endpoint.Loaded == "" {
		return ReasonEndpointDown
	}
	return ReasonIncomplete
}
