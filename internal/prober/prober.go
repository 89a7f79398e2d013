// Package prober decides which endpoints the control process probes next. It is a
// pure state machine without I/O: members of groups that are stalled or changing
// and endpoints that failed a probe come most often, then heads for their load,
// then idle endpoints, within a bound on the calls per second.
//
// # Usage
//
//	p := prober.New()
//	for _, probe := range p.Update(prober.TickMsg{Now: now, Endpoints: endpoints, Roles: roles}) {
//		read(probe.Endpoint, probe.Timeout) // then p.Update(prober.ProbeDoneMsg{...})
//	}
//
// Endpoints announce each of their state changes at once, so probes are needed only
// for the load of heads and to find out whether silent endpoints still run.
package prober

import (
	"maps"
	"time"

	"papayaseam/internal/tracker"
)

const (
	// intervalStalled is the probe interval for members of a stalled group.
	intervalStalled = 50 * time.Millisecond
	// intervalChanging is the probe interval for members of groups that change.
	intervalChanging = 60 * time.Millisecond
	// intervalSuspect is the probe interval for endpoints that did not respond.
	intervalSuspect = 200 * time.Millisecond
	// intervalHead is the probe interval for the load of heads that serve.
	intervalHead = 200 * time.Millisecond
	// intervalIdle is the probe interval for all other endpoints.
	intervalIdle = 500 * time.Millisecond
	// maxCallsPerSec is the call rate above which intervals are lengthened. It is
	// above what a hundred endpoints need while many of them change.
	maxCallsPerSec = 800
	// maxIdleCallsPerSec is the call rate above which idle endpoints are probed less
	// often. It is above what a hundred of them need.
	maxIdleCallsPerSec = 300
	// maxInFlight bounds the concurrent calls: with more of them, calls only wait for
	// each other in this process and time out.
	maxInFlight = 48
	// maxInterval bounds the lengthened interval to the time of a few announcements.
	maxInterval = 3 * time.Second
	// timeout allows for the network round trip and a slow machine.
	timeout = 300 * time.Millisecond
	// stalledTimeout is the timeout for members of a stalled group.
	stalledTimeout = 150 * time.Millisecond
)

// Role is what an endpoint does, as far as its probe interval depends on it.
type Role int

// The roles of endpoints.
const (
	Idle     Role = iota
	Head          // Head leads a group that serves.
	Changing      // Changing is a member of a group that is being formed or changed.
	Stalled       // Stalled is a member of a group that makes no progress.
	suspect       // suspect endpoints did not respond to the last probe, or refused it.
)

// baseIntervals are the probe intervals while the call rate is within the bound.
var baseIntervals = map[Role]time.Duration{Idle: intervalIdle, Head: intervalHead, Changing: intervalChanging, Stalled: intervalStalled, suspect: intervalSuspect}

// roleOf returns the role that determines the probe interval of an endpoint.
func roleOf(msg TickMsg, e tracker.Endpoint) Role {
	role := msg.Roles[e.View.Instance]
	if e.RefusedSince != 0 || (e.FailingSince != 0 && (role == Idle || role == Head)) {
		return suspect
	}
	return role
}

// Probe is one call to make now.
type Probe struct {
	Endpoint tracker.Endpoint
	Timeout  time.Duration
}

// TickMsg asks for the probes that are due at Now, the time on a monotonic clock.
// Endpoints without a role are idle.
type TickMsg struct {
	Now       time.Duration
	Endpoints []tracker.Endpoint
	Roles     map[string]Role
}

// ProbeDoneMsg says that the call to the endpoint of the instance ID has ended,
// whether or not it succeeded.
type ProbeDoneMsg struct{ ID string }

// Msg is an input of the prober.
type Msg interface{ proberMsg() }

// AskMsg makes a probe of the instance ID due at the next tick, as often as one of a
// stalled endpoint.
type AskMsg struct{ ID string }

func (TickMsg) proberMsg()      {}
func (AskMsg) proberMsg()       {}
func (ProbeDoneMsg) proberMsg() {}

