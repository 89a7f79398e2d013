package granter

import (
	"time"

	"papayaseam/internal/messenger"
)

// Actions that an endpoint can be ordered to take.
const (
	ActionLoad       = "load"        // ActionLoad loads weights and takes a rank in a group.
	ActionChangeRole = "change-role" // ActionChangeRole takes a rank in a group with the weights already loaded.
	ActionUnload     = "unload"      // ActionUnload leaves the group and unloads the weights.
)

// RequiredLoad returns the name of what an endpoint must have loaded for an
// assignment.
func RequiredLoad(a Assignment) string {
	return messenger.LoadedName(a.Spec.Model, a.Spec.Version, a.Rank)
}

// stepMember switches to the desired assignment once no promise or leadership
// prevents it, and orders the endpoint accordingly.
func (m *Machine) stepMember(now time.Duration) {
	if now < m.noGrantsUntil {
		m.orderUnload(now)
		return
	}
	if !m.current.sameRole(m.desired) && m.canSwitch(now) {
		m.current = m.desired
		m.promise = promise{}
	}
	if m.current.Group == "" {
		m.orderUnload(now)
		return
	}
	if m.leadership == nil && m.current.Rank == 0 && !m.current.Standby && !m.leaving {
		m.startLeading(now)
	}
	m.orderLoad(now)
}

// canSwitch reports whether no promise or leadership ties this instance to its
// current assignment.
func (m *Machine) canSwitch(now time.Duration) bool {
	return !m.promiseActive(now) && m.leadership == nil
}

// orderUnload orders the endpoint to unload whatever it has loaded. The order is
// repeated at intervals until the endpoint announces that nothing is loaded.
func (m *Machine) orderUnload(now time.Duration) {
	if !m.endpoint.Up || m.endpoint.Loaded == "" || m.promiseActive(now) {
		return
	}
	m.issueOrder(now, issuedOrder{fencingNumber: m.endpoint.FencingNumber}, messenger.Order{Action: ActionUnload, FencingNumber: m.endpoint.FencingNumber})
}

// orderLoad orders the endpoint to load what the current assignment requires.
// Loading weights needs the permission of the control process, which limits the
// load on the weight store. An instance that can't reach a control process loads
// without it.
func (m *Machine) orderLoad(now time.Duration) {
	spec := m.current.Spec
	weightsLoaded := m.endpoint.Loaded == RequiredLoad(m.current)
	mayLoad := spec.MayLoad || m.controlUnreachable || weightsLoaded
	if !m.endpoint.Up || m.endpointReady(m.current) || !mayLoad {
		return
	}
	action := ActionLoad
	if weightsLoaded {
		action = ActionChangeRole
	}
	m.issueOrder(now, issuedOrder{fencingNumber: spec.Epoch, loaded: RequiredLoad(m.current)}, messenger.Order{
		Action: action, Group: m.current.Group, Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters,
		Rank: m.current.Rank, Size: len(spec.Members), FencingNumber: spec.Epoch, LoadMs: spec.LoadMs,
	})
}

// issueOrder emits an order unless the same one was given to the same incarnation
// of the endpoint within the repeat interval.
func (m *Machine) issueOrder(now time.Duration, order issuedOrder, message messenger.Order) {
	order.incarnation = m.endpoint.Incarnation
	order.issuedAt = m.lastOrder.issuedAt
	if order == m.lastOrder && now < m.lastOrder.issuedAt+m.options.orderRepeatInterval {
		return
	}
	order.issuedAt = now
	m.lastOrder = order
	m.emit(OrderEffect{Order: message})
}

// handleRenew answers a leader's request to renew or release a grant.
func (m *Machine) handleRenew(now time.Duration, request messenger.RenewRequest) {
	answer := messenger.RenewAnswer{
		Instance: m.instance, Epoch: request.Epoch, Sequence: request.Sequence, NewestEpoch: m.desired.Spec.Epoch,
	}
	if request.Release {
		if m.promise.group == request.Group && m.promise.epoch == request.Epoch {
			m.promise = promise{}
		}
		m.emit(AnswerEffect{Answer: answer})
		return
	}
	answer.Leaving = m.leaving && now >= m.leaveGraceEnd
	answer.Reason = m.refusalReason(now, request)
	answer.Granted = answer.Reason == ""
	if answer.Granted {
		expiresAt := now + time.Duration(request.GrantMs)*time.Millisecond
		m.promise = promise{group: request.Group, epoch: request.Epoch, expiresAt: max(m.promise.expiresAt, expiresAt)}
	}
	m.emit(AnswerEffect{Answer: answer})
}

// refusalReason returns the reason for refusing a grant, or an empty string if it
// is granted.
func (m *Machine) refusalReason(now time.Duration, request messenger.RenewRequest) string {
	switch {
	case now < m.noGrantsUntil:
		return "starting"
	case time.Duration(request.GrantMs)*time.Millisecond > m.options.grantDuration:
		return "grant-too-long"
	case m.current.Group != request.Group || m.current.Spec.Epoch != request.Epoch || m.current.Standby:
		if request.Epoch > m.desired.Spec.Epoch {
			m.emit(RefreshConfigEffect{})
			return "config-behind"
		}
		return "not-a-member"
	case m.current.Spec.Members[0].Instance != request.Leader:
		return "not-the-leader"
	case m.promiseActive(now) && (m.promise.group != request.Group || m.promise.epoch != request.Epoch):
		return "promised-elsewhere"
	case !m.endpointReady(m.current):
		return "endpoint-not-fit"
	case !m.current.sameRole(m.desired) && (!m.promiseActive(now) || now >= m.desiredSince+m.options.drainTimeout):
		return "epoch-over"
	case m.leaving && (!m.promiseActive(now) || now >= m.leaveGraceEnd+m.options.drainTimeout):
		return "leaving"
	}
	return ""
}
