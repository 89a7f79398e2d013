// Package granter keeps the promises between the members of a group: each
// member's side process grants the group's leader a short lease for one epoch,
// and the leader serves only while it holds an unexpired grant of every member.
//
// # Usage
//
// The side process owns one Machine, feeds it configuration, announcements of
// its endpoint, renewals and ticks, and executes the effects:
//
//	m := granter.New("instance-7", now)
//	effects := m.Update(now, granter.ConfigMsg{Assignment: assignment})
//	if m.MayDispatch(now) { ... }
//
// Times are durations on the process's own monotonic clock. A member counts
// its promise from the receipt of a renewal, the leader counts the grant from
// the sending of it, so that the promise outlasts the grant without
// synchronised clocks.
package granter

import (
	"slices"
	"time"

	"papayaseam/internal/messenger"
)

// Reasons why running work is cut or a grant ends.
const (
	ReasonEndpointDown = "endpoint-crashed"
	ReasonIncomplete   = "group-incomplete"
	ReasonEpochOver    = "epoch-over"
)

// Assignment is what the configuration says of this instance.
type Assignment struct {
	Group   string // Group is empty where the instance has no part in any.
	Spec    messenger.GroupSpec
	Rank    int
	Standby bool
}

// same reports whether two assignments are one part in one epoch.
func (a Assignment) same(b Assignment) bool {
	return a.Group == b.Group && a.Spec.Epoch == b.Spec.Epoch && a.Rank == b.Rank && a.Standby == b.Standby
}

// Endpoint is what the endpoint last announced of itself.
type Endpoint struct {
	Up            bool
	Incarnation   string // Incarnation names the incarnation of the endpoint.
	Loaded        string
	FencingNumber int
}

type promise struct {
	group string
	epoch int
	until time.Duration
}

type grant struct {
	until    time.Duration
	followAt time.Duration // followAt is from when on the next closed connection is followed up.
	sent     map[int]time.Duration
}

// leadership is the leader's part in one epoch.
type leadership struct {
	Assignment
	grants   map[string]*grant
	sequence int
	nextSend time.Duration
	serving  bool
	draining bool
	crashed  bool
	drainEnd time.Duration
}

// Machine is the membership of one instance. It is not safe for concurrent
// use.
type Machine struct {
	options  options
	instance string
	boot     time.Duration
	wanted   Assignment
	held     Assignment
	changed  time.Duration
	promise  promise
	endpoint Endpoint
	ordered  order
	lead     *leadership
	running  int
	alone    bool
	leaving  bool
	leaveAt  time.Duration
	effects  []Effect
}

type order struct {
	epoch   int
	loaded  string
	started string
	at      time.Duration
}

// New returns the membership of an instance whose side process has just
// started, without memory of earlier promises: it waits out the longest grant
// before it promises anything.
func New(instance string, now time.Duration, opts ...Option) *Machine {
	m := &Machine{options: defaults(), instance: instance}
	for _, opt := range opts {
		opt(&m.options)
	}
	m.boot = now + m.options.grant
	return m
}

// Update takes one message and returns the effects to execute.
func (m *Machine) Update(now time.Duration, msg Msg) []Effect {
	m.effects = nil
	switch msg := msg.(type) {
	case ConfigMsg:
		m.configure(now, msg.Assignment)
	case EndpointMsg:
		m.noteEndpoint(msg.Endpoint)
	case RenewMsg:
		m.renew(now, msg.Request)
	case RenewAnswerMsg:
		m.renewed(now, msg)
	case WithdrawMsg:
		m.withdrawn(msg.Notice)
	case ConnClosedMsg:
		m.lost(now, msg)
	case MemberDownMsg:
		m.gone(msg)
	case RunningCountMsg:
		m.running = msg.Count
	case LeaveMsg:
		m.leave(now)
	case CancelLeaveMsg:
		m.leaving = false
	case TickMsg:
		m.alone = msg.ControlUnreachable
	}
	m.stepLeader(now)
	m.stepMember(now)
	m.checkServing(now)
	return m.effects
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// Assignment returns the part this instance now plays.
func (m *Machine) Assignment() Assignment { return m.held }

// Leaving reports whether this instance is on its way out.
func (m *Machine) Leaving() bool { return m.leaving }

// Idle reports whether this instance holds no promise and leads nothing.
func (m *Machine) Idle(now time.Duration) bool { return !m.promised(now) && m.lead == nil }

// LedAssignment returns the part in which this instance leads a group.
func (m *Machine) LedAssignment() (Assignment, bool) {
	if m.lead == nil {
		return Assignment{}, false
	}
	return m.lead.Assignment, true
}

// Draining reports whether this instance leads a group that takes no new work.
func (m *Machine) Draining() bool { return m.lead != nil && m.lead.draining }

// Complete reports whether every member's grant is unexpired and this
// instance's endpoint is fit, so that running work may go on.
func (m *Machine) Complete(now time.Duration) bool {
	if m.lead == nil || !m.fit(m.lead.Assignment) {
		return false
	}
	for _, g := range m.lead.grants {
		if g.until <= now {
			return false
		}
	}
	return true
}

// MayDispatch reports whether new work may start at this moment. It must be
// asked right before each dispatch.
func (m *Machine) MayDispatch(now time.Duration) bool {
	return m.Complete(now) && !m.lead.draining
}

func (m *Machine) configure(now time.Duration, assignment Assignment) {
	if assignment.Group != "" && assignment.Spec.Epoch < m.wanted.Spec.Epoch {
		return
	}
	if !m.wanted.same(assignment) {
		m.changed = now
	}
	m.wanted = assignment
	if m.held.same(assignment) {
		m.held = assignment
	}
}

func (m *Machine) noteEndpoint(endpoint Endpoint) {
	died := m.endpoint.Up && (!endpoint.Up || endpoint.Incarnation != m.endpoint.Incarnation)
	m.endpoint = endpoint
	if died && m.held.Group != "" && !m.held.Standby && m.held.Rank > 0 {
		m.emit(WithdrawEffect{Leader: m.held.Spec.Members[0], Notice: messenger.WithdrawNotice{
			Group: m.held.Group, Epoch: m.held.Spec.Epoch, Instance: m.instance, Reason: ReasonEndpointDown,
		}})
	}
}

// fit reports whether the endpoint is up and holds what a part needs; plain
// services take no orders.
func (m *Machine) fit(a Assignment) bool {
	if a.Spec.Service != "" {
		return m.endpoint.Up
	}
	return m.endpoint.Up && m.endpoint.FencingNumber == a.Spec.Epoch && m.endpoint.Loaded == RequiredLoad(a)
}

func (m *Machine) promised(now time.Duration) bool {
	return m.promise.group != "" && m.promise.until > now
}

func (m *Machine) leave(now time.Duration) {
	if !m.leaving {
		m.leaving = true
		m.leaveAt = now + m.options.leaveGrace
	}
}

// others returns the members of a group but this one.
func (m *Machine) others(spec messenger.GroupSpec) []messenger.Member {
	return slices.DeleteFunc(slices.Clone(spec.Members), func(x messenger.Member) bool { return x.Instance == m.instance })
}
