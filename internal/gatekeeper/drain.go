package gatekeeper

import (
	"context"
	"math"
	"time"

	"papayaseam/internal/timekeeper"
)

const (
	// drainAcceptPeriod is how long a draining entry still accepts requests on open
	// connections.
	drainAcceptPeriod = 2500 * time.Millisecond
	// minDrain is longer than the load balancer needs to miss two health checks.
	minDrain          = 3200 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// maxLastAnswersMargin bounds the time reserved at the end of a planned stop for the
	// answers to the requests in flight.
	maxLastAnswersMargin = 250 * time.Millisecond
	// lastAnswersShare is the part of a planned stop that may be reserved for them. With
	// the time that the process needs to end, requests keep five sixths of a grace of 2 s
	// or more.
	lastAnswersShare = 1.0 / 24
	// minLimitShare is the share of its time limit that a repeatable request must have
	// before the end of a planned stop to be accepted. Most requests end well within
	// their limit, and an interrupted one loses only time.
	minLimitShare = 0.5
)

// stopReason is why a stopping entry rejects a request.
const stopReason = "this entry stops"

// plannedStop is a planned stop that has begun.
type plannedStop struct {
	begunAt time.Duration
	endsAt  time.Duration // endsAt is when the requests in flight must be answered.
}

// newPlannedStop returns a stop that begins now and ends with the context.
func newPlannedStop(ctx context.Context) *plannedStop {
	s := &plannedStop{begunAt: timekeeper.Now(), endsAt: math.MaxInt64}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		s.endsAt = s.begunAt + left - lastAnswersMargin(left)
	}
	return s
}

// lastAnswersMargin returns the time to reserve at the end of a stop with the given time
// left.
func lastAnswersMargin(left time.Duration) time.Duration {
	return min(maxLastAnswersMargin, time.Duration(lastAnswersShare*float64(left)))
}

// acceptPeriodOver reports whether a request that arrives now is too late.
func (s *plannedStop) acceptPeriodOver(now time.Duration) bool {
	return s != nil && now-s.begunAt > drainAcceptPeriod
}

// allowsAttempt reports whether an attempt may be made before the stop ends. One that
// must not be repeated is not made if it could be interrupted.
func (s *plannedStop) allowsAttempt(e *exchange, now time.Duration) bool {
	switch {
	case s == nil || e.deadline <= s.endsAt:
		return true
	case !e.route.Repeatable():
		return false
	}
	return e.attempts > 0 || float64(s.endsAt-now) >= minLimitShare*float64(e.deadline-e.startedAt)
}

// boundDeadline returns the deadline of a request, or the end of the stop if that is
// earlier.
func (s *plannedStop) boundDeadline(deadline time.Duration) time.Duration {
	if s == nil {
		return deadline
	}
	return min(deadline, s.endsAt)
}

// announceStop asks the client to send its next request over another connection if
// this entry stops. It is called as a request arrives and as its response begins, since
// the stop may begin in between.
func (g *Gatekeeper) announceStop(e *exchange) {
	if g.stop.Load() != nil {
		e.w.Header().Set("Connection", "close")
	}
}

// Drain makes the entry not ready. It returns when the load balancer has had time
// to notice and no request is in flight, or when the context ends. Meanwhile the
// entry makes no attempt that the end of the context could interrupt, unless the
// request may be repeated. Shortly before the context ends, the requests in flight are
// answered as failed, and streams that have begun are closed.
func (g *Gatekeeper) Drain(ctx context.Context) {
	stop := newPlannedStop(ctx)
	g.stop.Store(stop)
	ending := time.AfterFunc(stop.endsAt-stop.begunAt, g.endRequests)
	defer ending.Stop()
	minimum := time.NewTimer(minDrain)
	defer minimum.Stop()
	select {
	case <-ctx.Done():
		return
	case <-minimum.C:
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
