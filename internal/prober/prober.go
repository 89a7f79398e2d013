// Package prober decides which endpoints control reads next, as a pure state
// machine: those that may be lost first, heads for their load, and endpoints
// that say nothing of themselves, all together within a bound on calls a
// second.
//
// # Usage
//
//	p := prober.New()
//	for _, probe := range p.Update(prober.TickMsg{Now: now, Endpoints: endpoints, Roles: roles}) {
//		read(probe.ID, probe.Timeout)
//	}
//
// Endpoints announce each change of their own at once, so what is read is the
// load of heads and whether silent endpoints are still there.
package prober

import (
	"maps"
	"time"

	"papayaseam/internal/tracker"
)

const (
	// paceUrgent is the pace for members of a group that stands still.
	paceUrgent = 50 * time.Millisecond
	// paceBusy is the pace for members of groups that change.
	paceBusy = 60 * time.Millisecond
	// paceSuspect is the pace for endpoints that did not answer.
	paceSuspect = 200 * time.Millisecond
	// paceHead is the pace for the load of heads that serve.
	paceHead = 200 * time.Millisecond
	// paceIdle is the pace for all other endpoints.
	paceIdle = 500 * time.Millisecond
	// most is the number of calls a second to which the paces are
	// stretched: above what a hundred endpoints need while many of them change.
	most = 800
	// mostIdle is the number above which idle endpoints are read less
	// often: above what a hundred of them need.
	mostIdle = 300
	// mostFlying bounds the calls under way: more of them only wait for each other
	// in this process, and time out.
	mostFlying = 48
	// longestPace bounds the stretched pace: a few announcements.
	longestPace = 3 * time.Second
	// timeout is above the way and a slow machine.
	timeout = 300 * time.Millisecond
	// urgentTimeout is for members of a group that stands still.
	urgentTimeout = 150 * time.Millisecond
)

// Role is what an endpoint does, as far as it matters for its pace.
type Role int

// The roles.
const (
	Idle     Role = iota
	Head          // Head leads a group that serves.
	Changing      // Busy is a member of a group that changes.
	Stalled       // Urgent is a member of a group that stands still.
	suspect       // suspect endpoints did not answer.
)

var paces = map[Role]time.Duration{Idle: paceIdle, Head: paceHead, Changing: paceBusy, Stalled: paceUrgent, suspect: paceSuspect}

// roleOf is the role in which an endpoint is read.
func roleOf(msg TickMsg, e tracker.Endpoint) Role {
	role := msg.Roles[e.View.Instance]
	if e.FailingSince != 0 && (role == Idle || role == Head) {
		return suspect
	}
	return role
}

// Probe is one endpoint to read now.
type Probe struct {
	Endpoint tracker.Endpoint
	Timeout  time.Duration
}

// TickMsg asks what is due; endpoints without a role are idle.
type TickMsg struct {
	Now       time.Duration
	Endpoints []tracker.Endpoint
	Roles     map[string]Role
}

// ProbeDoneMsg tells that the call to an endpoint has ended.
type ProbeDoneMsg struct{ ID string }

// Msg is an input of the prober.
type Msg interface{ proberMsg() }

func (TickMsg) proberMsg()      {}
func (ProbeDoneMsg) proberMsg() {}

// Prober remembers when endpoints were read. It is not safe for concurrent use.
type Prober struct {
	asked  map[string]time.Duration
	flying map[string]bool
}

// New returns a prober that has read nothing yet.
func New() *Prober {
	return &Prober{asked: map[string]time.Duration{}, flying: map[string]bool{}}
}

// Update takes one message and returns the probes that are due.
func (p *Prober) Update(msg Msg) []Probe {
	switch msg := msg.(type) {
	case TickMsg:
		return p.tick(msg)
	case ProbeDoneMsg:
		delete(p.flying, msg.ID)
	}
	return nil
}

func (p *Prober) tick(msg TickMsg) []Probe {
	p.forget(msg.Endpoints)
	paces := stretch(msg)
	var due []Probe
	for _, e := range msg.Endpoints {
		id := e.View.Instance
		role := roleOf(msg, e)
		if len(p.flying) >= mostFlying && role != Stalled {
			continue
		}
		at, asked := p.asked[id]
		if e.BootEnded || p.flying[id] || (asked && msg.Now < at+paces.pace(role)) {
			continue
		}
		p.asked[id] = msg.Now
		p.flying[id] = true
		probe := Probe{Endpoint: e, Timeout: timeout}
		if role == Stalled {
			probe.Timeout = urgentTimeout
		}
		due = append(due, probe)
	}
	return due
}

// stretches are by how much the paces grow to keep to the bound: those of idle
// endpoints first, since they announce themselves.
type stretches struct{ idle, others float64 }

func stretch(msg TickMsg) stretches {
	idle, others := 0.0, 0.0
	for _, e := range msg.Endpoints {
		switch role := roleOf(msg, e); {
		case e.BootEnded:
		case role == Idle:
			idle += perSecond(paceIdle)
		default:
			others += perSecond(paces[role])
		}
	}
	slowest := float64(longestPace) / float64(paceIdle)
	s := stretches{idle: min(max(idle/max(mostIdle-others, 1), 1), slowest)}
	s.others = max(others/max(most-idle/s.idle, 1), 1)
	return s
}

func perSecond(pace time.Duration) float64 { return float64(time.Second) / float64(pace) }

// pace returns how often an endpoint in a role is read.
func (s stretches) pace(role Role) time.Duration {
	factor := s.others
	switch role {
	case Stalled:
		return paceUrgent
	case Idle:
		factor = s.idle
	case Head, Changing, suspect:
	}
	return min(time.Duration(float64(paces[role])*factor), longestPace)
}

// forget drops endpoints that are gone.
func (p *Prober) forget(endpoints []tracker.Endpoint) {
	if len(p.asked) <= len(endpoints) {
		return
	}
	known := map[string]bool{}
	for _, e := range endpoints {
		known[e.View.Instance] = true
	}
	maps.DeleteFunc(p.asked, func(id string, _ time.Duration) bool { return !known[id] })
}
