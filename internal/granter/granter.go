// Package granter implements the leases between the members of a group: the
// side process of each member grants the group's leader a short lease for one
// epoch, and the leader serves only while it holds an unexpired grant of every
// member.
//
// # Usage
//
// The side process owns one Machine, feeds it configuration, announcements of
// its endpoint, renewals and ticks, and executes the returned effects:
//
//	m := granter.New("instance-7", now)
//	effects := m.Update(now, granter.ConfigMsg{Assignment: assignment})
//	if m.MayDispatch(now) { ... }
//
// All times are durations on the monotonic clock of the process. A lease has
// two ends: the member's promise starts when it receives a renewal, the
// leader's grant starts when it sends that renewal. So the promise outlasts the
// grant without synchronised clocks.
package granter

import (
	"slices"
	"time"

	"papayaseam/internal/messenger"
)

// Reasons for aborting running work or ending a grant.
const (
	ReasonEndpointDown     = "endpoint-crashed"
	ReasonEndpointReturned = "endpoint-returned" // ReasonEndpointReturned takes back a notice with ReasonEndpointDown.
	ReasonIncomplete       = "group-incomplete"
	ReasonEpochOver        = "epoch-over"
)

// Assignment is the role that the configuration gives to this instance.
type Assignment struct {
	Group   string // Group is empty if the instance belongs to no group.
	Spec    messenger.GroupSpec
	Rank    int
	Standby bool
}

// sameRole reports whether two assignments give the same role in the same group
// and epoch.
func (a Assignment) sameRole(b Assignment) bool {
	return a.Group == b.Group && a.Spec.Epoch == b.Spec.Epoch && a.Rank == b.Rank && a.Standby == b.Standby
}

// Endpoint is the state that the endpoint last announced.
type Endpoint struct {
	Up            bool
	Incarnation   string // Incarnation changes with every start of the endpoint.
	Loaded        string // Loaded is empty if nothing is loaded; see RequiredLoad.
	FencingNumber int    // FencingNumber is the epoch of the last accepted order.
}

// promise is the member's side of a lease: until it expires, the member grants
// to no other group or epoch.
type promise struct {
	group     string
	epoch     int
	expiresAt time.Duration
}

// grant is the leader's side of a lease of one member.
type grant struct {
	expiresAt time.Duration
	nextCheck time.Duration         // nextCheck is the earliest time at which a closed connection triggers another renewal.
	sentAt    map[int]time.Duration // sentAt holds the send times of the latest renewals by sequence number.
}

// leadership is the state of a leader in one epoch.
type leadership struct {
	Assignment
	grants        map[string]*grant
	sequence      int
	nextRenewal   time.Duration
	serving       bool
	draining      bool
	lostMember    string // lostMember is the member that has withdrawn its grant because it lost its endpoint, or empty.
	drainDeadline time.Duration
}

// Machine is the state machine of one instance's group membership. It is not
// safe for concurrent use.
type Machine struct {
	options            options
	instance           string
	noGrantsUntil      time.Duration
	desired            Assignment // desired is the assignment of the newest configuration.
	current            Assignment // current follows desired once no promise or leadership prevents it.
	desiredSince       time.Duration
	promise            promise
	endpoint           Endpoint
	lost               lostEndpoint
	lastOrder          issuedOrder
	leadership         *leadership
	runningCount       int
	controlUnreachable bool
	leaving            bool
	leaveGraceEnd      time.Duration
	effects            []Effect
}

// lostEndpoint is an incarnation of the endpoint that was lost, and the assignment that
// this instance had then.
type lostEndpoint struct {
	incarnation string
	assignment  Assignment
}

// issuedOrder identifies the last order given to the endpoint.
type issuedOrder struct {
	fencingNumber int
	loaded        string
	incarnation   string
	issuedAt      time.Duration
}

// New returns the Machine of an instance whose side process has just started.
// Promises aren't stored, so the Machine refuses every renewal until any promise
// made before the start has expired.
func New(instance string, now time.Duration, opts ...Option) *Machine {
	m := &Machine{options: defaultOptions(), instance: instance}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.noGrantsUntil = now + m.options.grantDuration
	return m
}

