package granter

import (
	"time"

	"papayaseam/internal/messenger"
)

// Actions of an order to an endpoint.
const (
	ActionLoad       = "load"        // ActionLoad fetches weights and takes a rank of a group.
	ActionChangeRole = "change-role" // ActionChangeRole takes a rank of a group with the weights at hand.
	ActionUnload     = "unload"      // ActionUnload leaves the group and drops the weights.
)

// RequiredLoad names what an endpoint must have loaded for a part in a group.
func RequiredLoad(a Assignment) string {
	return messenger.LoadedName(a.Spec.Model, a.Spec.Version, a.Rank)
}

// stepMember moves on to the wanted part once no promise binds this instance
// to another one, and orders the endpoint accordingly.
func (m *Machine) stepMember(now time.Duration) {
	if now < m.boot {
		m.orderOut(now)
		return
	}
	if !m.held.same(m.wanted) && m.free(now) {
		m.held = m.wanted
		m.promise = promise{}
	}
	if m.held.Group == "" {
		m.orderOut(now)
		return
	}
	if m.lead == nil && m.held.Rank == 0 && !m.held.Standby && !m.leaving {
		m.startLeading(now)
	}
	m.orderLoad(now)
}

// free reports whether nothing binds this instance to the part it holds.
func (m *Machine) free(now time.Duration) bool {
	return !m.promised(now) && m.lead == nil
}

// orderOut orders the endpoint out of whatever it may hold. The order repeats
// at a slow pace until the endpoint shows that it holds nothing.
func (m *Machine) orderOut(now time.Duration) {
	if !m.endpoint.Up || m.endpoint.Loaded == "" || m.promised(now) {
		return
	}
	m.issue(now, order{epoch: m.endpoint.FencingNumber}, messenger.Order{Action: ActionUnload, FencingNumber: m.endpoint.FencingNumber})
}

// orderLoad orders the endpoint to take its part. Weights are fetched only with
// control's permission, which keeps the load on the weight store in bounds; an
// instance that control can not reach does without.
func (m *Machine) orderLoad(now time.Duration) {
	spec := m.held.Spec
	atHand := m.endpoint.Loaded == RequiredLoad(m.held)
	mayLoad := spec.MayLoad || m.alone || atHand
	if !m.endpoint.Up || m.fit(m.held) || !mayLoad {
		return
	}
	action := ActionLoad
	if atHand {
		action = ActionChangeRole
	}
	m.issue(now, order{epoch: spec.Epoch, loaded: RequiredLoad(m.held)}, messenger.Order{
		Action: action, Group: m.held.Group, Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters,
		Rank: m.held.Rank, Size: len(spec.Members), FencingNumber: spec.Epoch, LoadMs: spec.LoadMs,
	})
}

// issue emits an order unless the same one was given to the same incarnation
// of the endpoint a short while ago.
func (m *Machine) issue(now time.Duration, next order, wire messenger.Order) {
	next.started = m.endpoint.Incarnation
	next.at = m.ordered.at
	if next == m.ordered && now < m.ordered.at+m.options.orderPace {
		return
	}
	next.at = now
	m.ordered = next
	m.emit(OrderEffect{Order: wire})
}

// renew answers a leader that asks for a grant.
func (m *Machine) renew(now time.Duration, request messenger.RenewRequest) {
	answer := messenger.RenewAnswer{
		Instance: m.instance, Epoch: request.Epoch, Sequence: request.Sequence, NewestEpoch: m.wanted.Spec.Epoch,
	}
	if request.Release {
		if m.promise.group == request.Group && m.promise.epoch == request.Epoch {
			m.promise = promise{}
		}
		m.emit(AnswerEffect{Answer: answer})
		return
	}
	answer.Leaving = m.leaving && now >= m.leaveAt
	answer.Reason = m.refusal(now, request)
	answer.Granted = answer.Reason == ""
	if answer.Granted {
		until := now + time.Duration(request.GrantMs)*time.Millisecond
		m.promise = promise{group: request.Group, epoch: request.Epoch, until: max(m.promise.until, until)}
	}
	m.emit(AnswerEffect{Answer: answer})
}

// refusal returns why a grant is refused, or an empty string.
func (m *Machine) refusal(now time.Duration, request messenger.RenewRequest) string {
	switch {
	case now < m.boot:
		return "starting"
	case time.Duration(request.GrantMs)*time.Millisecond > m.options.grant:
		return "grant-too-long"
	case m.held.Group != request.Group || m.held.Spec.Epoch != request.Epoch || m.held.Standby:
		if request.Epoch > m.wanted.Spec.Epoch {
			m.emit(RefreshConfigEffect{})
			return "config-behind"
		}
		return "not-a-member"
	case m.held.Spec.Members[0].Instance != request.Leader:
		return "not-the-leader"
	case m.promised(now) && (m.promise.group != request.Group || m.promise.epoch != request.Epoch):
		return "promised-elsewhere"
	case !m.fit(m.held):
		return "endpoint-not-fit"
	case !m.held.same(m.wanted) && (!m.promised(now) || now >= m.changed+m.options.drain):
		return "epoch-over"
	case m.leaving && (!m.promised(now) || now >= m.leaveAt+m.options.drain):
		return "leaving"
	}
	return ""
}