// Prober keeps the time of the last probe of each endpoint and the calls in flight.
// It is not safe for concurrent use.
type Prober struct {
	lastProbed map[string]time.Duration
	inFlight   map[string]bool
	asked      map[string]bool          // asked holds the endpoints to probe at the next tick.
	lastAsked  map[string]time.Duration // lastAsked is when each endpoint was last probed as it was asked for.
}

// New returns a Prober that has probed no endpoint yet.
func New() *Prober {
	return &Prober{lastProbed: map[string]time.Duration{}, inFlight: map[string]bool{}, asked: map[string]bool{}, lastAsked: map[string]time.Duration{}}
}

// Update takes one message and returns the probes that are due.
func (p *Prober) Update(msg Msg) []Probe {
	switch msg := msg.(type) {
	case TickMsg:
		return p.tick(msg)
	case ProbeDoneMsg:
		delete(p.inFlight, msg.ID)
	case AskMsg:
		p.asked[msg.ID] = true
	}
	return nil
}

// tick returns the probes that are due and records them as in flight.
func (p *Prober) tick(msg TickMsg) []Probe {
	p.dropUnknown(msg.Endpoints)
	f := intervalFactors(msg)
	var due []Probe
	for _, e := range msg.Endpoints {
		id := e.View.Instance
		role := roleOf(msg, e)
		if len(p.inFlight) >= maxInFlight && role != Stalled {
			continue
		}
		last, probed := p.lastProbed[id]
		asked := p.asked[id] && p.mayAsk(id, msg.Now)
		if e.BootEnded || p.inFlight[id] || (probed && !asked && msg.Now < last+f.interval(role)) {
			continue
		}
		if asked {
			p.lastAsked[id] = msg.Now
		}
		delete(p.asked, id)
		p.lastProbed[id] = msg.Now
		p.inFlight[id] = true
		probe := Probe{Endpoint: e, Timeout: timeout}
		if role == Stalled {
			probe.Timeout = stalledTimeout
		}
		due = append(due, probe)
	}
	return due
}

// mayAsk reports whether an endpoint has not been asked for more often than a stalled one
// is probed.
func (p *Prober) mayAsk(id string, now time.Duration) bool {
	last, ok := p.lastAsked[id]
	return !ok || now >= last+intervalStalled
}

// factors multiply the base intervals to keep the call rate within its bound. Those
// of idle endpoints grow first, since idle endpoints announce their changes.
type factors struct{ idle, others float64 }

// intervalFactors computes the factors from the call rate that all endpoints would
// need at their base intervals.
func intervalFactors(msg TickMsg) factors {
	idleRate, otherRate := 0.0, 0.0
	for _, e := range msg.Endpoints {
		switch role := roleOf(msg, e); {
		case e.BootEnded:
		case role == Idle:
			idleRate += perSecond(intervalIdle)
		default:
			otherRate += perSecond(baseIntervals[role])
		}
	}
	maxFactor := float64(maxInterval) / float64(intervalIdle)
	f := factors{idle: min(max(idleRate/max(maxIdleCallsPerSec-otherRate, 1), 1), maxFactor)}
	f.others = max(otherRate/max(maxCallsPerSec-idleRate/f.idle, 1), 1)
	return f
}

// perSecond returns the rate of calls that are made at an interval.
func perSecond(interval time.Duration) float64 { return float64(time.Second) / float64(interval) }

// interval returns the time between two probes of an endpoint with a role. Members
// of stalled groups are always probed at their base interval.
func (f factors) interval(role Role) time.Duration {
	factor := f.others
	switch role {
	case Stalled:
		return intervalStalled
	case Idle:
		factor = f.idle
	case Head, Changing, suspect:
	}
	return min(time.Duration(float64(baseIntervals[role])*factor), maxInterval)
}

// dropUnknown removes the probe times of endpoints that are no longer listed.
func (p *Prober) dropUnknown(endpoints []tracker.Endpoint) {
	if len(p.lastProbed) <= len(endpoints) {
		return
	}
	known := map[string]bool{}
	for _, e := range endpoints {
		known[e.View.Instance] = true
	}
	gone := func(id string, _ time.Duration) bool { return !known[id] }
	maps.DeleteFunc(p.lastProbed, gone)
	maps.DeleteFunc(p.lastAsked, gone)
}