// Update handles one message and returns the effects to execute.
func (m *Machine) Update(now time.Duration, msg Msg) []Effect {
	m.effects = nil
	switch msg := msg.(type) {
	case ConfigMsg:
		m.configure(now, msg.Assignment)
	case EndpointMsg:
		m.updateEndpoint(msg.Endpoint)
	case RenewMsg:
		m.handleRenew(now, msg.Request)
	case RenewAnswerMsg:
		m.handleRenewAnswer(now, msg)
	case WithdrawMsg:
		m.handleWithdraw(msg.Notice)
	case ConnClosedMsg:
		m.handleConnClosed(now, msg)
	case MemberDownMsg:
		m.handleMemberDown(msg)
	case RunningCountMsg:
		m.runningCount = msg.Count
	case LeaveMsg:
		m.startLeaving(now)
	case CancelLeaveMsg:
		m.leaving = false
	case TickMsg:
		m.controlUnreachable = msg.ControlUnreachable
	}
	m.stepLeader(now)
	m.stepMember(now)
	m.updateServing(now)
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// Assignment returns the current role of this instance.
func (m *Machine) Assignment() Assignment { return m.current }

// Leaving reports whether a planned stop of this instance has begun.
func (m *Machine) Leaving() bool { return m.leaving }

// Idle reports whether this instance has no unexpired promise and leads no
// group.
func (m *Machine) Idle(now time.Duration) bool { return !m.promiseActive(now) && m.leadership == nil }

// LedAssignment returns the assignment in which this instance leads a group, and
// whether it leads one.
func (m *Machine) LedAssignment() (Assignment, bool) {
	if m.leadership == nil {
		return Assignment{}, false
	}
	return m.leadership.Assignment, true
}

// Draining reports whether this instance leads a group that accepts no new work.
func (m *Machine) Draining() bool { return m.leadership != nil && m.leadership.draining }

// Complete reports whether this instance leads a group, holds an unexpired grant
// of every other member and has a ready endpoint, so that running work may
// continue.
func (m *Machine) Complete(now time.Duration) bool {
	if m.leadership == nil || !m.endpointReady(m.leadership.Assignment) {
		return false
	}
	for _, g := range m.leadership.grants {
		if g.expiresAt <= now {
			return false
		}
	}
	return true
}

// MayDispatch reports whether new work may start now. Call it immediately before
// each dispatch.
func (m *Machine) MayDispatch(now time.Duration) bool {
	return m.Complete(now) && !m.leadership.draining
}

// configure adopts the assignment of the newest configuration, unless its epoch is
// older than that of an assignment already received.
func (m *Machine) configure(now time.Duration, assignment Assignment) {
	if assignment.Group != "" && assignment.Spec.Epoch < m.desired.Spec.Epoch {
		return
	}
	if !m.desired.sameRole(assignment) {
		m.desiredSince = now
	}
	m.desired = assignment
	if m.current.sameRole(assignment) {
		m.current = assignment
	}
}

// updateEndpoint stores the announced state of the endpoint. When the endpoint is
// lost it withdraws the grant, so that the leader needn't wait for it to expire. When
// the same incarnation returns it tells the leader that the endpoint has not crashed.
func (m *Machine) updateEndpoint(endpoint Endpoint) {
	previous := m.endpoint
	m.endpoint = endpoint
	if previous.Up && (!endpoint.Up || endpoint.Incarnation != previous.Incarnation) {
		m.lost = lostEndpoint{previous.Incarnation, m.current}
		m.notifyLeader(m.current, ReasonEndpointDown)
	}
	if !endpoint.Up {
		return
	}
	if endpoint.Incarnation == m.lost.incarnation {
		m.notifyLeader(m.lost.assignment, ReasonEndpointReturned)
	}
	m.lost = lostEndpoint{}
}

// notifyLeader sends a notice about this instance's endpoint to the leader of an
// assignment, unless the instance is the leader or a standby itself.
func (m *Machine) notifyLeader(a Assignment, reason string) {
	if a.Group == "" || a.Standby || a.Rank == 0 {
		return
	}
	m.emit(WithdrawEffect{Leader: a.Spec.Members[0], Notice: messenger.WithdrawNotice{
		Group: a.Group, Epoch: a.Spec.Epoch, Instance: m.instance, Reason: reason,
	}})
}

// endpointReady reports whether the endpoint is up and has loaded what an
// assignment requires. Endpoints of plain services take no orders, so for them
// being up is enough.
func (m *Machine) endpointReady(a Assignment) bool {
	if a.Spec.Service != "" {
		return m.endpoint.Up
	}
	return m.endpoint.Up && m.endpoint.FencingNumber == a.Spec.Epoch && m.endpoint.Loaded == RequiredLoad(a)
}

// promiseActive reports whether this instance has an unexpired promise.
func (m *Machine) promiseActive(now time.Duration) bool {
	return m.promise.group != "" && m.promise.expiresAt > now
}

func (m *Machine) startLeaving(now time.Duration) {
	if !m.leaving {
		m.leaving = true
		m.leaveGraceEnd = now + m.options.leaveGrace
	}
}

// otherMembers returns the members of a group without this instance.
func (m *Machine) otherMembers(spec messenger.GroupSpec) []messenger.Member {
	return slices.DeleteFunc(slices.Clone(spec.Members), func(member messenger.Member) bool { return member.Instance == m.instance })
}
